#pragma once

#include <string>

/// \file
/// The daemon on the users' platform.

namespace masticlever::masticleverd
{

/// Serves until a signal ends it; returns the exit code. \p settingsFile is read again on SIGHUP and when it changes.
int runFrontend(int argc, char **argv, const std::string &settingsFile, bool checkOnly);

} // namespace masticlever::masticleverd
