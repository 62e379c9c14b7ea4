#pragma once

#include <system_error>

/// \file
/// Error codes that several packages share, with their std::error_category.

namespace masticlever::common
{

enum class error {
    malformed = 1, ///< input that does not parse or breaks its format
    too_large, ///< input over its size limit
    unavailable, ///< the peer could not be reached; the request had no effect
    lost_answer, ///< the request was sent but its answer was lost; it may have had an effect
    truncated, ///< records below the requested offset are no longer retained
    unauthenticated, ///< a message without a valid authentication code
    timed_out,
    cancelled,
};

const std::error_category &errorCategory() noexcept;
std::error_code make_error_code(error code) noexcept;

} // namespace masticlever::common

template <> struct std::is_error_code_enum<masticlever::common::error> : std::true_type { };
