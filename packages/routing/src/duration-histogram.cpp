#include <masticlever/routing/duration-histogram.h>

#include <algorithm>
#include <cmath>

namespace masticlever::routing
{

namespace
{

constexpr double lowestUs = 100;
constexpr double bucketGrowth = 1.12;

std::size_t bucketOf(common::duration value, std::size_t count)
{
    const auto us = static_cast<double>(value.count());
    if (us <= lowestUs) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(std::ceil(std::log(us / lowestUs) / std::log(bucketGrowth)));
    return std::min(index, count - 1);
}

common::duration upperEdge(std::size_t bucket)
{
    return common::duration(std::llround(lowestUs * std::pow(bucketGrowth, static_cast<double>(bucket))));
}

} // namespace

void duration_histogram::record(common::duration value)
{
    m_buckets[bucketOf(value, bucketCount)] += 1;
    m_weight += 1;
    if (m_weight < weightLimit) {
        return;
    }
    for (float &bucket : m_buckets) {
        bucket /= 2;
    }
    m_weight /= 2;
}

std::optional<common::duration> duration_histogram::quantile(double q) const
{
    if (m_weight <= 0) {
        return std::nullopt;
    }
    const double targetWeight = q * m_weight;
    double sum = 0;
    std::size_t last = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        if (m_buckets[i] <= 0) {
            continue;
        }
        sum += m_buckets[i];
        last = i;
        if (sum >= targetWeight) {
            break;
        }
    }
    return upperEdge(last);
}

} // namespace masticlever::routing
