#pragma once

#include "api.h"

#include <QNetworkAccessManager>
#include <QUrl>

#include <chrono>

/// \file
/// The operator API over HTTP, one blocking request at a time.

namespace masticlever::masticleverctl
{

/// Requests may be sent twice by the network library: every change carries an id that makes the second one harmless.
class http_api : public api
{
public:
    http_api(QUrl server, QByteArray token, std::chrono::milliseconds timeout);

    response send(const request &what) override;

private:
    QUrl m_server;
    QByteArray m_token;
    std::chrono::milliseconds m_timeout;
    QNetworkAccessManager m_network;
};

} // namespace masticlever::masticleverctl
