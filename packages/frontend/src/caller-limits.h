#pragma once

#include "caller-connection.h"

#include <masticlever/frontend/frontend-settings.h>
#include <masticlever/net/connection-limit.h>
#include <masticlever/net/memory-account.h>
#include <masticlever/telemetry/metrics.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

/// \file
/// Applies the limits for all callers together to their connections, and reports what was rejected or closed.

namespace masticlever::frontend
{

using caller_map = std::map<caller_connection *, std::unique_ptr<caller_connection>>;

class caller_limits
{
public:
    caller_limits(const frontend_settings &settings, std::size_t memoryBytes, telemetry::metric_registry &metrics);

    /// Closes a connection if there are too many after \p added, beside \p endpoints connections to endpoints.
    void limitConnections(const caller_map &callers, const caller_connection &added, std::size_t endpoints,
                          common::instant now);
    /// Accounts for what \p caller holds and sheds other connections if needed. Returns false when \p caller itself is
    /// to be shed.
    bool updateMemory(const caller_map &callers, const caller_connection &caller, const net::memory_use &use,
                      common::instant now);
    /// Whether callers may hold \p bytes more without any of them being shed.
    bool hasMemory(std::size_t bytes) const { return m_memory.hasRoom(bytes); }
    void forgetGone(const caller_map &callers);
    /// Connections to endpoints that may be open beside \p callers connections of callers.
    std::size_t endpointConnections(std::size_t callers) const { return m_descriptors.endpointLimit(callers); }
    /// Whether a request may have so many pieces in its stages.
    bool mayHavePieces(const std::vector<std::size_t> &pieces) const;
    /// Logs and counts a connection that was closed or a request that was ended for \p cause.
    void report(std::string_view cause, std::uint32_t address, std::size_t bytes);
    void count(std::string_view cause);

private:
    net::descriptor_shares m_descriptors;
    net::connection_limits m_connections; ///< while endpoints have no connection
    net::memory_account m_memory;
    std::size_t m_maximumPieces;
    telemetry::metric_registry &m_metrics;
};

} // namespace masticlever::frontend
