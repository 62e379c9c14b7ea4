#pragma once

#include "connection-guard.h"

#include <masticlever/net/connection-limit.h>
#include <masticlever/net/memory-account.h>

#include <QTimer>

#include <cstdint>
#include <map>

/// \file
/// Limits the number of callers' connections and what they make the process hold, over all connections of the server.

namespace masticlever::gateway::detail
{

class caller_registry
{
public:
    /// \p memoryLimit is in bytes.
    caller_registry(const net::connection_limits &connections, std::size_t memoryLimit);

    void add(QTcpSocket *socket, const guard_limits &limits);
    /// The answer to the request that is in flight on the connection is complete.
    void onAnswered(const QTcpSocket *socket);

private:
    void limitConnections(const connection_guard &added);
    void updateMemory(connection_guard &guard);
    connection_guard *findGuard(std::uint64_t number) const;

    net::connection_limits m_limits;
    net::memory_account m_memory;
    std::map<const QTcpSocket *, connection_guard *> m_guards; ///< owned by their sockets
    std::uint64_t m_lastNumber = 0;
    QTimer m_timer; ///< counts what was written and not sent since
};

} // namespace masticlever::gateway::detail
