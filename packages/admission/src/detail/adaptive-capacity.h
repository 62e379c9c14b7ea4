#pragma once

#include <cstddef>

/// \file
/// Adapts the number of requests that may be in flight to the share of missed deadlines.

namespace masticlever::admission::detail
{

/// Additive increase and multiplicative decrease. After each window of finished requests the capacity decreases if too
/// many missed their deadline, and otherwise increases if it was nearly reached.
class adaptive_capacity
{
public:
    adaptive_capacity(std::size_t upper, std::size_t lower);

    /// Sets the upper bound. A capacity at the old bound moves to the new one.
    void setUpperBound(std::size_t upper);
    void onFinished(bool metDeadline, std::size_t inFlight);
    double value() const { return m_value; }

private:
    double m_upper;
    double m_lower;
    double m_value;
    std::size_t m_finished = 0; ///< in this window
    std::size_t m_missed = 0; ///< of these, requests that missed their deadline
    bool m_capacityReached = false; ///< requests in flight nearly reached the capacity in this window
};

} // namespace masticlever::admission::detail
