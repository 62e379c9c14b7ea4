#pragma once

#include <masticlever/gateway/exchange.h>
#include <masticlever/settings/settings.h>

#include <QAbstractHttpServer>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

/// \file
/// HTTP/1.1 server for callers and operators, with or without TLS.

namespace masticlever::gateway
{

struct server_options {
    settings::socket_address address;
    std::string certificateFile; ///< PEM; empty: plain HTTP
    std::string privateKeyFile; ///< PEM
    std::size_t bodyLimitBytes = 262144;
    std::size_t callerMemoryBytes = 0; ///< limit of what all callers make the process hold
    std::chrono::milliseconds idleTimeout{}; ///< of a connection without a request
};

class http_server : public QAbstractHttpServer
{
    Q_OBJECT

public:
    /// Answers the exchange, immediately or later.
    using handler = std::function<void(exchange &)>;

    http_server(server_options options, handler handle);
    ~http_server() override;

    /// Starts listening. Returns an empty string, or an error message.
    std::string start();
    std::uint16_t port() const;
    /// Reloads certificate and key for new connections. Returns an empty string, or an error message.
    std::string reloadCertificate();
    std::size_t openExchanges() const { return m_activeSockets.size(); }

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) override;

private:
    class listener;

    server_options m_options;
    handler m_handler;
    std::unique_ptr<listener> m_listener;
    std::set<QTcpSocket *> m_activeSockets; ///< with an exchange in progress
};

} // namespace masticlever::gateway
