#pragma once

#include <QObject>

#include <functional>

/// \file
/// POSIX signals as events of the Qt event loop.

namespace masticlever::masticleverd
{

/// Calls \p handler on the event loop for SIGTERM, SIGINT and SIGHUP. Once in a process.
void watchSignals(QObject *context, std::function<void(int)> handler);

} // namespace masticlever::masticleverd
