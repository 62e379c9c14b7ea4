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

QString response::problem() const
{
    const QString type = body.value(u"type"_s).toString();
    const QString prefix = u"urn:masticlever:"_s;
    return type.startsWith(prefix) ? type.mid(prefix.size()) : QString();
}

http_api::http_api(QUrl server, QByteArray token, std::chrono::milliseconds timeout)
    : m_server(std::move(server)), m_token(std::move(token)), m_timeout(timeout)
{ }

response http_api::send(const request &what)
{
    QNetworkRequest outgoing(m_server.resolved(QUrl(what.path)));
    outgoing.setTransferTimeout(static_cast<int>(m_timeout.count()));
    outgoing.setRawHeader("Authorization", "Bearer " + m_token);
    if (!what.body.isEmpty()) {
        outgoing.setHeader(QNetworkRequest::ContentTypeHeader, u"application/json"_s);
    }
    if (what.expectedVersion) {
        outgoing.setRawHeader("If-Match", QByteArray::number(static_cast<qulonglong>(*what.expectedVersion)));
    }
    if (!what.changeId.isEmpty()) {
        outgoing.setRawHeader("Masticlever-Change-Id", what.changeId.toLatin1());
    }
    const std::unique_ptr<QNetworkReply> reply(m_network.sendCustomRequest(outgoing, what.method, what.body));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    response answer;
    answer.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const QJsonDocument document = QJsonDocument::fromJson(reply->readAll());
    const bool isCut = answer.isSuccess() && (!document.isObject() || reply->error() != QNetworkReply::NoError);
    if (answer.status == 0 || isCut) {
        return {0, {}, reply->errorString()};
    }
    answer.body = document.object();
    return answer;
}

} // namespace masticlever::masticleverctl
