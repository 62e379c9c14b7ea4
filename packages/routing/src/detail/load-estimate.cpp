#include "load-estimate.h"

#include <algorithm>

namespace masticlever::routing::detail
{

namespace
{

constexpr double reportHalfWeightUs = 500000; ///< age at which a report counts half

double reportWeight(const candidate &endpoint, common::instant now)
{
    if (endpoint.reportedAt == common::instant{}) {
        return 0;
    }
    const auto age = static_cast<double>((now - endpoint.reportedAt).count());
    return reportHalfWeightUs / (reportHalfWeightUs + std::max(age, 0.0));
}

/// Calls of other instances as last reported.
double reportedByOthers(const candidate &endpoint)
{
    return std::max(0.0, endpoint.reportedLoad - static_cast<double>(endpoint.inFlightAtReport));
}

} // namespace

double usualOthers(std::span<const candidate> candidates, common::instant now)
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

double agedLoad(const candidate &endpoint, double usual, common::instant now)
{
    const double weight = reportWeight(endpoint, now);
    const double others = weight * reportedByOthers(endpoint) + (1 - weight) * usual;
    return static_cast<double>(endpoint.inFlight) + others;
}

} // namespace masticlever::routing::detail
