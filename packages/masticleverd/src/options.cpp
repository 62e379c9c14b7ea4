#include "options.h"

#include <CLI/CLI.hpp>
#include <platform/settings-variable.h>

namespace masticlever::masticleverd
{

std::optional<options> parseOptions(int argc, char **argv, int &exitCode)
{
    constexpr int usageErrorExit = 2;
    options parsed;
    CLI::App app("masticleverd serves multi-stage model pipelines.", "masticleverd");
    app.set_version_flag("--version", "masticleverd 0.1.0");
    app.add_option("-c,--config", parsed.settingsFile, "settings file (INI); docs/OPERATIONS.md lists the keys")
        ->envname(std::string(platform::settingsVariable))
        ->required();
    app.add_flag("--frontend", parsed.isFrontend, "serve the requests of the users' platform");
    app.add_flag("--check-settings", parsed.checkOnly, "check the settings file and exit");
    app.footer("Example: masticleverd --config /etc/masticlever/daemon.ini");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        exitCode = app.exit(error) == 0 ? 0 : usageErrorExit;
        return std::nullopt;
    }
    return parsed;
}

} // namespace masticlever::masticleverd
