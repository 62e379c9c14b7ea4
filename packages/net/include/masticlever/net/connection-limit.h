#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/// \file
/// Decides which connection of callers is closed when there are too many, so that file descriptors remain for others.

namespace masticlever::net
{

/// Number of file descriptors that the process may open.
std::size_t descriptorLimit();

struct connection_state {
    std::uint64_t number = 0; ///< greater for newer connections
    std::uint32_t address = 0; ///< of the peer
    bool isUnused = false; ///< no request has been received on it
};

struct connection_limits {
    std::size_t perAddress = 0;
    std::size_t total = 0;
};

/// Returns the connection to close after \p connections has grown by its last element: the oldest unused one, of the
/// same address if that has too many, or else the last one. Returns nothing when no limit is exceeded.
std::optional<std::uint64_t> connectionToClose(std::span<const connection_state> connections,
                                               const connection_limits &limits);

} // namespace masticlever::net
