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
/// Strict reading of one JSON object: every field is named, typed and bounded; the first fault is kept.

namespace masticlever::configuration::detail
{

/// Keeps the first fault only, so that the order of the checks decides which one is reported.
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

/// Reads the fields of one object; a field that was not asked for before finish() is refused.
class object_reader
{
public:
    object_reader(const QJsonValue &value, std::string path, error_sink &errors);

    void readText(QLatin1StringView name, std::string &target, presence needed);
    void readBool(QLatin1StringView name, bool &target);
    void readNumber(QLatin1StringView name, double &target, number_range range);
    /// Returns nothing when the field is absent or refused.
    std::optional<std::int64_t> readInteger(QLatin1StringView name, integer_range range);
    /// Returns whether the field is present.
    bool readTexts(QLatin1StringView name, std::vector<std::string> &target, std::size_t limit);
    QJsonValue readValue(QLatin1StringView name, presence needed);

    void fail(std::string_view name, std::string detail);
    std::string pathOf(std::string_view name) const;
    void finish();

private:
    QJsonObject m_object;
    std::string m_path;
    error_sink &m_errors;
    std::set<QString> m_known;
};

/// "path[index]"
std::string elementPath(std::string_view path, std::size_t index);

/// Parses a text that must hold one JSON object; reports under \p path otherwise.
QJsonValue parseObject(std::string_view json, std::string_view path, error_sink &errors);

std::string compact(const QJsonObject &object);
QString toQString(std::string_view text);

} // namespace masticlever::configuration::detail
