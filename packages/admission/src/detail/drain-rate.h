#pragma once

#include <masticlever/common/time.h>

#include <cstddef>

/// \file
/// Rate at which requests leave this instance.

namespace masticlever::admission::detail
{

/// Moving average over \ref halfWindow to twice that, from two counting windows.
class drain_rate
{
public:
    void onFinished(common::instant now);
    /// Requests per second; zero before the first window has data.
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
