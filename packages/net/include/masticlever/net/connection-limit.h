#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/// \file
/// Decides which connection of callers is closed when there are too many, so that file descriptors remain for others
/// and new callers are not kept out by those that came first.

namespace masticlever::net
{

/// Number of file descriptors that the process may open.
std::size_t descriptorLimit();

/// What a connection waits for, in the order in which connections are given up.
enum class connection_activity {
    unused, ///< its first request
    idle, ///< the head of its next request; all former ones are answered
    stalled, ///< the peer, which neither completes its request nor reads its answer
    active, ///< a request is being received, processed or answered
};

struct connection_state {
    std::uint64_t number = 0; ///< greater for newer connections
    std::uint32_t address = 0; ///< of the peer
    connection_activity activity = connection_activity::active;
    common::instant since{}; ///< last byte from or to the peer
    bool isLast = false; ///< it is closed after the answer to the request in flight
};

struct connection_limits {
    std::size_t perAddress = 0;
    std::size_t total = 0;
};

struct connection_decision {
    std::optional<std::uint64_t> closed; ///< the connection to close; nothing when no limit is exceeded
    /// The connection to close after its answer, so that its place is free when the one that is closed comes back.
    std::optional<std::uint64_t> last;
};

/// Decides after \p connections has grown by its last element. Of all connections, or those of the same address if it
/// has too many, the one is closed that has been unused, or else idle, or else stalled for longest. If all are active,
/// the new one is closed, and the oldest one that is not to be closed yet after its answer.
connection_decision onConnectionAdded(std::span<const connection_state> connections, const connection_limits &limits);

} // namespace masticlever::net
