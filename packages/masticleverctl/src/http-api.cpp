#include "http-api.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <memory>
#include <utility>

using namespace Qt::Literals::StringLiterals;

namespace masticlever::masticleverctl
{

QString api_response::problem() const
{
    const QString type = body.value(u"type"_s).toString();
    const QString prefix = u"urn:masticlever:"_s;
    return type.startsWith(prefix) ? type.mid(prefix.size()) : QString();
}

http_api::http_api(QUrl server, QByteArray token, std::chrono::milliseconds timeout)
    : m_server(std::move(server)), m_token(std::move(token)), m_timeout(timeout)
{ }

api_response http_api::send(const api_request &request)
{
    QNetworkRequest networkRequest(m_server.resolved(QUrl(request.path)));
    networkRequest.setTransferTimeout(static_cast<int>(m_timeout.count()));
    networkRequest.setRawHeader("Authorization", "Bearer " + m_token);
    if (!request.body.isEmpty()) {
        networkRequest.setHeader(QNetworkRequest::ContentTypeHeader, u"application/json"_s);
    }
    if (request.expectedVersion) {
        networkRequest.setRawHeader("If-Match", QByteArray::number(static_cast<qulonglong>(*request.expectedVersion)));
    }
    if (!request.changeId.isEmpty()) {
        networkRequest.setRawHeader("Masticlever-Change-Id", request.changeId.toLatin1());
    }
    const std::unique_ptr<QNetworkReply> reply(
        m_network.sendCustomRequest(networkRequest, request.method, request.body));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    api_response response;
    response.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const QJsonDocument document = QJsonDocument::fromJson(reply->readAll());
    const bool isTruncated = response.isSuccess() && (!document.isObject() || reply->error() != QNetworkReply::NoError);
    if (response.status == 0 || isTruncated) {
        return {0, {}, reply->errorString()};
    }
    response.body = document.object();
    return response;
}

} // namespace masticlever::masticleverctl
