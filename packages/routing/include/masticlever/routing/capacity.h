#pragma once

#include <masticlever/configuration/resources.h>
#include <masticlever/routing/router.h>
#include <masticlever/routing/stage-estimates.h>

#include <string_view>

/// \file
/// How many requests the pools behind a pipeline can have in flight at once.

namespace masticlever::routing
{

struct pipeline_capacity {
    double inFlight = 0; ///< over the whole fleet
    bool isLearnt = false; ///< false: from slots alone, as some stage is not known yet
    double utilisation = 0; ///< of the limiting pool, queued calls included
};

/// Little's law on the stage whose pool limits the rate: requests of \p pipeline in flight that keep every slot of
/// that pool busy. While stages are not known, the slots of the streamed stage, or else of the largest pool, count.
pipeline_capacity capacityOf(std::string_view pipeline, const configuration::pipeline_spec &spec,
                             const stage_estimates &estimates, const router &router, common::instant now);

/// Requests that one of \p instances equal instances may have in flight. Requests spread unevenly, so an instance
/// may go far above its equal share while the pool has room, and not above it once the pool is full.
double instanceShare(const pipeline_capacity &fleet, std::size_t instances);

} // namespace masticlever::routing
