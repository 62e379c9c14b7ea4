#include "signal-pipe.h"

#include <QSocketNotifier>

#include <csignal>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace masticlever::masticleverd
{

namespace
{

std::array<int, 2> pipeEnds{-1, -1};

extern "C" void writeSignal(int number)
{
    const auto byte = static_cast<unsigned char>(number);
    // A failed write to a full pipe is harmless: the pipe still holds a signal to be handled.
    [[maybe_unused]] const auto written = ::write(pipeEnds[1], &byte, sizeof byte);
}

} // namespace

void watchSignals(QObject *context, std::function<void(int)> handler)
{
    if (::pipe2(pipeEnds.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
        return;
    }
    auto *notifier = new QSocketNotifier(pipeEnds[0], QSocketNotifier::Read, context);
    QObject::connect(notifier, &QSocketNotifier::activated, context, [handler = std::move(handler)] {
        unsigned char number = 0;
        if (::read(pipeEnds[0], &number, sizeof number) == sizeof number) {
            handler(number);
        }
    });
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        std::signal(number, writeSignal);
    }
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace masticlever::masticleverd
