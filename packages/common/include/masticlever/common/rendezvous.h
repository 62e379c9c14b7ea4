#pragma once

#include <cstdint>

/// \file
/// Rank of a node for a key in rendezvous hashing.

namespace masticlever::common
{

/// Mixes two hashes; the result is the same on every instance.
constexpr std::uint64_t rendezvousRank(std::uint64_t key, std::uint64_t node)
{
    constexpr std::uint64_t spread = 0x9E3779B97F4A7C15ULL;
    constexpr std::uint64_t multiplier = 0xD6E8FEB86659FD93ULL;
    constexpr unsigned half = 32;
    std::uint64_t x = key ^ (node * spread);
    x = (x ^ (x >> half)) * multiplier;
    x = (x ^ (x >> half)) * multiplier;
    return x ^ (x >> half);
}

} // namespace masticlever::common
