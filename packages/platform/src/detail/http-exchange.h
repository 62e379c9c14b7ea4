#pragma once

#include <masticlever/common/result.h>
#include <masticlever/http/manager-pool.h>

#include <QByteArray>
#include <QNetworkRequest>
#include <QObject>
#include <QUrl>
#include <QUrlQuery>

#include <chrono>
#include <functional>
#include <string_view>

class QNetworkReply;

/// \file
/// One HTTP exchange with the platform, with a limit of time and a limit of the answer's size.

namespace masticlever::platform::detail
{

struct http_answer {
    int status = 0;
    QByteArray applied; ///< value of "Masticlever-Applied"
    QByteArray body;
};

using answer_handler = std::function<void(common::result<http_answer>)>;

/// Base address of the platform and the name under which this instance calls it.
struct http_client {
    QUrl base;
    QByteArray name;

    QNetworkRequest request(const QString &path, const QUrlQuery &query, std::chrono::milliseconds timeout) const;
};

http_client makeClient(std::string_view url, std::string_view name);

/// Reads \p reply up to \p maxBytes and hands the answer, of any status, to \p done once.
/// error::unavailable: no connection was made. error::too_large: over \p maxBytes. error::lost_answer: any other
/// failure. Nothing is called after \p context has gone.
void collect(QNetworkReply *reply, qint64 maxBytes, QObject *context, answer_handler done);

} // namespace masticlever::platform::detail
