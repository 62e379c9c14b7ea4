#pragma once

#include <masticlever/common/result.h>
#include <masticlever/common/time.h>

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

/// \file
/// Identity of a caller's request: the team and its UUIDv7 idempotency key.

namespace masticlever::common
{

/// Keys are scoped by team: the same key used by another team identifies a different run.
struct run_key {
    std::string team;
    std::string key; ///< UUIDv7 in lower-case canonical text form

    auto operator<=>(const run_key &) const = default;
};

/// Returns the canonical lower-case form; error::malformed unless \p text is a UUID of version 7 (RFC 9562).
result<std::string> parseKey(std::string_view text);

/// Returns the time stamp in the canonical UUIDv7 \p key.
wall_time keyTime(std::string_view key);

} // namespace masticlever::common

template <> struct std::hash<masticlever::common::run_key> {
    std::size_t operator()(const masticlever::common::run_key &run) const noexcept
    {
        return std::hash<std::string>{}(run.team) * 31 + std::hash<std::string>{}(run.key);
    }
};
