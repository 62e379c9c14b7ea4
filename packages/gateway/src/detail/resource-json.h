#pragma once

#include <masticlever/configuration/snapshot.h>
#include <masticlever/gateway/operator-api.h>

#include <QJsonArray>
#include <QJsonObject>

#include <cstdint>
#include <optional>
#include <span>
#include <string>

/// \file
/// JSON of resources, instances and runs for the operator API.

namespace masticlever::gateway::detail
{

/// {"kind","name","version","spec","status":{"in_force":[{"instance","offset","in_force"}],"in_force_everywhere"}};
/// nullopt when the resource does not exist.
std::optional<QJsonObject> resourceJson(const configuration::snapshot &current, configuration::resource_kind kind,
                                        const std::string &name, std::span<const instance_status> instances);

/// All resources of \p kind with a version greater than \p newerThan.
QJsonArray resourcesJson(const configuration::snapshot &current, configuration::resource_kind kind,
                         std::uint64_t newerThan, std::span<const instance_status> instances);

/// "kind/name" of every resource.
QJsonArray presentJson(const configuration::snapshot &current);

QJsonObject instanceJson(const instance_status &instance);
QJsonObject runJson(const doubtful_run &run);

std::string compact(const QJsonObject &object);

} // namespace masticlever::gateway::detail
