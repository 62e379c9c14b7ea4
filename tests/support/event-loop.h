#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

#include <functional>

/// \file
/// Event loop for tests of objects that use sockets or timers.

namespace masticlever::test
{

/// Runs the event loop until \p condition holds; returns false after five seconds.
inline bool runUntil(const std::function<bool()> &condition)
{
    constexpr int timeoutMs = 5000;
    static int count = 1;
    static char name[] = "test";
    static char *arguments[] = {name, nullptr};
    static const QCoreApplication application(count, arguments);
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < timeoutMs) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
    return condition();
}

} // namespace masticlever::test
