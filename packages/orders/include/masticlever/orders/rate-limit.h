#pragma once

#include <masticlever/common/time.h>

/// \file
/// A token bucket; the caller passes the time.

namespace masticlever::orders
{

struct rate_options {
    double perSecond = 0.2; ///< refill rate
    double burst = 2; ///< capacity of the bucket
};

/// Starts empty, so that a change of the lease holder never exceeds the rate.
class rate_limit
{
public:
    rate_limit() = default;
    explicit rate_limit(rate_options options) : m_options(options) { }

    /// Empties the bucket.
    void restart(common::instant now);
    /// Takes a token; returns false when there is none.
    bool take(common::instant now);

private:
    rate_options m_options;
    double m_tokens = 0;
    common::instant m_filledAt;
};

} // namespace masticlever::orders
