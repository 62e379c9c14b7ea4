#pragma once

#include "api.h"

#include <QNetworkAccessManager>
#include <QUrl>

#include <chrono>

/// \file
/// HTTP client of the operator API; sends one blocking request at a time.

namespace masticlever::masticleverctl
{

/// The network library may send a request twice. Changes of resources carry an id that
/// deduplicates them; drain and settle carry none.
class http_api : public api
{
public:
    http_api(QUrl server, QByteArray token, std::chrono::milliseconds timeout);

    api_response send(const api_request &request) override;

private:
    QUrl m_server;
    QByteArray m_token;
    std::chrono::milliseconds m_timeout;
    QNetworkAccessManager m_network;
};

} // namespace masticlever::masticleverctl
