#include <masticlever/net/connection-limit.h>

#include <sys/resource.h>

#include <algorithm>

namespace masticlever::net
{

std::size_t descriptorLimit()
{
    constexpr std::size_t usualLimit = 1024;
    rlimit files{};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur != RLIM_INFINITY;
    return isKnown ? files.rlim_cur : usualLimit;
}

std::optional<std::uint64_t> connectionToClose(std::span<const connection_state> connections,
                                               const connection_limits &limits)
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
    std::uint64_t oldest = added.number;
    for (const connection_state &connection : connections) {
        const bool isCandidate = connection.isUnused && (!isAddressFull || connection.address == added.address);
        if (isCandidate && connection.number < oldest) {
            oldest = connection.number;
        }
    }
    return oldest;
}

} // namespace masticlever::net
