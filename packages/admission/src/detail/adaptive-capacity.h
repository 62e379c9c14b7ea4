#pragma once

#include <cstddef>

/// \file
/// How many requests may be in flight, learnt from met and missed deadlines.

namespace masticlever::admission::detail
{

/// Additive increase while deadlines are met and the capacity is used, multiplicative decrease when too many of a
/// window of finished requests missed theirs.
class adaptive_capacity
{
public:
    adaptive_capacity(std::size_t upper, std::size_t lower);

    /// Follows the pools: a capacity that stood at the old bound moves with it.
    void setUpper(std::size_t upper);
    void onFinished(bool metDeadline, std::size_t inFlight);
    double value() const { return m_value; }

private:
    double m_upper;
    double m_lower;
    double m_value;
    std::size_t m_finished = 0; ///< in this window
    std::size_t m_missed = 0;
    bool m_used = false; ///< the capacity was nearly reached in this window
};

} // namespace masticlever::admission::detail
