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

constexpr int silenceLimitMs = 120000;
constexpr int statusOk = 200;
constexpr int firstErrorStatus = 400;
constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

std::string_view view(const QByteArray &bytes)
{
    return {bytes.data(), static_cast<std::size_t>(bytes.size())};
}

QByteArray bytes(std::string_view text)
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
    request.setTransferTimeout(silenceLimitMs);
    return request;
}

endpoint_report readReport(const QNetworkReply &reply, const std::string &address)
{
    endpoint_report report;
    report.address = address;
    report.incarnation = reply.rawHeader("Masticlever-Incarnation").toStdString();
    report.leaving = reply.rawHeader("Masticlever-State") == "leaving";
    const QByteArray load = reply.rawHeader("Masticlever-Load");
    detail::parseLoad(view(load), report);
    return report;
}

/// An answer without a digest is taken as it is.
bool hasDigest(const QByteArray &digest, const QByteArray &body)
{
    return digest.isEmpty() || digest == bytes(common::sha256Hex(view(body)));
}

/// One exchange with an endpoint.
struct exchange {
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
        while (!m_exchanges.empty()) {
            cancel(m_exchanges.begin()->second.id);
        }
    }

    void send(const runs::send_call &call, std::string_view traceparent) override
    {
        QNetworkRequest request = makeRequest(call.address, call.path);
        request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
        request.setRawHeader("Masticlever-Call-Id", bytes(call.id.toString()));
        request.setRawHeader("Masticlever-Remaining-Ms", QByteArray::number(milliseconds(call.remaining)));
        request.setRawHeader("Masticlever-Priority", QByteArray::number(call.priority));
        if (!call.idempotencyKey.empty()) {
            request.setRawHeader("Idempotency-Key", bytes(call.idempotencyKey));
            request.setRawHeader("Masticlever-Fencing", QByteArray::number(qulonglong(call.fencing)));
        }
        if (!traceparent.empty()) {
            request.setRawHeader("traceparent", bytes(traceparent));
        }
        exchange one{.id = call.id, .address = call.address};
        if (call.streamed) {
            request.setRawHeader("Accept", "text/event-stream");
            one.stream = std::make_unique<detail::stream_answer>(call.id.toString());
        }
        one.reply = m_pool.postOnce(request, bytes(call.body));
        begin(std::move(one));
    }

    void query(const runs::query_status &query) override
    {
        const QByteArray run = QUrl::toPercentEncoding(QString::fromStdString(query.idempotencyKey));
        QNetworkRequest request = makeRequest(query.address, query.path + "?run=" + run.toStdString());
        request.setRawHeader("Masticlever-Call-Id", bytes(query.id.toString()));
        request.setRawHeader("Masticlever-Fencing", QByteArray::number(qulonglong(query.fencing)));
        exchange one{.id = query.id, .address = query.address, .isQuery = true};
        one.reply = m_pool.get(request);
        begin(std::move(one));
    }

    void cancel(const common::call_id &id) override
    {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end()) {
            return;
        }
        QNetworkReply *reply = found->second.reply;
        m_exchanges.erase(found);
        reply->disconnect(this);
        reply->abort();
        reply->deleteLater();
    }

private:
    void begin(exchange one)
    {
        QNetworkReply *reply = one.reply;
        const common::call_id id = one.id;
        m_exchanges.emplace(id, std::move(one));
        connect(reply, &QNetworkReply::readyRead, this, [this, id] { onReadyRead(id); });
        connect(reply, &QNetworkReply::finished, this, [this, id] { onFinished(id); });
    }

    /// False when the answer carries another call's id.
    bool checkHeaders(exchange &one)
    {
        if (one.headersChecked) {
            return !one.dropped;
        }
        one.headersChecked = true;
        const int status = one.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        if (status == 0) {
            return true;
        }
        const endpoint_report report = readReport(*one.reply, one.address);
        if (report.hasLoad || report.leaving) {
            m_observer.onEndpointReport(report);
        }
        const bool isOwn = one.reply->rawHeader("Masticlever-Call-Id") == bytes(one.id.toString());
        if (status == statusOk && !isOwn && !one.isQuery) {
            one.dropped = drop_reason::wrong_call_id;
        }
        return !one.dropped;
    }

    void onReadyRead(const common::call_id &id)
    {
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end()) {
            return;
        }
        exchange &one = found->second;
        const QByteArray bytesRead = one.reply->readAll();
        if (!checkHeaders(one)) {
            drop(id);
            return;
        }
        const int status = one.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        if (one.stream && status == statusOk) {
            readStream(id, view(bytesRead));
            return;
        }
        one.body += bytesRead;
        if (static_cast<std::size_t>(one.body.size()) > detail::largestAnswer) {
            one.dropped = drop_reason::too_large;
            drop(id);
        }
    }

    void readStream(const common::call_id &id, std::string_view bytesRead)
    {
        exchange &one = m_exchanges.at(id);
        std::string text;
        one.dropped = one.stream->feed(bytesRead, [&](std::string_view token) { text += token; });
        if (one.dropped) {
            drop(id);
            return;
        }
        const bool isWhole = one.stream->isWhole();
        if (!text.empty()) {
            // May cancel this call.
            m_observer.onCallText(id, text);
        }
        if (isWhole && m_exchanges.contains(id)) {
            end(id, {.status = runs::call_status::answered});
        }
    }

    void drop(const common::call_id &id)
    {
        m_observer.onAnswerDropped(*m_exchanges.at(id).dropped);
        end(id, {.status = runs::call_status::invalid});
    }

    /// Lets a whole answer's connection be used again.
    void release(const common::call_id &id)
    {
        const auto found = m_exchanges.find(id);
        QNetworkReply *reply = found->second.reply;
        m_exchanges.erase(found);
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
            release(id);
        } else {
            cancel(id);
        }
        m_observer.onCallEnded(id, ended);
    }

    void onFinished(const common::call_id &id)
    {
        onReadyRead(id);
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end()) {
            return;
        }
        exchange &one = found->second;
        const int status = one.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
        if (status == 0) {
            end(id, {.status = statusOfFailure(one.reply->error())});
        } else if (status >= firstErrorStatus) {
            end(id, readRefusal(one, status));
        } else {
            finishAnswer(one, status);
        }
    }

    static runs::call_status statusOfFailure(QNetworkReply::NetworkError error)
    {
        const bool isUnsent
            = error == QNetworkReply::ConnectionRefusedError || error == QNetworkReply::HostNotFoundError;
        return isUnsent ? runs::call_status::unsent : runs::call_status::failed;
    }

    static runs::call_end readRefusal(const exchange &one, int status)
    {
        runs::call_end ended{.status = runs::call_status::failed};
        ended.retryAfter = std::chrono::seconds(one.reply->rawHeader("Retry-After").toInt());
        const bool mayRefuse
            = status == statusTooManyRequests || status == statusUnavailable || status == statusConflict;
        if (mayRefuse && one.reply->rawHeader("Masticlever-Run") == "no") {
            ended.status = runs::call_status::refused;
        }
        return ended;
    }

    void finishAnswer(exchange &one, int status)
    {
        const common::call_id id = one.id;
        const bool isCut = one.reply->error() != QNetworkReply::NoError || one.stream != nullptr;
        const QByteArray digest = one.reply->rawHeader("Masticlever-Digest");
        if (isCut || status != statusOk) {
            one.dropped = drop_reason::cut;
        } else if (!hasDigest(digest, one.body) || !detail::isJson(view(one.body))) {
            one.dropped = drop_reason::wrong_digest;
        }
        if (one.dropped) {
            drop(id);
            return;
        }
        end(id, {.status = runs::call_status::answered, .body = one.body.toStdString()});
    }

    call_observer &m_observer;
    http::manager_pool m_pool;
    std::map<common::call_id, exchange> m_exchanges;
};

} // namespace

std::unique_ptr<call_client> makeHttpCallClient(call_observer &observer)
{
    return std::make_unique<http_call_client>(observer);
}

} // namespace masticlever::calls
