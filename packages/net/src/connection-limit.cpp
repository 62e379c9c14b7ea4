#include <masticlever/net/connection-limit.h>

#include <sys/resource.h>

#include <algorithm>
#include <tuple>

namespace masticlever::net
{

std::size_t descriptorLimit()
{
    constexpr std::size_t usualLimit = 1024;
    rlimit files{};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur != RLIM_INFINITY;
    return isKnown ? files.rlim_cur : usualLimit;
}

std::size_t descriptor_shares::endpointLimit(std::size_t callers) const
{
    const std::size_t shared = m_eighth * 5;
    return std::max(m_eighth, shared - std::min(callers, shared));
}

connection_limits descriptor_shares::callerLimits(const connection_limits &greatest, std::size_t endpoints) const
{
    const std::size_t shared = m_eighth * 6;
    const std::size_t total = std::min(greatest.total, std::max(m_eighth, shared - std::min(endpoints, shared)));
    return {std::min(greatest.perAddress, total / 8 * 7), total};
}

connection_decision onConnectionAdded(std::span<const connection_state> connections, const connection_limits &limits)
{
    if (connections.empty()) {
        return {};
    }
    const connection_state &added = connections.back();
    const auto ofAddress
        = static_cast<std::size_t>(std::ranges::count(connections, added.address, &connection_state::address));
    const bool isAddressFull = ofAddress > limits.perAddress;
    if (!isAddressFull && connections.size() <= limits.total) {
        return {};
    }
    const auto rank = [](const connection_state &connection) {
        // An unused connection gets no younger by sending its head byte by byte.
        const bool isUnused = connection.activity == connection_activity::unused;
        return std::tuple(connection.activity, isUnused ? common::instant{} : connection.since, connection.number);
    };
    const connection_state *first = nullptr;
    const connection_state *oldestActive = nullptr;
    for (const connection_state &connection : connections.first(connections.size() - 1)) {
        if (isAddressFull && connection.address != added.address) {
            continue;
        }
        if (connection.activity != connection_activity::active) {
            first = first == nullptr || rank(connection) < rank(*first) ? &connection : first;
        } else if (!connection.isLast && (oldestActive == nullptr || connection.number < oldestActive->number)) {
            oldestActive = &connection;
        }
    }
    if (first != nullptr) {
        return {.closed = first->number, .last = {}};
    }
    return {.closed = added.number,
            .last = oldestActive == nullptr ? std::nullopt : std::optional(oldestActive->number)};
}

} // namespace masticlever::net
