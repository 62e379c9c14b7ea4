#pragma once

#include <masticlever/http1/message-reader.h>
#include <masticlever/net/stream-socket.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// A caller of the daemons, on a raw connection.

namespace masticlever::site
{

/// A raw connection of a caller.
class site_caller final : private net::socket_handler, private http1::message_sink
{
public:
    explicit site_caller(const std::string &address);

    void send(std::string_view bytes) { m_socket->write(bytes); }
    bool isConnected() const { return m_socket->isConnected(); }
    void leave() { m_socket->abort(); }
    /// Closes in order after what was sent.
    void finish() { m_socket->closeWhenSent(); }

    std::vector<http1::message_head> heads;
    std::vector<std::string> bodies; ///< one for each head
    std::size_t whole = 0; ///< answers that have ended
    bool isClosed = false;
    bool isCut = false; ///< closed in the middle of an answer

private:
    void onBytes(std::string_view bytes) override;
    void onClosed(net::close_reason reason) override;
    void onHead(http1::message_head head) override;
    void onBody(std::string_view bytes) override { bodies.back() += bytes; }
    void onEnd() override { ++whole; }

    net::stream_socket::pointer m_socket;
    http1::message_reader m_reader;
};

} // namespace masticlever::site
