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
/// JSON of resources, instances and runs as operators see them.

namespace masticlever::gateway::detail
{

/// {"kind","name","version","spec","status":{"in_force":[{"instance","offset"}]}}; empty when there is none.
std::optional<QJsonObject> resourceJson(const configuration::snapshot &current, configuration::resource_kind kind,
                                        const std::string &name, std::span<const instance_status> instances);

/// All resources of \p kind whose version is above \p newerThan.
QJsonArray resourcesJson(const configuration::snapshot &current, configuration::resource_kind kind,
                         std::uint64_t newerThan, std::span<const instance_status> instances);

/// "kind/name" of every resource.
QJsonArray presentJson(const configuration::snapshot &current);

QJsonObject instanceJson(const instance_status &instance);
QJsonObject runJson(const doubtful_run &run);

std::string compact(const QJsonObject &object);

} // namespace masticlever::gateway::detail
