#pragma once

#include <masticlever/configuration/codec.h>
#include <masticlever/configuration/snapshot.h>

#include <optional>
#include <string>

/// \file
/// Checks references between resources: from stage to pool, from team to pipeline, and from token to team.

namespace masticlever::configuration::detail
{

/// Returns the first reference in \p spec that is invalid in \p state; the field is a path inside the specification.
std::optional<field_error> findInvalidReference(const snapshot &state, const pipeline_spec &spec);
std::optional<field_error> findInvalidReference(const snapshot &state, const std::string &team, const team_spec &spec);

/// Returns a resource that still needs the given one; the field has the form "pipeline/order/spec.stages[1].pool".
std::optional<field_error> findEndpointReferrer(const snapshot &state, const std::string &endpoint);
std::optional<field_error> findPipelineReferrer(const snapshot &state, const std::string &pipeline);

} // namespace masticlever::configuration::detail
