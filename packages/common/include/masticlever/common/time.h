#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>

/// \file
/// Time types. Code that uses them does not read a clock; it gets the current time as a parameter.

namespace masticlever::common
{

using duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process; never sent to another process.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point on the wall clock (Unix epoch); used only for key ages and for records that people read.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

inline duration scaled(duration time, double factor)
{
    return duration(std::llround(static_cast<double>(time.count()) * factor));
}

/// Whole milliseconds, for logs.
inline std::int64_t toMilliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace masticlever::common
