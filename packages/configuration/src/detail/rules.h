#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

/// \file
/// Formats and limits of resource specifications and log records.

namespace masticlever::configuration::detail
{

constexpr std::size_t maximumStages = 16; ///< per pipeline
constexpr std::size_t maximumTokenDigests = 64; ///< per team
constexpr std::size_t maximumTeamPipelines = 64; ///< per team
constexpr std::int64_t maximumDeadlineMs = 600'000;
constexpr std::int64_t maximumTeamInFlight = 100'000;
constexpr std::int64_t maximumTeamBodyBytes = std::int64_t{16} * 1024 * 1024;
constexpr std::int64_t maximumSlots = 10'000;
constexpr double maximumCostPerCall = 1e9;
constexpr double minimumWeight = 0.001;
constexpr double maximumWeight = 1000;

constexpr std::size_t maximumChangeBytes = std::size_t{64} * 1024; ///< of a change record
constexpr std::size_t maximumSnapshotBytes = std::size_t{8} * 1024 * 1024; ///< of a snapshot record
constexpr std::size_t maximumStateBytes = std::size_t{4} * 1024 * 1024; ///< of all names and specifications
constexpr std::size_t maximumRememberedOutcomes = 4096; ///< the oldest outcome is dropped first
constexpr std::size_t maximumDetailBytes = 160; ///< of each text in an outcome

/// [a-z0-9][a-z0-9-]{0,62}
bool isName(std::string_view text);
/// "IP:port" in canonical form; IPv6 in brackets.
bool isAddress(std::string_view text);
/// 64 lower-case hexadecimal digits.
bool isDigest(std::string_view text);
/// Absolute HTTP path without query or fragment.
bool isHttpPath(std::string_view text);
/// 1 to 64 letters, digits, '-', '_' or '.'.
bool isChangeId(std::string_view text);

} // namespace masticlever::configuration::detail
