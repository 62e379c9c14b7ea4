#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/forwarding/endpoint-choice.h>
#include <masticlever/stages/stage-graph.h>

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>

/// \file
/// Inputs for choosing the data centre of a request: the capacity of its stage services and the location of its stage
/// results.

namespace masticlever::frontend
{

/// Returns the data centre that holds a result; empty when the endpoint that made it is no longer known.
using result_locator = std::function<std::string(std::string_view handle)>;

/// Weights for the data centres that have endpoints of \p service. A data centre receives requests in proportion to its
/// share of the endpoints of the route's stage service that is scarcest there; stage endpoints with a rate limit do not
/// count.
forwarding::data_centre_weights dataCentreWeights(const catalog::endpoint_directory &directory,
                                                  const catalog::route &route, std::string_view service,
                                                  const std::function<bool(std::string_view endpoint)> &isLimited);

/// Data centre that holds most of the inputs; empty when there are none or their location is not known.
std::string dataCentreOfInputs(std::span<const std::string> inputs, const result_locator &locate);

/// Total size in bytes of the inputs of a stage that are available.
double inputBytes(const catalog::route &route, const stages::stage_graph &graph, std::size_t stage);

/// Size in bytes of the results of the final stages, by the data centre that holds them.
forwarding::data_centre_bytes finalInputBytes(const catalog::route &route, const stages::stage_graph &graph,
                                              const result_locator &locate);

} // namespace masticlever::frontend
