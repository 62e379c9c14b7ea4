#include "drain-rate.h"

#include <algorithm>

namespace masticlever::admission::detail
{

namespace
{

constexpr double usPerSecond = 1e6;

} // namespace

void drain_rate::onFinished(common::instant now)
{
    if (!m_started) {
        m_started = true;
        m_windowStart = now;
    }
    if (now - m_windowStart >= 2 * halfWindow) {
        m_previous = 0;
        m_current = 0;
        m_hasPrevious = false;
        m_windowStart = now;
    } else if (now - m_windowStart >= halfWindow) {
        m_previous = m_current;
        m_current = 0;
        m_hasPrevious = true;
        m_windowStart += halfWindow;
    }
    ++m_current;
}

double drain_rate::perSecond(common::instant now) const
{
    if (!m_started) {
        return 0;
    }
    common::duration span = now - m_windowStart;
    std::size_t count = m_current;
    if (m_hasPrevious) {
        span += halfWindow;
        count += m_previous;
    }
    // In a window that has just begun, a single request would give a high rate.
    span = std::max<common::duration>(span, halfWindow / 2);
    return static_cast<double>(count) * usPerSecond / static_cast<double>(span.count());
}

} // namespace masticlever::admission::detail
