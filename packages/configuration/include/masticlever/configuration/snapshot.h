#pragma once

#include <masticlever/configuration/resources.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

/// \file
/// Immutable configuration at one log offset, as the other packages use it.

namespace masticlever::configuration
{

struct snapshot {
    std::uint64_t offset = 0; ///< of the last applied log record
    std::map<std::string, resource<pipeline_spec>> pipelines;
    std::map<std::string, resource<team_spec>> teams;
    std::map<std::string, resource<endpoint_spec>> endpoints;
};

/// A request uses the same snapshot from start to end.
using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace masticlever::configuration
