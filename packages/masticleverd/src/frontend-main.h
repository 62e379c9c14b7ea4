#pragma once

#include <string>

/// \file
/// Main function of the front end, the daemon that serves the requests of the users' platform.

namespace masticlever::masticleverd
{

/// Serves until SIGTERM or SIGINT and returns the exit code. Reloads \p settingsFile on SIGHUP and when it changes.
int runFrontend(int argc, char **argv, const std::string &settingsFile, bool checkOnly);

} // namespace masticlever::masticleverd
