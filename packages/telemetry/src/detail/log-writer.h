#pragma once

#include <masticlever/telemetry/events.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string_view>

/// \file
/// Writes log lines to a descriptor without ever waiting for its reader, and bounds how many there are.

namespace masticlever::telemetry::detail
{

class log_writer
{
public:
    using clock = std::chrono::steady_clock;

    explicit log_writer(int descriptor) : m_descriptor(descriptor) { }

    /// Whether a line of that event may be written now; takes one from its allowance.
    bool admit(event number, clock::time_point now);
    /// Writes \p line and a line feed if the descriptor takes them at once.
    void write(std::string_view line);
    /// Lines that were dropped since the last call.
    std::uint64_t takeDropped();

private:
    struct allowance {
        double lines = 0;
        clock::time_point at;
    };

    int m_descriptor;
    std::map<event, allowance> m_allowances;
    std::uint64_t m_dropped = 0;
};

} // namespace masticlever::telemetry::detail
