#pragma once

#include <masticlever/http1/message-reader.h>
#include <masticlever/net/stream-socket.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// HTTP client for tests that keeps everything it receives.

namespace masticlever::site
{

/// One client connection, on which arbitrary bytes can be sent.
class site_caller final : private net::socket_handler, private http1::message_sink
{
public:
    explicit site_caller(const std::string &address);

    void send(std::string_view bytes) { m_socket->write(bytes); }
    void setReading(bool isReading) { m_socket->setReading(isReading); }
    bool isConnected() const { return m_socket->isConnected(); }
    void disconnect() { m_socket->abort(); }
    /// Closes in order once everything is sent.
    void finish() { m_socket->closeWhenSent(); }

    std::vector<http1::message_head> heads;
    std::vector<std::string> bodies; ///< one per head
    std::size_t completeAnswers = 0; ///< number of complete answers
    bool isClosed = false;
    bool isTruncated = false; ///< closed before an answer was complete
    std::string received; ///< all bytes as they arrived

private:
    void onBytes(std::string_view bytes) override;
    void onClosed(net::close_reason reason) override;
    void onHead(http1::message_head head) override;
    void onBody(std::string_view bytes) override { bodies.back() += bytes; }
    void onEnd() override { ++completeAnswers; }

    net::stream_socket::pointer m_socket;
    http1::message_reader m_reader;
};

} // namespace masticlever::site
