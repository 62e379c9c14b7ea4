#pragma once

#include <string>
#include <string_view>

class QJsonValue;

/// \file
/// JSON text of single values; QJsonDocument writes objects and arrays only.

namespace masticlever::common
{

/// \p value as compact JSON.
std::string compactJson(const QJsonValue &value);

/// \p text as a JSON string, quotes included.
std::string quoteJson(std::string_view text);

} // namespace masticlever::common
