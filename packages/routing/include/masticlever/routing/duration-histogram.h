#pragma once

#include <masticlever/common/time.h>

#include <array>
#include <cstddef>
#include <optional>

/// \file
/// Quantiles of recent durations in constant memory.

namespace masticlever::routing
{

/// Histogram with logarithmic buckets from 100 us to about 3 min. A quantile is accurate to one bucket (12%).
/// Old samples decay: all weights are halved when their sum reaches \ref weightLimit.
class duration_histogram
{
public:
    void record(common::duration value);
    /// Upper edge of the bucket that contains quantile \p q in [0, 1]; nullopt before the first sample.
    std::optional<common::duration> quantile(double q) const;
    /// Sum of the decayed weights.
    double weight() const { return m_weight; }

private:
    static constexpr std::size_t bucketCount = 128;
    static constexpr double weightLimit = 400;

    std::array<float, bucketCount> m_buckets{};
    double m_weight = 0;
};

} // namespace masticlever::routing
