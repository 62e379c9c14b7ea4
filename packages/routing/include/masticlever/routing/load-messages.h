#pragma once

#include <masticlever/common/result.h>
#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// What instances and the reader tell each other of the load of endpoints, and its encoding. Token counts are rounded
/// to \c tokenUnit in messages.

namespace masticlever::routing
{

/// Identifies an endpoint in messages. Ids would take most of the budget of an update. Two endpoints with the same key
/// share one view; among 600 endpoints this happens with a probability of 4 in 100,000.
using endpoint_key = std::uint32_t;

endpoint_key endpointKey(std::string_view id);

constexpr std::uint64_t tokenUnit = 64;

/// Reported by an instance for one endpoint: its own requests there now, and what ended since its last report.
struct load_report_entry {
    endpoint_key endpoint = 0;
    std::uint32_t inFlight = 0;
    std::uint64_t tokens = 0; ///< prompt and expected output tokens of these requests
    std::uint64_t pendingTokens = 0; ///< prompt tokens of those of them without an answer
    std::uint32_t answered = 0;
    std::uint32_t failed = 0;
    std::uint32_t firstEvents = 0; ///< requests whose first event arrived
    /// Sum of the binary logarithms of their times to the first event in microseconds per prompt token. Logarithms,
    /// because these times spread over a factor of 25 and a mean would follow the largest of them.
    double slownessSum = 0;

    bool operator==(const load_report_entry &) const = default;
};

/// Sent by the reader for one endpoint: sums over all reporters.
struct load_update_entry {
    endpoint_key endpoint = 0;
    std::uint32_t inFlight = 0;
    std::uint64_t tokens = 0;
    std::uint64_t pendingTokens = 0;
    double failureShare = 0;
    std::uint32_t evidence = 0; ///< reporters that the failure share rests on
    double pace = 1;
    common::duration age{}; ///< of the oldest report in the sums

    bool operator==(const load_update_entry &) const = default;
};

std::string encodeLoadReport(std::span<const load_report_entry> entries);
common::result<std::vector<load_report_entry>> decodeLoadReport(std::string_view bytes);

std::string encodeLoadUpdate(std::span<const load_update_entry> entries);
common::result<std::vector<load_update_entry>> decodeLoadUpdate(std::string_view bytes);
/// Bytes of \p entry in an encoded update.
std::size_t encodedBytes(const load_update_entry &entry);

} // namespace masticlever::routing
