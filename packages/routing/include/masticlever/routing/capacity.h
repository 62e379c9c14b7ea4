#pragma once

#include <masticlever/configuration/resources.h>
#include <masticlever/routing/router.h>
#include <masticlever/routing/stage-estimates.h>

#include <string_view>

/// \file
/// How many requests the pools behind a pipeline can have in flight at once.

namespace masticlever::routing
{

/// Little's law on the stage whose pool limits the rate: requests of \p pipeline in flight, over the whole fleet,
/// that keep every slot of that pool busy. Zero while stages are not known.
double sustainableInFlight(std::string_view pipeline, const configuration::pipeline_spec &spec,
                           const stage_estimates &estimates, const router &router);

} // namespace masticlever::routing
