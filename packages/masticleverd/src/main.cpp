#include "daemon.h"
#include "frontend-main.h"
#include "options.h"

#include <masticlever/settings/settings.h>
#include <masticlever/telemetry/events.h>

#include <QCoreApplication>
#include <QtGlobal>

#include <cstdio>
#include <variant>

using namespace masticlever;

namespace
{

constexpr int settingsErrorExit = 2;

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto options = masticleverd::parseOptions(argc, argv, exitCode);
    if (!options) {
        return exitCode;
    }
    // Qt's own event dispatcher costs less than GLib's with many streams; setting the variable overrides this.
    if (!qEnvironmentVariableIsSet("QT_NO_GLIB")) {
        qputenv("QT_NO_GLIB", "1");
    }
    if (options->isFrontend) {
        return masticleverd::runFrontend(argc, argv, options->settingsFile, options->checkOnly);
    }
    const auto read = settings::readSettings(options->settingsFile);
    if (const auto *error = std::get_if<settings::settings_error>(&read)) {
        std::fprintf(stderr, "%s\n", error->message.c_str());
        return settingsErrorExit;
    }
    const auto &loaded = std::get<settings::daemon_settings>(read);
    if (options->checkOnly) {
        std::printf("%s: good\n", options->settingsFile.c_str());
        return 0;
    }
    telemetry::setLogLevel(telemetry::parseLogLevel(loaded.logLevel).value());
    const QCoreApplication application(argc, argv);
    masticleverd::daemon daemon(loaded);
    const std::string startError = daemon.start();
    if (!startError.empty()) {
        std::fprintf(stderr, "masticleverd: %s\n", startError.c_str());
        return 1;
    }
    return QCoreApplication::exec();
}
