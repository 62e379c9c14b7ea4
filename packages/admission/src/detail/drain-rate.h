#pragma once

#include <masticlever/common/time.h>

#include <cstddef>

/// \file
/// Rate at which requests finish on this instance.

namespace masticlever::admission::detail
{

/// Moving average over the current and the previous counting window, each \ref halfWindow long.
class drain_rate
{
public:
    void onFinished(common::instant now);
    /// Finished requests per second; zero before the first one.
    double perSecond(common::instant now) const;

private:
    static constexpr common::duration halfWindow = std::chrono::seconds(2);

    std::size_t m_current = 0;
    std::size_t m_previous = 0;
    bool m_started = false;
    bool m_hasPrevious = false;
    common::instant m_windowStart;
};

} // namespace masticlever::admission::detail
