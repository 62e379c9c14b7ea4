#pragma once

#include <masticlever/configuration/resources.h>
#include <masticlever/routing/router.h>
#include <masticlever/routing/stage-estimates.h>

#include <string_view>

/// \file
/// Estimates how many requests of a pipeline its pools can have in flight at once.

namespace masticlever::routing
{

struct pipeline_capacity {
    double inFlight = 0; ///< requests over all instances
    bool usesServiceTimes = false; ///< false: counted from slots, as the service time of a stage is not known yet
    double utilisation = 0; ///< of the bottleneck pool, queued calls included
};

/// Number of requests of \p pipeline in flight that keeps every slot of the bottleneck pool busy, by Little's law.
/// While the service time of a stage is not known, this is the number of slots of the largest pool that a streamed
/// stage uses, or of the largest pool if no stage is streamed.
pipeline_capacity capacityOf(std::string_view pipeline, const configuration::pipeline_spec &spec,
                             const stage_estimates &estimates, const router &router, common::instant now);

/// Number of requests that one of \p instances instances may have in flight. Requests are spread unevenly, so an
/// instance may far exceed its equal share while the pool has free slots, but not once the pool is full.
double instanceCapacity(const pipeline_capacity &fleet, std::size_t instances);

} // namespace masticlever::routing
