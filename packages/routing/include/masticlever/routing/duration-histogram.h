#pragma once

#include <masticlever/common/time.h>

#include <array>
#include <cstddef>
#include <optional>

/// \file
/// Quantiles of recent durations in fixed memory.

namespace masticlever::routing
{

/// Histogram in logarithmic buckets from 100 us to about 3 min; a quantile is exact to one bucket (12%).
/// Old samples fade: all weights are halved when the sum reaches \ref weightLimit.
class duration_histogram
{
public:
    void record(common::duration value);
    /// Upper edge of the bucket that holds quantile \p q in [0, 1]; nothing before the first sample.
    std::optional<common::duration> quantile(double q) const;
    /// Sum of the faded weights.
    double weight() const { return m_weight; }

private:
    static constexpr std::size_t bucketCount = 128;
    static constexpr double weightLimit = 400;

    std::array<float, bucketCount> m_buckets{};
    double m_weight = 0;
};

} // namespace masticlever::routing
