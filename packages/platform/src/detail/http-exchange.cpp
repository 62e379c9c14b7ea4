#include "detail/http-exchange.h"

#include <masticlever/common/errors.h>

#include <QNetworkReply>

#include <memory>
#include <utility>

namespace masticlever::platform::detail
{

namespace
{

struct received_body {
    QByteArray body;
    bool isTooLarge = false;
};

common::result<http_answer> makeAnswer(const QNetworkReply &reply, received_body &received)
{
    if (received.isTooLarge) {
        return make_error_code(common::error::too_large);
    }
    const QVariant status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute);
    const bool isTransportError = reply.error() != QNetworkReply::NoError
        && (!status.isValid() || reply.error() < QNetworkReply::ContentAccessDenied);
    if (reply.error() == QNetworkReply::ConnectionRefusedError || reply.error() == QNetworkReply::HostNotFoundError) {
        return make_error_code(common::error::unavailable);
    }
    if (isTransportError) {
        return make_error_code(common::error::lost_answer);
    }
    return http_answer{status.toInt(), reply.rawHeader("Masticlever-Applied"), std::move(received.body)};
}

} // namespace

QNetworkRequest http_client::request(const QString &path, const QUrlQuery &query,
                                     std::chrono::milliseconds timeout) const
{
    QUrl url = base;
    url.setPath(base.path() + path);
    url.setQuery(query);
    QNetworkRequest result(url);
    result.setRawHeader("Masticlever-Instance", name);
    result.setHeader(QNetworkRequest::ContentTypeHeader, QByteArray("application/octet-stream"));
    result.setTransferTimeout(static_cast<int>(timeout.count()));
    return result;
}

http_client makeClient(std::string_view url, std::string_view name)
{
    QUrl base(QString::fromUtf8(url.data(), static_cast<qsizetype>(url.size())));
    if (base.path().endsWith(u'/')) {
        base.setPath(base.path().chopped(1));
    }
    return {base, QByteArray(name.data(), static_cast<qsizetype>(name.size()))};
}

void receiveAnswer(QNetworkReply *reply, qint64 maxBytes, QObject *context, answer_handler done)
{
    const auto received = std::make_shared<received_body>();
    reply->setReadBufferSize(maxBytes + 1);
    QObject::connect(reply, &QNetworkReply::readyRead, context, [reply, maxBytes, received] {
        received->body += reply->readAll();
        if (received->body.size() > maxBytes && !received->isTooLarge) {
            received->isTooLarge = true;
            reply->abort();
        }
    });
    QObject::connect(reply, &QNetworkReply::finished, context, [reply, received, done = std::move(done)] {
        reply->deleteLater();
        if (!received->isTooLarge) {
            received->body += reply->readAll();
        }
        done(makeAnswer(*reply, *received));
    });
}

} // namespace masticlever::platform::detail
