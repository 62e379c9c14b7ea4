#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/common/time.h>
#include <masticlever/http1/client-connection.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Connections to endpoints. One that has carried a whole exchange is used again well before the endpoint closes it.

namespace masticlever::frontend
{

struct endpoint_pool_options {
    common::duration connectLimit = std::chrono::milliseconds(250); ///< covers one lost opening packet's detection
    double idleUse = 0.6; ///< part of the endpoint's idle limit for which a connection is kept
    common::duration idleWithoutLimit = std::chrono::milliseconds(300); ///< where the endpoint names no limit
    net::socket_options socket{std::chrono::milliseconds(1000), std::chrono::seconds(1)};
};

class endpoint_pool
{
public:
    using connection = http1::client_connection;

    explicit endpoint_pool(endpoint_pool_options options) : m_options(options) { }

    /// An idle connection or a new one; nullptr when the address cannot be read.
    connection *acquire(const std::string &endpointId, const std::string &address, common::instant now);
    /// Takes a connection back: it is kept if another exchange may follow.
    void release(connection *used, std::optional<common::duration> idleLimit, common::instant now);
    /// Closes what is idle for too long or does not get connected. Not to be called from a connection's handler.
    void sweep(common::instant now);
    /// Closes all idle connections.
    void dropIdle();

private:
    struct entry {
        std::unique_ptr<connection> owned;
        std::string endpointId;
        common::instant since; ///< of the connect, or of becoming idle
        common::duration idleLimit{};
        bool isIdle = false;
    };

    endpoint_pool_options m_options;
    std::map<connection *, entry> m_entries;
    std::vector<std::unique_ptr<connection>> m_ended;
};

} // namespace masticlever::frontend
