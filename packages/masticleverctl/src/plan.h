#pragma once

#include "declarations.h"

#include <cstdint>
#include <vector>

/// \file
/// Computes the steps that turn the current resources into the declared ones.

namespace masticlever::masticleverctl
{

struct current_resource {
    configuration::resource_kind kind = configuration::resource_kind::endpoint;
    std::string name;
    std::uint64_t version = 0;
    std::string spec; ///< JSON
};

enum class step_action { create, update, remove };

struct plan_step {
    step_action action = step_action::create;
    configuration::resource_kind kind = configuration::resource_kind::endpoint;
    std::string name;
    std::uint64_t expectedVersion = 0;
    std::string before; ///< JSON; empty for create
    std::string after; ///< JSON; empty for remove
};

/// Creates and updates endpoints, then pipelines, then teams, and removes them in reverse order.
/// With \p prune, resources that are not declared are removed.
std::vector<plan_step> makePlan(const std::vector<declaration> &declared, const std::vector<current_resource> &current,
                                bool prune);

/// Describes the fields that a step changes, as lines "+ field: value" and "- field: value".
QString describe(const plan_step &step);

} // namespace masticlever::masticleverctl
