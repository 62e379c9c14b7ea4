#pragma once

#include <masticlever/membership/membership.h>
#include <masticlever/platform/log-service.h>

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Messages between daemons: datagrams with membership updates, and requests for configuration records.

namespace masticlever::peers
{

/// What the receiver should send back immediately. Except for heartbeats, only if it does not know the sender.
enum class introduction : std::uint8_t {
    none,
    self, ///< the receiver's own notice
    fleet, ///< all instances that the receiver considers live
    heartbeats, ///< the receiver's own notice, and heartbeats for a while: the sender watches it but received none
};

/// One datagram. Instances of version 4 of the protocol ignore messages with prompt faults, which are therefore sent
/// apart from the others. It always contains the sender's own notice, whose heartbeat is the sequence number of the
/// datagram.
struct gossip_message {
    membership::instance_notice sender;
    std::vector<membership::instance_notice> notices; ///< updates about other instances
    std::vector<membership::lost_notice> losses;
    std::vector<membership::endpoint_notice> leavingEndpoints;
    std::vector<membership::rate_limit_notice> rateLimits;
    std::vector<membership::prompt_fault_notice> promptFaults;
    std::vector<std::string> suspects; ///< names of endpoints that do not respond to the sender
    introduction requested = introduction::fleet;

    bool operator==(const gossip_message &) const = default;
};

/// Requests up to \c limit configuration records, starting at offset \c from (inclusive).
struct records_request {
    platform::log_offset from = 1;
    std::uint32_t limit = 0;

    bool operator==(const records_request &) const = default;
};

/// Response to a records_request; \c batch is empty unless \c available.
struct records_answer {
    bool available = false;
    platform::log_batch batch;
};

} // namespace masticlever::peers
