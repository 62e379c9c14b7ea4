#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

/// \file
/// Accounts for the memory that callers make a process hold, over all connections, and decides which connection is shed
/// when the limit is reached.

namespace masticlever::net
{

/// What one connection makes the process hold, in bytes.
struct memory_use {
    std::size_t declaredBody = 0; ///< stated length of the body of the request in flight
    std::size_t receivedBody = 0;
    std::size_t allocatedBody = 0; ///< memory that was allocated for the received part
    std::size_t receiveBuffer = 0; ///< that the kernel may take for unread bytes, beyond what every connection has
    std::size_t copies = 0; ///< of the body, while it is sent to an endpoint
    std::size_t readAhead = 0; ///< received after the request in flight
    std::size_t unsent = 0; ///< responses that the caller has not read
    std::size_t spare = 0; ///< allocated for these two beyond their size
    bool isReadingBody = false; ///< the body is not complete
    bool isClosing = false; ///< answered for the last time; what still arrives is discarded

    /// Counts the declared, received or allocated size of the body, whichever is largest.
    std::size_t total() const;
};

struct memory_account_options {
    std::size_t limit = 0; ///< for all connections together
    std::size_t smallUse = 32768; ///< up to this use, a connection may also take the reserve: a head and a short body
    std::size_t reserveDivisor = 8; ///< the reserve is the limit divided by this
    /// A body that has not grown for this time is stalled. A lost segment is usually repeated within one second.
    common::duration stallTime = std::chrono::seconds(2);
};

enum class shed_cause {
    closing, ///< it is being closed and its caller goes on sending
    stalled_body, ///< its body made no progress
    largest, ///< it held most
    newest, ///< the latest of several that held most
};

/// For logs and metrics.
std::string_view nameOf(shed_cause cause);

struct shed_decision {
    std::uint64_t connection = 0;
    shed_cause cause = shed_cause::largest;
    std::size_t bytes = 0; ///< that the connection held
};

class memory_account
{
public:
    explicit memory_account(memory_account_options options) : m_options(options) { }

    /// Sets the use of a connection, which is added if it is new; a greater number means a newer connection. Returns
    /// the connections to shed, which may include this one; they are removed from the account.
    std::vector<shed_decision> update(std::uint64_t connection, const memory_use &use, common::instant now);
    void remove(std::uint64_t connection);

    std::size_t heldBytes() const { return m_held; }
    /// Whether \p bytes more are within the limit without shedding a connection.
    bool hasRoom(std::size_t bytes) const { return m_held + bytes <= m_options.limit; }

private:
    struct entry {
        memory_use use;
        common::instant grownAt; ///< when the received body last grew
    };

    bool isWithinLimit(std::size_t bytes) const;
    shed_decision chooseVictim(common::instant now) const;

    memory_account_options m_options;
    std::size_t m_held = 0;
    std::map<std::uint64_t, entry> m_entries;
};

} // namespace masticlever::net
