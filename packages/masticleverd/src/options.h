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
    bool isFrontend = false; ///< serves a site's requests; the settings are a front end's
};

/// Nothing: the process ends with \p exitCode (help or a usage fault was printed).
std::optional<options> parseOptions(int argc, char **argv, int &exitCode);

} // namespace masticlever::masticleverd
