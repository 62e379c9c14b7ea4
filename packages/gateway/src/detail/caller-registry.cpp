#include "caller-registry.h"

#include <masticlever/common/time.h>
#include <masticlever/telemetry/events.h>

#include <QHostAddress>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace masticlever::gateway::detail
{

namespace
{

constexpr std::chrono::milliseconds updateInterval{100};

void report(std::string_view cause, const connection_guard &guard, std::size_t bytes)
{
    const std::string address = QHostAddress(guard.address).toString().toStdString();
    telemetry::logEvent(
        telemetry::event::caller_shed,
        {{"cause", cause}, {"address", std::string_view(address)}, {"bytes", static_cast<std::uint64_t>(bytes)}});
}

} // namespace

caller_registry::caller_registry(const net::connection_limits &connections, std::size_t memoryLimit)
    : m_limits(connections), m_memory({.limit = memoryLimit})
{
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] {
        const std::map<const QTcpSocket *, connection_guard *> guards = m_guards; // shed connections leave it
        for (const auto &[socket, guard] : guards) {
            if (m_guards.contains(socket)) {
                updateMemory(*guard);
            }
        }
    });
    m_timer.start(updateInterval);
}

void caller_registry::add(QTcpSocket *socket, const guard_limits &limits)
{
    auto *guard = new connection_guard(socket, limits, [this](connection_guard &used) { updateMemory(used); });
    guard->number = ++m_lastNumber;
    guard->address = socket->peerAddress().toIPv4Address();
    m_guards.emplace(socket, guard);
    const auto forget = [this, socket, number = guard->number] {
        m_guards.erase(socket);
        m_memory.remove(number);
    };
    QObject::connect(socket, &QTcpSocket::disconnected, &m_timer, forget);
    QObject::connect(socket, &QObject::destroyed, &m_timer, forget);
    limitConnections(*guard);
}

void caller_registry::onAnswered(const QTcpSocket *socket)
{
    const auto found = m_guards.find(socket);
    if (found != m_guards.end()) {
        found->second->onAnswered();
        updateMemory(*found->second);
    }
}

connection_guard *caller_registry::findGuard(std::uint64_t number) const
{
    const auto found = std::ranges::find_if(m_guards, [&](const auto &item) { return item.second->number == number; });
    return found == m_guards.end() ? nullptr : found->second;
}

void caller_registry::limitConnections(const connection_guard &added)
{
    if (m_guards.size() <= m_limits.perAddress) {
        return;
    }
    const auto stateOf = [now = steadyNow()](const connection_guard &guard) {
        return net::connection_state{guard.number, guard.address, guard.activity(now), guard.lastProgressAt(),
                                     guard.isClosingAfterAnswer()};
    };
    std::vector<net::connection_state> connections;
    for (const auto &[socket, guard] : m_guards) {
        if (guard != &added) {
            connections.push_back(stateOf(*guard));
        }
    }
    connections.push_back(stateOf(added));
    const net::connection_decision decision = net::onConnectionAdded(connections, m_limits);
    if (connection_guard *guard = decision.last ? findGuard(*decision.last) : nullptr) {
        guard->closeAfterAnswer();
    }
    if (connection_guard *guard = decision.closed ? findGuard(*decision.closed) : nullptr) {
        report("connections", *guard, guard->memoryUse().total());
        guard->close();
    }
}

void caller_registry::updateMemory(connection_guard &guard)
{
    if (findGuard(guard.number) == nullptr) {
        return; // closed meanwhile
    }
    for (const net::shed_decision &shed : m_memory.update(guard.number, guard.memoryUse(), steadyNow())) {
        if (connection_guard *target = findGuard(shed.connection)) {
            report(net::nameOf(shed.cause), *target, shed.bytes);
            target->shed();
        }
    }
}

} // namespace masticlever::gateway::detail
