#pragma once

#include <masticlever/membership/membership.h>
#include <masticlever/platform/log-service.h>

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Messages between daemons: datagrams with news of the membership, and requests for configuration records.

namespace masticlever::peers
{

/// What a receiver is to answer at once; all but the last only if it does not know the sender.
enum class introduction : std::uint8_t {
    none,
    self, ///< its own notice
    fleet, ///< all live instances that it knows
    heartbeats, ///< its own notice, and its heartbeats for a while: the sender watches it and has heard none
};

/// One datagram. The sender's own notice comes with every one; its heartbeat numbers the datagrams.
struct gossip_message {
    membership::instance_notice sender;
    std::vector<membership::instance_notice> notices; ///< changes of other instances
    std::vector<membership::lost_notice> losses;
    std::vector<membership::endpoint_notice> leavingEndpoints;
    std::vector<std::string> suspects; ///< names of endpoints that the sender finds silent
    introduction wanted = introduction::fleet;

    bool operator==(const gossip_message &) const = default;
};

/// Asks for up to \c limit configuration records from offset \c from (inclusive).
struct records_request {
    platform::log_offset from = 1;
    std::uint32_t limit = 0;

    bool operator==(const records_request &) const = default;
};

/// Answer to a records_request; \c batch is empty unless \c available.
struct records_answer {
    bool available = false;
    platform::log_batch batch;
};

} // namespace masticlever::peers
