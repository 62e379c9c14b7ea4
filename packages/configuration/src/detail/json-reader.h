#pragma once

#include <masticlever/configuration/codec.h>

#include <QJsonObject>
#include <QJsonValue>
#include <QLatin1StringView>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Strict reader for JSON objects: checks the name, type and range of every field and keeps the first error.

namespace masticlever::configuration::detail
{

/// Keeps only the first error, so the order of the checks determines which one is reported.
class error_sink
{
public:
    void add(std::string field, std::string detail);
    const std::optional<field_error> &first() const { return m_first; }

private:
    std::optional<field_error> m_first;
};

struct integer_range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

struct number_range {
    double lowest = 0;
    double highest = 0;
};

enum class presence { required, optional };

/// Reads the fields of one object. finish() reports any field that was not read before.
class object_reader
{
public:
    object_reader(const QJsonValue &value, std::string path, error_sink &errors);

    void readString(QLatin1StringView name, std::string &target, presence needed);
    void readBool(QLatin1StringView name, bool &target);
    void readNumber(QLatin1StringView name, double &target, number_range range);
    /// Returns nothing when the field is absent or invalid.
    std::optional<std::int64_t> readInteger(QLatin1StringView name, integer_range range);
    /// Returns whether the field is present.
    bool readStrings(QLatin1StringView name, std::vector<std::string> &target, std::size_t limit);
    QJsonValue readValue(QLatin1StringView name, presence needed);

    void fail(std::string_view name, std::string detail);
    std::string pathOf(std::string_view name) const;
    void finish();

private:
    QJsonObject m_object;
    std::string m_path;
    error_sink &m_errors;
    std::set<QString> m_knownFields;
};

/// Returns "path[index]".
std::string elementPath(std::string_view path, std::size_t index);

/// Parses a JSON object; an error is reported for \p path.
QJsonValue parseObject(std::string_view json, std::string_view path, error_sink &errors);

std::string compact(const QJsonObject &object);
QString toQString(std::string_view text);

} // namespace masticlever::configuration::detail
