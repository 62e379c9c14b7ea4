#pragma once

/// \file
/// The command line of masticleverctl.

namespace masticlever::masticleverctl
{

/// Parses the arguments, runs the command and returns the exit code. Needs a QCoreApplication.
int runCommandLine(int argc, const char *const *argv);

} // namespace masticlever::masticleverctl
