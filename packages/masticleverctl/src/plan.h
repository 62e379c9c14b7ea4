#pragma once

#include "declarations.h"

#include <cstdint>
#include <vector>

/// \file
/// The steps from the present resources to the declared ones.

namespace masticlever::masticleverctl
{

struct present_resource {
    configuration::resource_kind kind = configuration::resource_kind::endpoint;
    std::string name;
    std::uint64_t version = 0;
    std::string spec; ///< JSON
};

enum class step_action { create, update, remove };

struct step {
    step_action action = step_action::create;
    configuration::resource_kind kind = configuration::resource_kind::endpoint;
    std::string name;
    std::uint64_t expectedVersion = 0;
    std::string before; ///< JSON; empty for create
    std::string after; ///< JSON; empty for remove
};

/// Endpoints, pipelines and teams are put in this order and removed in the reverse one. \p prune removes what is
/// not declared.
std::vector<step> makePlan(const std::vector<declaration> &declared, const std::vector<present_resource> &present,
                           bool prune);

/// Lines "+ field: value" and "- field: value" of what a step changes.
QString describe(const step &what);

} // namespace masticlever::masticleverctl
