#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/forwarding/endpoint-choice.h>
#include <masticlever/stages/stage-graph.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

/// \file
/// Which data centre suits a request: by what its stage services can carry there and where its results are.

namespace masticlever::frontend
{

/// The data centre that holds a result; empty when its maker is not known any more.
using result_locator = std::function<std::string(std::string_view handle)>;

/// Weights of the data centres that have endpoints of \p service: each gets requests in proportion to what the
/// scarcest of the route's stage services can carry there.
forwarding::data_centre_weights dataCentreWeights(const catalog::endpoint_directory &directory,
                                                  const catalog::route &route, std::string_view service);

/// Where most of the inputs of a stage are; empty when it has none or nobody knows.
std::string dataCentreOfInputs(const stages::stage_graph &graph, std::size_t stage, const result_locator &locate);

/// Size of all inputs of a stage that are made.
double inputBytes(const catalog::route &route, const stages::stage_graph &graph, std::size_t stage);

/// Size of the request's own inputs by the data centre that holds them.
forwarding::data_centre_bytes finalInputBytes(const catalog::route &route, const stages::stage_graph &graph,
                                              const result_locator &locate);

} // namespace masticlever::frontend
