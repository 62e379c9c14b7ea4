#include "detail/http-exchange.h"

#include <masticlever/common/errors.h>
#include <masticlever/platform/http-platform.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <optional>
#include <utility>

namespace masticlever::platform
{

namespace
{

constexpr std::chrono::milliseconds appendTimeout{5'000};
constexpr std::chrono::milliseconds readTimeoutMargin{5'000}; ///< added to the time that the service may wait
constexpr qint64 maxAppendAnswerBytes = 4LL * 1024;
constexpr qint64 maxReadAnswerBytes = 32LL * 1024 * 1024;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

std::optional<QJsonObject> parseObject(const QByteArray &body)
{
    const QJsonDocument document = QJsonDocument::fromJson(body);
    return document.isObject() ? std::optional(document.object()) : std::nullopt;
}

common::result<log_offset> parseAppend(const common::result<detail::http_answer> &answer)
{
    if (!answer) {
        const bool isNotSent = answer.error() == common::error::unavailable;
        return make_error_code(isNotSent ? common::error::unavailable : common::error::lost_answer);
    }
    const detail::http_answer &received = answer.value();
    if (received.status == statusUnavailable && received.applied == "no") {
        return make_error_code(common::error::unavailable);
    }
    const auto object = parseObject(received.body);
    const qint64 offset = object ? object->value(u"offset").toInteger() : 0;
    if (received.status != statusOk || offset <= 0) {
        return make_error_code(common::error::lost_answer);
    }
    return static_cast<log_offset>(offset);
}

common::result<log_record> parseRecord(const QJsonObject &object)
{
    const qint64 offset = object.value(u"offset").toInteger();
    const auto payload = QByteArray::fromBase64Encoding(object.value(u"payload").toString().toLatin1(),
                                                        QByteArray::AbortOnBase64DecodingErrors);
    if (offset <= 0 || !payload) {
        return make_error_code(common::error::malformed);
    }
    const std::chrono::milliseconds appendedAt(object.value(u"appended_at_ms").toInteger());
    return log_record{static_cast<log_offset>(offset), common::wall_time(appendedAt), payload.decoded.toStdString()};
}

common::result<log_batch> parseRead(const common::result<detail::http_answer> &answer)
{
    if (!answer) {
        const bool isTooLarge = answer.error() == common::error::too_large;
        return make_error_code(isTooLarge ? common::error::too_large : common::error::unavailable);
    }
    if (answer.value().status != statusOk) {
        return make_error_code(common::error::unavailable);
    }
    const auto object = parseObject(answer.value().body);
    if (!object || object->value(u"head").toInteger() <= 0 || object->value(u"end").toInteger() <= 0) {
        return make_error_code(common::error::malformed);
    }
    log_batch batch;
    batch.head = static_cast<log_offset>(object->value(u"head").toInteger());
    batch.end = static_cast<log_offset>(object->value(u"end").toInteger());
    for (const auto &item : object->value(u"records").toArray()) {
        auto record = parseRecord(item.toObject());
        const bool isConsecutive
            = batch.records.empty() || (record && record.value().offset == batch.records.back().offset + 1);
        if (!record || !isConsecutive) {
            return make_error_code(common::error::malformed);
        }
        batch.records.push_back(std::move(record).value());
    }
    return batch;
}

QString recordsPath(std::string_view log)
{
    return QStringLiteral("/v1/logs/") + QString::fromUtf8(log.data(), static_cast<qsizetype>(log.size()))
        + QStringLiteral("/records");
}

/// Uses separate connections for appends and long-polling reads, so that an append never queues behind a read.
class http_log_service final : public log_service
{
public:
    http_log_service(std::string_view url, std::string_view name) : m_client(detail::makeClient(url, name)) { }

    void append(std::string_view log, std::string payload, append_handler handler) override
    {
        const QNetworkRequest request = m_client.request(recordsPath(log), {}, appendTimeout);
        QNetworkReply *reply = m_appends.postOnce(request, QByteArray::fromStdString(payload));
        detail::receiveAnswer(reply, maxAppendAnswerBytes, &m_appends,
                              [done = std::move(handler)](const auto &answer) { done(parseAppend(answer)); });
    }

    void read(std::string_view log, log_offset from, std::size_t limit, std::chrono::milliseconds wait,
              read_handler handler) override
    {
        QUrlQuery query;
        query.addQueryItem(QStringLiteral("from"), QString::number(from));
        query.addQueryItem(QStringLiteral("limit"), QString::number(limit));
        query.addQueryItem(QStringLiteral("wait_ms"), QString::number(wait.count()));
        const QNetworkRequest request = m_client.request(recordsPath(log), query, wait + readTimeoutMargin);
        detail::receiveAnswer(m_reads.get(request), maxReadAnswerBytes, &m_reads,
                              [done = std::move(handler)](const auto &answer) { done(parseRead(answer)); });
    }

private:
    detail::http_client m_client;
    http::manager_pool m_appends;
    http::manager_pool m_reads;
};

} // namespace

std::unique_ptr<log_service> makeHttpLogService(std::string_view url, std::string_view client)
{
    return std::make_unique<http_log_service>(url, client);
}

} // namespace masticlever::platform
