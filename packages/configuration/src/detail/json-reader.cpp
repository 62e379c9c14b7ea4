#include "detail/json-reader.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonParseError>

#include <cmath>
#include <utility>

namespace masticlever::configuration::detail
{

namespace
{

std::string_view toStringView(QLatin1StringView text)
{
    return {text.data(), static_cast<std::size_t>(text.size())};
}

std::string rangeText(double lowest, double highest)
{
    return "must lie between " + QString::number(lowest).toStdString() + " and "
        + QString::number(highest).toStdString();
}

} // namespace

void error_sink::add(std::string field, std::string detail)
{
    if (!m_first) {
        m_first = field_error{std::move(field), std::move(detail)};
    }
}

object_reader::object_reader(const QJsonValue &value, std::string path, error_sink &errors)
    : m_object(value.toObject()), m_path(std::move(path)), m_errors(errors)
{
    if (!value.isObject()) {
        m_errors.add(m_path, "must be an object");
    }
}

QJsonValue object_reader::readValue(QLatin1StringView name, presence needed)
{
    m_knownFields.insert(name);
    QJsonValue value = m_object.value(name);
    if (value.isUndefined() && needed == presence::required) {
        fail(toStringView(name), "is required");
    }
    return value;
}

void object_reader::readString(QLatin1StringView name, std::string &target, presence needed)
{
    const QJsonValue value = readValue(name, needed);
    if (value.isUndefined()) {
        return;
    }
    if (!value.isString()) {
        fail(toStringView(name), "must be a string");
        return;
    }
    target = value.toString().toStdString();
}

void object_reader::readBool(QLatin1StringView name, bool &target)
{
    const QJsonValue value = readValue(name, presence::optional);
    if (value.isUndefined()) {
        return;
    }
    if (!value.isBool()) {
        fail(toStringView(name), "must be true or false");
        return;
    }
    target = value.toBool();
}

void object_reader::readNumber(QLatin1StringView name, double &target, number_range range)
{
    const QJsonValue value = readValue(name, presence::optional);
    if (value.isUndefined()) {
        return;
    }
    if (!value.isDouble()) {
        fail(toStringView(name), "must be a number");
        return;
    }
    const double number = value.toDouble();
    if (!(number >= range.lowest && number <= range.highest)) {
        fail(toStringView(name), rangeText(range.lowest, range.highest));
        return;
    }
    target = number;
}

std::optional<std::int64_t> object_reader::readInteger(QLatin1StringView name, integer_range range)
{
    const QJsonValue value = readValue(name, presence::optional);
    if (value.isUndefined()) {
        return std::nullopt;
    }
    if (!value.isDouble() || value.toDouble() != std::floor(value.toDouble())) {
        fail(toStringView(name), "must be a whole number");
        return std::nullopt;
    }
    const auto lowest = static_cast<double>(range.lowest);
    const auto highest = static_cast<double>(range.highest);
    if (!(value.toDouble() >= lowest && value.toDouble() <= highest)) {
        fail(toStringView(name), rangeText(lowest, highest));
        return std::nullopt;
    }
    return value.toInteger();
}

bool object_reader::readStrings(QLatin1StringView name, std::vector<std::string> &target, std::size_t limit)
{
    const QJsonValue value = readValue(name, presence::optional);
    if (value.isUndefined()) {
        return false;
    }
    if (!value.isArray()) {
        fail(toStringView(name), "must be an array of strings");
        return true;
    }
    const QJsonArray array = value.toArray();
    if (static_cast<std::size_t>(array.size()) > limit) {
        fail(toStringView(name), "must hold at most " + std::to_string(limit) + " entries");
        return true;
    }
    for (const auto &element : array) {
        if (!element.isString()) {
            m_errors.add(elementPath(pathOf(toStringView(name)), target.size()), "must be a string");
            return true;
        }
        target.push_back(element.toString().toStdString());
    }
    return true;
}

void object_reader::fail(std::string_view name, std::string detail)
{
    m_errors.add(pathOf(name), std::move(detail));
}

std::string object_reader::pathOf(std::string_view name) const
{
    return m_path + '.' + std::string(name);
}

void object_reader::finish()
{
    for (const QString &name : m_object.keys()) {
        if (!m_knownFields.contains(name)) {
            fail(name.toStdString(), "is not a known field");
        }
    }
}

std::string elementPath(std::string_view path, std::size_t index)
{
    return std::string(path) + '[' + std::to_string(index) + ']';
}

QJsonValue parseObject(std::string_view json, std::string_view path, error_sink &errors)
{
    QJsonParseError parseError;
    const auto raw = QByteArray::fromRawData(json.data(), static_cast<qsizetype>(json.size()));
    const QJsonDocument document = QJsonDocument::fromJson(raw, &parseError);
    if (parseError.error != QJsonParseError::NoError) {
        const std::string position = " at byte " + std::to_string(parseError.offset);
        errors.add(std::string(path), "is not JSON: " + parseError.errorString().toStdString() + position);
        return {};
    }
    if (!document.isObject()) {
        errors.add(std::string(path), "must be an object");
        return {};
    }
    return document.object();
}

std::string compact(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

QString toQString(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

} // namespace masticlever::configuration::detail
