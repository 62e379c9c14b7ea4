#include "watched-run.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

namespace masticlever::crowds
{

namespace
{

constexpr int sampleIntervalMs = 50;

} // namespace

void runWatched(crowd &callers, process_usage &usage, int milliseconds)
{
    QElapsedTimer timer;
    timer.start();
    qint64 sampledAt = -sampleIntervalMs;
    while (timer.elapsed() < milliseconds) {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        callers.advance();
        if (timer.elapsed() - sampledAt >= sampleIntervalMs) {
            sampledAt = timer.elapsed();
            usage.sample();
        }
    }
}

} // namespace masticlever::crowds
