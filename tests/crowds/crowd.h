#pragma once

#include <masticlever/net/stream-socket.h>

#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Many connections that send as fast as they are read, and do not read what they are sent. All of them share the bytes
/// to send, so that the crowd itself needs little memory.

namespace masticlever::crowds
{

/// What each connection of a crowd sends.
struct transmission {
    std::string opening; ///< sent once
    std::string repeated; ///< sent over and over, until \c repeatedBytes are sent
    std::size_t repeatedBytes = 0;
    /// The last of the repeated bytes that are sent one at a time, one with each advance().
    std::size_t trickledBytes = 0;
    /// Most bytes that a connection sends with each advance(). Without a limit, one whose bytes are discarded as fast
    /// as they arrive never blocks, and leaves no time for others in its process.
    std::size_t bytesPerTurn = std::numeric_limits<std::size_t>::max();
    /// Whether a connection that has sent everything, or was closed, is replaced by a new one.
    bool isReconnecting = false;
};

class crowd
{
public:
    crowd() = default;
    ~crowd();
    crowd(const crowd &) = delete;
    crowd &operator=(const crowd &) = delete;

    /// Opens \p count connections to "IP:port".
    void add(std::size_t count, const std::string &address, transmission sent);
    /// Sends what can be sent without blocking.
    void advance();
    std::size_t openConnections() const;

private:
    struct connection {
        std::shared_ptr<const transmission> script;
        net::socket_address target;
        int descriptor = -1;
        std::size_t sent = 0;
    };

    static void open(connection &target);
    static std::string_view nextBytes(const connection &target);
    static void advance(connection &target);

    std::vector<connection> m_connections;
};

} // namespace masticlever::crowds
