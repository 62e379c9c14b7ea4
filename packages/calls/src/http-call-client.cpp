#include "detail/answer-reader.h"

#include <masticlever/calls/http-call-client.h>
#include <masticlever/common/digest.h>
#include <masticlever/http/manager-pool.h>

#include <QByteArray>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QObject>
#include <QString>
#include <QUrl>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace masticlever::calls
{

namespace
{

constexpr int transferTimeoutMs = 120000;
constexpr int statusOk = 200;
constexpr int firstErrorStatus = 400;
constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

std::string_view toView(const QByteArray &bytes)
{
    return {bytes.data(), static_cast<std::size_t>(bytes.size())};
}

QByteArray toByteArray(std::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

long long milliseconds(common::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

QNetworkRequest makeRequest(const std::string &address, const std::string &path)
{
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + address + path)));
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setTransferTimeout(transferTimeoutMs);
    return request;
}

endpoint_report readReport(const QNetworkReply &reply, const std::string &address)
{
    endpoint_report report;
    report.address = address;
    report.incarnation = reply.rawHeader("Masticlever-Incarnation").toStdString();
    report.leaving = reply.rawHeader("Masticlever-State") == "leaving";
    const QByteArray load = reply.rawHeader("Masticlever-Load");
    detail::parseLoad(toView(load), report);
    return report;
}

/// An answer without a digest header is accepted unchecked.
bool matchesDigest(const QByteArray &digest, const QByteArray &body)
{
    return digest.isEmpty() || digest == toByteArray(common::sha256Hex(toView(body)));
}

/// A call or status query that has not ended yet.
struct pending_request {
    common::call_id id;
    std::string address;
    QNetworkReply *reply = nullptr;
    QByteArray body;
    std::unique_ptr<detail::stream_answer> stream;
    std::optional<drop_reason> dropped;
    bool headersChecked = false;
    bool isQuery = false;
};

class http_call_client final : public QObject, public call_client
{
public:
    explicit http_call_client(call_observer &observer) : m_observer(observer) { }

    ~http_call_client() override
    {
        while (!m_pending.empty()) {
            cancel(m_pending.begin()->second.id);
        }
    }

    void send(const runs::send_call &call, std::string_view traceparent) override
    {
        QNetworkRequest request = makeRequest(call.address, call.path);
        request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
        request.setRawHeader("Masticlever-Call-Id", toByteArray(call.id.toString()));
        request.setRawHeader("Masticlever-Remaining-Ms", QByteArray::number(milliseconds(call.remaining)));
        request.setRawHeader("Masticlever-Priority", QByteArray::number(call.priority));
        if (!call.idempotencyKey.empty()) {
            request.setRawHeader("Idempotency-Key", toByteArray(call.idempotencyKey));
            request.setRawHeader("Masticlever-Fencing", QByteArray::number(qulonglong(call.fencing)));
        }
        if (!traceparent.empty()) {
            request.setRawHeader("traceparent", toByteArray(traceparent));
        }
        pending_request pending{.id = call.id, .address = call.address};
        if (call.streamed) {
            request.setRawHeader("Accept", "text/event-stream");
            pending.stream = std::make_unique<detail::stream_answer>(call.id.toString());
        }
        pending.reply = m_pool.postOnce(request, toByteArray(call.body));
        begin(std::move(pending));
    }

    void query(const runs::query_status &query) override
    {
        const QByteArray run = QUrl::toPercentEncoding(QString::fromStdString(query.idempotencyKey));
        QNetworkRequest request = makeRequest(query.address, query.path + "?run=" + run.toStdString());
        request.setRawHeader("Masticlever-Call-Id", toByteArray(query.id.toString()));
        request.setRawHeader("Masticlever-Fencing", QByteArray::number(qulonglong(query.fencing)));
        pending_request pending{.id = query.id, .address = query.address, .isQuery = true};
        pending.reply = m_pool.get(request);
        begin(std::move(pending));
    }

    void cancel(const common::call_id &id) override
    {
        const auto found = m_pending.find(id);
        if (found == m_pending.end()) {
            return;
        }
        QNetworkReply *reply = found->second.reply;
        m_pending.erase(found);
        reply->disconnect(this);
        reply->abort();
        reply->deleteLater();
    }

private:
    void begin(pending_request pending)
    {
        QNetworkReply *reply = pending.reply;
        const common::call_id id = pending.id;
        m_pending.emplace(id, std::move(pending));
        connect(reply, &QNetworkReply::readyRead, this, [this, id] { onReadyRead(id); });
        connect(reply, &QNetworkReply::finished, this, [this, id] { onFinished(id); });
    }

    /// Reports the state of the endpoint; returns false when the answer carries the ID of a different call.
    bool checkHeaders(pending_request &pending)
    {
        if (pending.headersChecked) {
            return !pending.dropped;
        }
        pending.headersChecked = true;
        const int status = pending.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        if (status == 0) {
            return true;
        }
        const endpoint_report report = readReport(*pending.reply, pending.address);
        if (report.hasLoad || report.leaving) {
            m_observer.onEndpointReport(report);
        }
        const bool matchesCallId
            = pending.reply->rawHeader("Masticlever-Call-Id") == toByteArray(pending.id.toString());
        if (status == statusOk && !matchesCallId && !pending.isQuery) {
            pending.dropped = drop_reason::wrong_call_id;
        }
        return !pending.dropped;
    }

    void onReadyRead(const common::call_id &id)
    {
        const auto found = m_pending.find(id);
        if (found == m_pending.end()) {
            return;
        }
        pending_request &pending = found->second;
        const QByteArray bytesRead = pending.reply->readAll();
        if (!checkHeaders(pending)) {
            drop(id);
            return;
        }
        const int status = pending.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        if (pending.stream && status == statusOk) {
            readStream(id, toView(bytesRead));
            return;
        }
        pending.body += bytesRead;
        if (static_cast<std::size_t>(pending.body.size()) > detail::maxAnswerBytes) {
            pending.dropped = drop_reason::too_large;
            drop(id);
        }
    }

    void readStream(const common::call_id &id, std::string_view bytesRead)
    {
        pending_request &pending = m_pending.at(id);
        std::string text;
        pending.dropped = pending.stream->feed(bytesRead, [&](std::string_view token) { text += token; });
        if (pending.dropped) {
            drop(id);
            return;
        }
        const bool isComplete = pending.stream->isComplete();
        if (!text.empty()) {
            // The observer may cancel this call.
            m_observer.onCallText(id, text);
        }
        if (isComplete && m_pending.contains(id)) {
            end(id, {.status = runs::call_status::answered});
        }
    }

    void drop(const common::call_id &id)
    {
        m_observer.onAnswerDropped(*m_pending.at(id).dropped);
        end(id, {.status = runs::call_status::invalid});
    }

    /// Removes an answered call without aborting the reply, so that the connection can be reused.
    void finish(const common::call_id &id)
    {
        const auto found = m_pending.find(id);
        QNetworkReply *reply = found->second.reply;
        m_pending.erase(found);
        reply->disconnect(this);
        if (reply->isFinished()) {
            reply->deleteLater();
        } else {
            connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
        }
    }

    void end(const common::call_id &id, const runs::call_end &ended)
    {
        if (ended.status == runs::call_status::answered) {
            finish(id);
        } else {
            cancel(id);
        }
        m_observer.onCallEnded(id, ended);
    }

    void onFinished(const common::call_id &id)
    {
        onReadyRead(id);
        const auto found = m_pending.find(id);
        if (found == m_pending.end()) {
            return;
        }
        pending_request &pending = found->second;
        const int status = pending.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        if (status == 0) {
            end(id, {.status = statusOfFailure(pending.reply->error())});
        } else if (status >= firstErrorStatus) {
            end(id, readErrorAnswer(pending, status));
        } else {
            finishAnswer(pending, status);
        }
    }

    static runs::call_status statusOfFailure(QNetworkReply::NetworkError error)
    {
        const bool isConnectFailure
            = error == QNetworkReply::ConnectionRefusedError || error == QNetworkReply::HostNotFoundError;
        return isConnectFailure ? runs::call_status::unsent : runs::call_status::failed;
    }

    static runs::call_end readErrorAnswer(const pending_request &pending, int status)
    {
        runs::call_end ended{.status = runs::call_status::failed};
        ended.retryAfter = std::chrono::seconds(pending.reply->rawHeader("Retry-After").toInt());
        const bool isRefusalStatus
            = status == statusTooManyRequests || status == statusUnavailable || status == statusConflict;
        if (isRefusalStatus && pending.reply->rawHeader("Masticlever-Run") == "no") {
            ended.status = runs::call_status::refused;
        }
        return ended;
    }

    void finishAnswer(pending_request &pending, int status)
    {
        const common::call_id id = pending.id;
        const bool isTruncated = pending.reply->error() != QNetworkReply::NoError || pending.stream != nullptr;
        const QByteArray digest = pending.reply->rawHeader("Masticlever-Digest");
        if (isTruncated || status != statusOk) {
            pending.dropped = drop_reason::cut;
        } else if (!matchesDigest(digest, pending.body) || !detail::isJson(toView(pending.body))) {
            pending.dropped = drop_reason::wrong_digest;
        }
        if (pending.dropped) {
            drop(id);
            return;
        }
        end(id, {.status = runs::call_status::answered, .body = pending.body.toStdString()});
    }

    call_observer &m_observer;
    http::manager_pool m_pool;
    std::map<common::call_id, pending_request> m_pending;
};

} // namespace

std::unique_ptr<call_client> makeHttpCallClient(call_observer &observer)
{
    return std::make_unique<http_call_client>(observer);
}

} // namespace masticlever::calls
