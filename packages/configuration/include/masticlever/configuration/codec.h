#pragma once

#include <masticlever/common/result.h>
#include <masticlever/configuration/resources.h>

#include <optional>
#include <string>
#include <string_view>

/// \file
/// JSON encoding of resource specifications. Parsing rejects unknown fields and invalid values and reports the path of
/// the first offending field.

namespace masticlever::configuration
{

struct field_error {
    std::string field; ///< path, such as "spec.stages[1].pool"
    std::string detail;
};

template <typename Spec> struct parsed {
    Spec spec;
    std::optional<field_error> error;
};

parsed<pipeline_spec> parsePipeline(std::string_view json);
parsed<team_spec> parseTeam(std::string_view json);
parsed<endpoint_spec> parseEndpoint(std::string_view json);

std::string toJson(const pipeline_spec &spec);
std::string toJson(const team_spec &spec);
std::string toJson(const endpoint_spec &spec);

std::string_view toString(resource_kind kind);
std::optional<resource_kind> parseKind(std::string_view text);

} // namespace masticlever::configuration
