#pragma once

#include <masticlever/configuration/codec.h>

#include <QJsonObject>
#include <QJsonValue>

/// \file
/// Conversion between specifications and JSON values.

namespace masticlever::configuration::detail
{

parsed<pipeline_spec> readPipeline(const QJsonValue &json);
parsed<team_spec> readTeam(const QJsonValue &json);
parsed<endpoint_spec> readEndpoint(const QJsonValue &json);

QJsonObject toObject(const pipeline_spec &spec);
QJsonObject toObject(const team_spec &spec);
QJsonObject toObject(const endpoint_spec &spec);

} // namespace masticlever::configuration::detail
