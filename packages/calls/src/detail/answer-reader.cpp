#include "answer-reader.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QJsonParseError>
#include <QString>

#include <charconv>
#include <chrono>
#include <utility>

namespace masticlever::calls::detail
{

namespace
{

QJsonObject parseObject(std::string_view json)
{
    return QJsonDocument::fromJson(QByteArray(json.data(), static_cast<qsizetype>(json.size()))).object();
}

} // namespace

stream_answer::stream_answer(std::string callId)
    : m_callId(std::move(callId)), m_reader(maxEventBytes), m_digest(QCryptographicHash::Sha256)
{ }

bool stream_answer::matchesEndEvent(std::string_view json) const
{
    const QJsonObject end = parseObject(json);
    const bool matchesCallId = end.value(QLatin1StringView("call_id")).toString().toStdString() == m_callId;
    const bool matchesLength = end.value(QLatin1StringView("length")).toInteger(-1) == static_cast<qint64>(m_length);
    const QByteArray digest = end.value(QLatin1StringView("digest")).toString().toLatin1();
    return matchesCallId && matchesLength && digest == m_digest.result().toHex();
}

std::optional<drop_reason> stream_answer::feed(std::string_view bytes,
                                               const std::function<void(std::string_view)> &onText)
{
    for (const stream_event &event : m_reader.feed(bytes)) {
        if (m_complete) {
            // Ignores everything after the end event.
            continue;
        }
        if (event.name == "end") {
            if (!matchesEndEvent(event.data)) {
                return drop_reason::wrong_digest;
            }
            m_complete = true;
        } else if (event.name == "token") {
            const QByteArray text = parseObject(event.data).value(QLatin1StringView("text")).toString().toUtf8();
            m_length += static_cast<std::size_t>(text.size());
            if (m_length > maxAnswerBytes) {
                return drop_reason::too_large;
            }
            m_digest.addData(text);
            onText({text.data(), static_cast<std::size_t>(text.size())});
        }
    }
    return m_reader.hasFailed() ? std::optional(drop_reason::too_large) : std::nullopt;
}

bool isJson(std::string_view body)
{
    // A bare value is valid JSON too, but QJsonDocument accepts only objects and arrays.
    QByteArray wrapped = "[";
    wrapped.append(body.data(), static_cast<qsizetype>(body.size()));
    wrapped.append(']');
    QJsonParseError error;
    QJsonDocument::fromJson(wrapped, &error);
    return !body.empty() && error.error == QJsonParseError::NoError;
}

bool parseLoad(std::string_view header, endpoint_report &report)
{
    const char *end = header.data() + header.size();
    const auto load = std::from_chars(header.data(), end, report.load);
    constexpr std::string_view ageField = ";age_ms=";
    const std::string_view suffix(load.ptr, static_cast<std::size_t>(end - load.ptr));
    if (load.ec != std::errc{} || !(report.load >= 0) || !suffix.starts_with(ageField)) {
        return false;
    }
    std::int64_t milliseconds = 0;
    const auto age = std::from_chars(suffix.data() + ageField.size(), end, milliseconds);
    report.age = std::chrono::milliseconds(milliseconds);
    report.hasLoad = age.ec == std::errc{} && milliseconds >= 0;
    return report.hasLoad;
}

} // namespace masticlever::calls::detail
