#include "load-estimate.h"

#include <algorithm>

namespace masticlever::routing::detail
{

namespace
{

constexpr double halfWeightAgeUs = 500000; ///< age at which the weight of a report is 0.5

double reportWeight(const candidate &endpoint, common::instant now)
{
    if (endpoint.reportedAt == common::instant{}) {
        return 0;
    }
    const auto age = static_cast<double>((now - endpoint.reportedAt).count());
    return halfWeightAgeUs / (halfWeightAgeUs + std::max(age, 0.0));
}

/// Calls of other instances as last reported.
double reportedByOthers(const candidate &endpoint)
{
    return std::max(0.0, endpoint.reportedLoad - static_cast<double>(endpoint.inFlightAtReport));
}

} // namespace

double meanLoadOfOthers(std::span<const candidate> candidates, common::instant now)
{
    double sum = 0;
    double weights = 0;
    for (const candidate &endpoint : candidates) {
        const double weight = reportWeight(endpoint, now);
        sum += weight * reportedByOthers(endpoint);
        weights += weight;
    }
    return weights > 0 ? sum / weights : 0;
}

double estimatedLoad(const candidate &endpoint, double meanOfOthers, common::instant now)
{
    const double weight = reportWeight(endpoint, now);
    const double others = weight * reportedByOthers(endpoint) + (1 - weight) * meanOfOthers;
    return static_cast<double>(endpoint.inFlight) + others;
}

} // namespace masticlever::routing::detail
