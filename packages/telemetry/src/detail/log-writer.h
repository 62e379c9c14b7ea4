#pragma once

#include <masticlever/telemetry/events.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string_view>

/// \file
/// Non-blocking writer of log lines to a file descriptor, with a rate limit for each event.

namespace masticlever::telemetry::detail
{

class log_writer
{
public:
    using clock = std::chrono::steady_clock;

    explicit log_writer(int descriptor) : m_descriptor(descriptor) { }

    /// Takes a token from the event's bucket; false, and counted as dropped, if the bucket is empty.
    bool tryAcquire(event number, clock::time_point now);
    /// Writes \p line and a line feed, or drops them if the descriptor would block.
    void write(std::string_view line);
    /// Returns the number of lines dropped since the last call and resets it.
    std::uint64_t takeDropped();

private:
    struct rate_limit {
        double tokens = 0;
        clock::time_point refilledAt;
    };

    int m_descriptor;
    std::map<event, rate_limit> m_rateLimits;
    std::uint64_t m_dropped = 0;
};

} // namespace masticlever::telemetry::detail
