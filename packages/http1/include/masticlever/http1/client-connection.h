#pragma once

#include <masticlever/common/time.h>
#include <masticlever/http1/message-reader.h>
#include <masticlever/net/stream-socket.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

/// \file
/// A connection to an HTTP/1.1 server that carries one exchange at a time. Requests are never resent.

namespace masticlever::http1
{

enum class exchange_failure {
    not_connected, ///< no byte of the request was sent
    closed, ///< the connection closed before the response was complete
    garbled, ///< the received bytes are not a valid response
    invalid_status, ///< the status is none of 100 to 599; see client_connection::invalidStatusLine()
};

/// Receives the response of one exchange. onEnd or onFailure is the last call.
class exchange_handler
{
public:
    virtual ~exchange_handler() = default;
    /// Returns false when the response belongs to another request; it is skipped and the next one is awaited.
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

    /// Sends a request with \p head and \p body. \p handler must outlive the exchange, unless abandon() is called
    /// first.
    void start(std::string_view head, std::string_view body, bool isHead, exchange_handler &handler);
    void start(std::string_view head, std::span<const std::string_view> body, bool isHead, exchange_handler &handler);
    /// Cancels the exchange without calling the handler, and resets the connection.
    void abandon();
    /// Fails the exchange with not_connected if the connection is not established yet.
    void failConnecting();

    bool isConnected() const { return m_isConnected; }
    /// Returns whether no exchange is in flight and the connection can be used for another one.
    bool isReusable() const;
    bool isOpen() const { return m_isOpen; }
    std::size_t unsentBytes() const { return m_socket->unsentBytes(); }
    /// Whether the current exchange is the first one, so that a response cannot belong to an earlier request.
    bool isFirstExchange() const { return m_exchanges == 1; }
    const std::string &invalidStatusLine() const { return m_reader.invalidStatusLine(); }
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
    std::size_t m_exchanges = 0; ///< started on this connection
    bool m_isConnected = false;
    bool m_isOpen = true;
    bool m_isSkipping = false; ///< the current response belongs to another request
    bool m_hasSkipped = false; ///< a response was skipped: responses and requests no longer alternate
    bool m_keepsAlive = true;
    bool m_hasReadResponse = false; ///< the reader is still at the end of the previous response
    std::size_t m_skippedBytes = 0; ///< body bytes of skipped responses
};

} // namespace masticlever::http1
