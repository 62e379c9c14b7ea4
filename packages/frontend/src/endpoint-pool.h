#pragma once

#include "endpoint-gate.h"

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/common/time.h>
#include <masticlever/http1/client-connection.h>

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Pool of connections to endpoints. A connection is reused after a complete exchange, but only well before the
/// endpoint's idle limit closes it. The number of connections is limited, as each of them needs a file descriptor.

namespace masticlever::frontend
{

struct endpoint_pool_options {
    common::duration connectTimeout = std::chrono::milliseconds(250); ///< long enough to detect one lost SYN
    double idleLimitShare = 0.6; ///< share of the endpoint's idle limit for which a connection is kept
    common::duration defaultIdleLimit = std::chrono::milliseconds(300); ///< for endpoints that state no idle limit
    net::socket_options socket{std::chrono::milliseconds(1000), std::chrono::seconds(1)};
};

class endpoint_pool
{
public:
    using connection = http1::client_connection;

    endpoint_pool(endpoint_pool_options options, endpoint_gate &gate) : m_options(options), m_gate(gate) { }

    /// Sets how many connections may be open. Idle ones above it are closed, others stay open until their exchange
    /// ends. May be called from a connection's handler.
    void setLimit(std::size_t connections);
    std::size_t size() const { return m_entries.size(); }
    /// Whether all connections that may be open have an exchange in flight.
    bool isFull() const;

    /// Returns an idle connection or a new one for one request; nullptr when the gate does not admit the request, the
    /// address is malformed or the pool is full.
    connection *acquire(const std::string &endpointId, const std::string &address, forwarding::sender_role role,
                        common::instant now);
    /// Returns a connection to the pool, which keeps it if it can carry another exchange.
    void release(connection *used, std::optional<common::duration> idleLimit, common::instant now);
    /// Closes connections that have been idle for too long and fails those that did not connect in time. Must not be
    /// called from a connection's handler.
    void sweep(common::instant now);
    /// Closes all idle connections.
    void closeIdle();

private:
    struct entry {
        std::unique_ptr<connection> owned;
        std::string endpointId;
        common::instant stateSince; ///< when the connect began, or when it became idle
        common::duration idleLimit{};
        bool isIdle = false;
    };

    /// Closes those that have been idle for longest until no more than \p connections are open, or none is idle.
    void closeIdleAbove(std::size_t connections);

    endpoint_pool_options m_options;
    endpoint_gate &m_gate;
    std::size_t m_limit = std::numeric_limits<std::size_t>::max();
    std::map<connection *, entry> m_entries;
    std::vector<std::unique_ptr<connection>> m_ended;
};

} // namespace masticlever::frontend
