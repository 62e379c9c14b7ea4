#include "detail/http-exchange.h"

#include <masticlever/common/errors.h>

#include <QNetworkReply>

#include <memory>
#include <utility>

namespace masticlever::platform::detail
{

namespace
{

struct exchange {
    QByteArray body;
    bool isTooLarge = false;
};

common::result<http_answer> outcome(const QNetworkReply &reply, exchange &state)
{
    if (state.isTooLarge) {
        return make_error_code(common::error::too_large);
    }
    const QVariant status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute);
    const bool isCut = reply.error() != QNetworkReply::NoError
        && (!status.isValid() || reply.error() < QNetworkReply::ContentAccessDenied);
    if (reply.error() == QNetworkReply::ConnectionRefusedError || reply.error() == QNetworkReply::HostNotFoundError) {
        return make_error_code(common::error::unavailable);
    }
    if (isCut) {
        return make_error_code(common::error::lost_answer);
    }
    return http_answer{status.toInt(), reply.rawHeader("Masticlever-Applied"), std::move(state.body)};
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

void collect(QNetworkReply *reply, qint64 maxBytes, QObject *context, answer_handler done)
{
    const auto state = std::make_shared<exchange>();
    reply->setReadBufferSize(maxBytes + 1);
    QObject::connect(reply, &QNetworkReply::readyRead, context, [reply, maxBytes, state] {
        state->body += reply->readAll();
        if (state->body.size() > maxBytes && !state->isTooLarge) {
            state->isTooLarge = true;
            reply->abort();
        }
    });
    QObject::connect(reply, &QNetworkReply::finished, context, [reply, state, done = std::move(done)] {
        reply->deleteLater();
        if (!state->isTooLarge) {
            state->body += reply->readAll();
        }
        done(outcome(*reply, *state));
    });
}

} // namespace masticlever::platform::detail
