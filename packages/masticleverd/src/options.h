#pragma once

#include <optional>
#include <string>

/// \file
/// Command line of the daemon.

namespace masticlever::masticleverd
{

struct options {
    std::string settingsFile;
    bool checkOnly = false;
    bool isFrontend = false; ///< run as a front end; settingsFile then holds front-end settings
};

/// Returns nothing if help, the version or a usage error was printed; the process then ends with \p exitCode.
std::optional<options> parseOptions(int argc, char **argv, int &exitCode);

} // namespace masticlever::masticleverd
