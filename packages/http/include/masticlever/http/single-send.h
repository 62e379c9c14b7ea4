#pragma once

#include <QByteArray>
#include <QNetworkRequest>

class QNetworkAccessManager;
class QNetworkReply;

/// \file
/// POST requests that reach the server at most once.
///
/// QNetworkAccessManager sends a request again by itself when the connection closes without an answer. A body that
/// can't be rewound stops it: the reply fails with QNetworkReply::ContentReSendError instead.

namespace masticlever::http
{

/// Posts \p body and never sends it again: not after a closed connection, not after a redirect.
/// The reply belongs to the caller. Any failure but a refused connection may mean that the server has the request.
QNetworkReply *postOnce(QNetworkAccessManager &manager, QNetworkRequest request, QByteArray body);

} // namespace masticlever::http
