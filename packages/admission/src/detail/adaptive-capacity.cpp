#include "adaptive-capacity.h"

#include <algorithm>

namespace masticlever::admission::detail
{

namespace
{

constexpr std::size_t windowSize = 20; ///< finished requests between steps
constexpr double missShareToDecrease = 0.15;
constexpr double decreaseFactor = 0.9;
constexpr double increaseStep = 1;
constexpr double capacityReachedShare = 0.9;

} // namespace

adaptive_capacity::adaptive_capacity(std::size_t upper, std::size_t lower)
    : m_upper(static_cast<double>(std::max(upper, lower))), m_lower(static_cast<double>(lower)), m_value(m_upper)
{ }

void adaptive_capacity::setUpperBound(std::size_t upper)
{
    const bool atUpper = m_value >= m_upper;
    m_upper = std::max(static_cast<double>(upper), m_lower);
    m_value = atUpper ? m_upper : std::min(m_value, m_upper);
}

void adaptive_capacity::onFinished(bool metDeadline, std::size_t inFlight)
{
    ++m_finished;
    m_missed += metDeadline ? 0 : 1;
    m_capacityReached = m_capacityReached || static_cast<double>(inFlight) >= capacityReachedShare * m_value;
    if (m_finished < windowSize) {
        return;
    }
    const double missShare = static_cast<double>(m_missed) / static_cast<double>(m_finished);
    if (missShare > missShareToDecrease) {
        m_value = std::max(m_lower, m_value * decreaseFactor);
    } else if (m_capacityReached) {
        m_value = std::min(m_upper, m_value + increaseStep);
    }
    m_finished = 0;
    m_missed = 0;
    m_capacityReached = false;
}

} // namespace masticlever::admission::detail
