#include "http-caller.h"

#include <QJsonDocument>
#include <QUrl>

#include <algorithm>

namespace masticlever::process
{

http_call::http_call(QNetworkReply *reply) : m_reply(reply)
{
    QObject::connect(reply, &QNetworkReply::readyRead, reply, [this] { m_body += m_reply->readAll(); });
    QObject::connect(reply, &QNetworkReply::finished, reply, [this] { onFinished(); });
}

http_call::~http_call()
{
    delete m_reply.data();
}

void http_call::onFinished()
{
    m_body += m_reply->readAll();
    m_status = m_reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    m_headers = m_reply->rawHeaderPairs();
    const QNetworkReply::NetworkError error = m_reply->error();
    // Errors from ContentAccessDenied on represent the status of a complete answer.
    m_isComplete = m_status != 0 && (error == QNetworkReply::NoError || error >= QNetworkReply::ContentAccessDenied);
    m_isDone = true;
}

QByteArray http_call::header(const char *name) const
{
    const QByteArray wanted(name);
    const auto found = std::find_if(m_headers.begin(), m_headers.end(), [&](const auto &each) {
        return each.first.compare(wanted, Qt::CaseInsensitive) == 0;
    });
    return found == m_headers.end() ? QByteArray() : found->second;
}

QJsonObject http_call::json() const
{
    return QJsonDocument::fromJson(m_body).object();
}

std::vector<stream_event> http_call::events() const
{
    std::vector<stream_event> events;
    for (qsizetype begin = 0, end = m_body.indexOf("\n\n"); end >= 0; end = m_body.indexOf("\n\n", begin)) {
        stream_event event;
        for (const QByteArray &line : m_body.mid(begin, end - begin).split('\n')) {
            if (line.startsWith("event: ")) {
                event.name = line.mid(7);
            } else if (line.startsWith("data: ")) {
                event.data = QJsonDocument::fromJson(line.mid(6)).object();
            }
        }
        events.push_back(event);
        begin = end + 2;
    }
    return events;
}

void http_call::abort()
{
    if (m_reply != nullptr) {
        m_reply->abort();
    }
}

http_call_ptr http_caller::send(const QByteArray &method, const QString &address, const QString &target,
                                const QByteArray &body, const header_list &headers)
{
    QNetworkRequest request(QUrl(QStringLiteral("http://") + address + target));
    request.setHeader(QNetworkRequest::ContentTypeHeader, QByteArray("application/json"));
    for (const auto &[name, value] : headers) {
        request.setRawHeader(name, value);
    }
    if (method == "POST") {
        return std::make_shared<http_call>(m_pool.postOnce(request, body));
    }
    return std::make_shared<http_call>(m_pool.send(method, request, body));
}

http_call_ptr http_caller::request(const QByteArray &method, const QString &address, const QString &target,
                                   const QByteArray &body, const header_list &headers)
{
    auto call = send(method, address, target, body, headers);
    waitUntil([&] { return call->isDone(); });
    return call;
}

bool waitForAll(const std::vector<http_call_ptr> &calls, std::chrono::milliseconds timeout)
{
    const auto isDone = [](const http_call_ptr &each) { return each->isDone(); };
    return waitUntil([&] { return std::all_of(calls.begin(), calls.end(), isDone); }, timeout);
}

QByteArray toJson(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

} // namespace masticlever::process
