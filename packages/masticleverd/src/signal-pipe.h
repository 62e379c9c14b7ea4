#pragma once

#include <QObject>

#include <functional>

/// \file
/// Delivers POSIX signals through the Qt event loop.

namespace masticlever::masticleverd
{

/// Calls \p handler on the event loop for SIGTERM, SIGINT and SIGHUP. Call only once per process.
void watchSignals(QObject *context, std::function<void(int)> handler);

} // namespace masticlever::masticleverd
