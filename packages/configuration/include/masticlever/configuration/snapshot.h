#pragma once

#include <masticlever/configuration/resources.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

/// \file
/// The immutable configuration at one log offset, as the other slices see it.

namespace masticlever::configuration
{

struct snapshot {
    std::uint64_t offset = 0; ///< last log record that was applied
    std::map<std::string, resource<pipeline_spec>> pipelines;
    std::map<std::string, resource<team_spec>> teams;
    std::map<std::string, resource<endpoint_spec>> endpoints;
};

/// A request keeps the snapshot that it began with.
using snapshot_ptr = std::shared_ptr<const snapshot>;

} // namespace masticlever::configuration
