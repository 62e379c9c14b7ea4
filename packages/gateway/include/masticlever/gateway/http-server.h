#pragma once

#include <masticlever/gateway/exchange.h>
#include <masticlever/settings/settings.h>

#include <QAbstractHttpServer>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

/// \file
/// HTTP/1.1 server of callers and operators, plain or with TLS.

namespace masticlever::gateway
{

struct server_options {
    settings::socket_address address;
    std::string certificateFile; ///< PEM; empty: plain HTTP
    std::string privateKeyFile; ///< PEM
    std::size_t bodyLimitBytes = 262144;
};

class http_server : public QAbstractHttpServer
{
    Q_OBJECT

public:
    /// The handler answers the exchange now or later.
    using handler = std::function<void(exchange &)>;

    http_server(server_options options, handler handle);
    ~http_server() override;

    /// Returns an empty text, or why the server cannot listen.
    std::string start();
    std::uint16_t port() const;
    /// Reads certificate and key again; connections that stand keep theirs. Returns an empty text, or the fault.
    std::string reloadCertificate();
    std::size_t openExchanges() const { return m_open.size(); }

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    class listener;

    server_options m_options;
    handler m_handle;
    std::unique_ptr<listener> m_listener;
    std::set<QTcpSocket *> m_open; ///< sockets with an exchange under way
};

} // namespace masticlever::gateway
