#pragma once

#include <QByteArray>
#include <QNetworkRequest>

class QNetworkAccessManager;
class QNetworkReply;

/// \file
/// POST requests that reach the server at most once.
///
/// QNetworkAccessManager resends a request automatically when the connection closes without a response. A body that
/// cannot be rewound prevents this: the reply fails with QNetworkReply::ContentReSendError instead.

namespace masticlever::http
{

/// Posts \p body and never resends it, neither after a closed connection nor after a redirect. The reply belongs to the
/// caller. After any failure except a refused connection the server may have received the request.
QNetworkReply *postOnce(QNetworkAccessManager &manager, QNetworkRequest request, QByteArray body);

} // namespace masticlever::http
