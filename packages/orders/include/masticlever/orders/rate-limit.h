#pragma once

#include <masticlever/common/time.h>

/// \file
/// A token bucket on a given clock.

namespace masticlever::orders
{

struct rate_options {
    double perSecond = 0.2;
    double burst = 2;
};

/// Starts empty, so that a change of holder never adds to the rate.
class rate_limit
{
public:
    rate_limit() = default;
    explicit rate_limit(rate_options options) : m_options(options) { }

    void restart(common::instant now);
    /// Takes one token if there is one.
    bool take(common::instant now);

private:
    rate_options m_options;
    double m_tokens = 0;
    common::instant m_filledAt;
};

} // namespace masticlever::orders
