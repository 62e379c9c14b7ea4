#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/// \file
/// Divides the file descriptors of a process between callers and endpoints, and decides which connection of callers is
/// closed when there are too many, so that new callers are not kept out by those that came first.

namespace masticlever::net
{

/// Number of file descriptors that the process may open.
std::size_t descriptorLimit();

/// What a connection waits for, in the order in which connections are given up.
enum class connection_activity {
    closing, ///< the peer's close; its last answer is sent
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

/// Limits for connections that take descriptors from one another. Whichever side grows first, both together stay within
/// three quarters of the descriptors, or an eighth above where one of them has only the eighth that it always may.
class descriptor_shares
{
public:
    explicit descriptor_shares(std::size_t descriptors) : m_eighth(descriptors / 8) { }

    /// Connections to endpoints that may be open beside \p callers connections of callers.
    std::size_t endpointLimit(std::size_t callers) const;
    /// Lowers \p greatest to what callers may have beside \p endpoints connections to endpoints. When no further
    /// connection to an endpoint may be opened, callers can still connect, so that they are answered.
    connection_limits callerLimits(const connection_limits &greatest, std::size_t endpoints) const;

private:
    std::size_t m_eighth; ///< of the descriptors
};

/// Decides after \p connections has grown by its last element. Of all connections, or those of the same address if it
/// has too many, the one is closed that has been closing, or else unused, idle or stalled for longest. If all are
/// active, the new one is closed, and the oldest one that is not to be closed yet after its answer.
connection_decision onConnectionAdded(std::span<const connection_state> connections, const connection_limits &limits);

} // namespace masticlever::net
