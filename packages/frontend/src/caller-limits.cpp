#include "caller-limits.h"

#include <masticlever/net/stream-socket.h>
#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <optional>

namespace masticlever::frontend
{

namespace
{

const telemetry::metric_family rejectionsFamily{"masticlever_frontend_rejections_total",
                                                "Requests rejected and connections closed at callers, by cause."};

/// Five eighths of the descriptors for one address, as a load balancer may be the only peer, and three quarters for all
/// leave an eighth for endpoints and one for the rest. Each connection may also fill its receive buffer. An eighth of
/// the connections is for other addresses.
net::connection_limits connectionLimits(const frontend_settings &settings, std::size_t memoryBytes, std::size_t files)
{
    constexpr std::size_t bytesEach = 2 * caller_connection::idleReceiveBuffer; // the kernel takes twice its size
    const auto fitting
        = static_cast<std::size_t>(settings.connectionMemoryShare * static_cast<double>(memoryBytes)) / bytesEach;
    const std::size_t total = std::min(files / 4 * 3, fitting);
    const std::size_t perAddress = settings.connectionsPerAddress > 0 ? settings.connectionsPerAddress : files / 8 * 5;
    return {std::min(perAddress, total / 8 * 7), total};
}

caller_connection *findCaller(const caller_map &callers, std::optional<std::uint64_t> number)
{
    const auto found
        = std::ranges::find_if(callers, [&](const auto &item) { return number && item.first->number == *number; });
    return found == callers.end() ? nullptr : found->first;
}

} // namespace

caller_limits::caller_limits(const frontend_settings &settings, std::size_t memoryBytes,
                             telemetry::metric_registry &metrics)
    : m_descriptors(net::descriptorLimit()),
      m_connections(connectionLimits(settings, memoryBytes, net::descriptorLimit())),
      m_memory({.limit = static_cast<std::size_t>(settings.callerMemoryShare * static_cast<double>(memoryBytes))}),
      m_maximumPieces(settings.maximumPieces), m_metrics(metrics)
{ }

void caller_limits::limitConnections(const caller_map &callers, const caller_connection &added, std::size_t endpoints,
                                     common::instant now)
{
    const net::connection_limits limits = m_descriptors.callerLimits(m_connections, endpoints);
    if (callers.size() <= limits.perAddress) {
        return;
    }
    const auto stateOf = [now](const caller_connection &caller) {
        return net::connection_state{caller.number, caller.address, caller.activity(now), caller.lastProgressAt(),
                                     caller.isClosingAfterAnswer()};
    };
    std::vector<net::connection_state> connections;
    connections.reserve(callers.size());
    for (const auto &[raw, caller] : callers) {
        if (!raw->isGone() && raw != &added) {
            connections.push_back(stateOf(*raw));
        }
    }
    connections.push_back(stateOf(added));
    const net::connection_decision decision = net::onConnectionAdded(connections, limits);
    if (caller_connection *last = findCaller(callers, decision.last)) {
        last->closeAfterAnswer();
    }
    if (caller_connection *closed = findCaller(callers, decision.closed)) {
        report("connections", closed->address, closed->memoryUse().total());
        closed->closeNow();
    }
}

bool caller_limits::updateMemory(const caller_map &callers, const caller_connection &caller, const net::memory_use &use,
                                 common::instant now)
{
    bool isKept = true;
    for (const net::shed_decision &shed : m_memory.update(caller.number, use, now)) {
        caller_connection *found = findCaller(callers, shed.connection);
        if (found == nullptr) {
            continue;
        }
        report(net::nameOf(shed.cause), found->address, shed.bytes);
        if (found == &caller) {
            isKept = false;
        } else {
            found->shed();
        }
    }
    return isKept;
}

void caller_limits::forgetGone(const caller_map &callers)
{
    for (const auto &[raw, caller] : callers) {
        if (raw->isGone()) {
            m_memory.remove(raw->number);
        }
    }
}

bool caller_limits::mayHavePieces(const std::vector<std::size_t> &pieces) const
{
    std::size_t left = m_maximumPieces;
    return std::ranges::all_of(pieces, [&left](std::size_t count) {
        const bool isWithin = count <= left;
        left -= std::min(count, left);
        return isWithin;
    });
}

void caller_limits::report(std::string_view cause, std::uint32_t address, std::size_t bytes)
{
    const std::string peer = net::socket_address{address, 0}.toString();
    logEvent(telemetry::event::caller_shed,
             {{"cause", cause}, {"address", std::string_view(peer)}, {"bytes", static_cast<std::uint64_t>(bytes)}});
    count(cause);
}

void caller_limits::count(std::string_view cause)
{
    m_metrics.counterOf(rejectionsFamily, {{"cause", cause}}).add();
}

} // namespace masticlever::frontend
