#pragma once

#include <masticlever/common/result.h>
#include <masticlever/peers/codec.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

namespace masticlever::peers::detail
{

/// Serves requests for configuration records, one per connection.
class records_server
{
public:
    using provider = std::function<records_answer(const records_request &)>;
    using refused_handler = std::function<void(std::error_code)>;

    struct options {
        std::string key;
        std::size_t maximumConnections = 0;
        std::chrono::milliseconds timeout{0};
    };

    records_server(options settings, provider provideRecords, refused_handler onRefused);

    bool listen(const QHostAddress &host, std::uint16_t port) { return m_server.listen(host, port); }
    std::uint16_t port() const { return m_server.serverPort(); }
    void close() { m_server.close(); }
    std::uint64_t served() const { return m_served; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    void accept();
    void onReadable(QTcpSocket &socket, const std::string &challenge);
    void respond(QTcpSocket &socket, const std::string &frame, const std::string &challenge);
    void reject(QTcpSocket &socket, std::error_code reason);

    options m_options;
    provider m_provideRecords;
    refused_handler m_onRefused;
    std::size_t m_connections = 0;
    std::uint64_t m_served = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    QTcpServer m_server; // declared last: its connections close before the members that their slots use are destroyed
};

} // namespace masticlever::peers::detail
