#pragma once

#include <masticlever/configuration/codec.h>
#include <masticlever/configuration/snapshot.h>

#include <optional>
#include <string>

/// \file
/// References between resources: stage to pool, team to pipeline, token to team.

namespace masticlever::configuration::detail
{

/// First reference of \p spec that does not hold against \p state; the field is a path inside the specification.
std::optional<field_error> danglingReference(const snapshot &state, const pipeline_spec &spec);
std::optional<field_error> danglingReference(const snapshot &state, const std::string &team, const team_spec &spec);

/// The referrer that would be left without its target; the field is "pipeline/order/spec.stages[1].pool".
std::optional<field_error> referrerOfEndpoint(const snapshot &state, const std::string &endpoint);
std::optional<field_error> referrerOfPipeline(const snapshot &state, const std::string &pipeline);

} // namespace masticlever::configuration::detail
