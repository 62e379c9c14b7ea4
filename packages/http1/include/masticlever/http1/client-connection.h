#pragma once

#include <masticlever/common/time.h>
#include <masticlever/http1/message-reader.h>
#include <masticlever/net/stream-socket.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// \file
/// One connection to an HTTP/1.1 server that carries one exchange at a time. Nothing is ever sent twice.

namespace masticlever::http1
{

enum class exchange_failure {
    not_connected, ///< no byte of the request has left
    closed, ///< the connection ended before the answer was whole
    garbled, ///< what came is not an answer
};

/// Receives the answer of one exchange. After onEnd or onFailure no further call follows.
class exchange_handler
{
public:
    virtual ~exchange_handler() = default;
    /// False: the answer belongs to another request; it is skipped and the next one awaited.
    virtual bool onHead(const message_head &head) = 0;
    virtual void onBody(std::string_view bytes) = 0;
    virtual void onEnd() = 0;
    virtual void onFailure(exchange_failure failure) = 0;
};

class client_connection final : private net::socket_handler, private message_sink
{
public:
    client_connection(const net::socket_address &address, const net::socket_options &options, reader_limits limits);
    ~client_connection() override;
    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;

    /// \p handler must outlive the exchange or call abandon().
    void start(std::string_view request, bool isHead, exchange_handler &handler);
    /// Drops the exchange and the connection.
    void abandon();
    /// Gives up a connection that is not established yet.
    void failConnecting();

    bool isConnected() const { return m_isConnected; }
    /// No exchange is under way and another one may follow.
    bool isReusable() const;
    bool isOpen() const { return m_isOpen; }
    void setReading(bool isReading) { m_socket->setReading(isReading); }

private:
    void onConnected() override { m_isConnected = true; }
    void onBytes(std::string_view bytes) override;
    void onClosed(net::close_reason reason) override;
    void onHead(message_head head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    void fail(exchange_failure failure);
    void close();

    net::stream_socket::pointer m_socket;
    message_reader m_reader;
    exchange_handler *m_handler = nullptr;
    bool m_isConnected = false;
    bool m_isOpen = true;
    bool m_isSkipping = false; ///< the present answer is not the one that is awaited
    bool m_hasSkipped = false; ///< answers and requests no longer alternate
    bool m_keepsAlive = true;
    bool m_hasAnswered = false;
    std::size_t m_skippedBytes = 0; ///< of answers that are not the one that is awaited
};

} // namespace masticlever::http1
