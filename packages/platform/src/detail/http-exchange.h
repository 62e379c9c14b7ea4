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
/// HTTP requests to the platform with a timeout and a maximum answer size.

namespace masticlever::platform::detail
{

struct http_answer {
    int status = 0;
    QByteArray applied; ///< value of "Masticlever-Applied"
    QByteArray body;
};

using answer_handler = std::function<void(common::result<http_answer>)>;

/// Base URL of the platform, and the instance name that is sent with each request.
struct http_client {
    QUrl base;
    QByteArray name;

    QNetworkRequest request(const QString &path, const QUrlQuery &query, std::chrono::milliseconds timeout) const;
};

http_client makeClient(std::string_view url, std::string_view name);

/// Reads \p reply up to \p maxBytes and calls \p done once with the answer, whatever its status, or an error.
/// error::unavailable: no connection was made. error::too_large: the answer exceeds \p maxBytes. error::lost_answer:
/// any other failure. \p done is not called after \p context is destroyed.
void receiveAnswer(QNetworkReply *reply, qint64 maxBytes, QObject *context, answer_handler done);

} // namespace masticlever::platform::detail
