#pragma once

#include <masticlever/common/result.h>
#include <masticlever/common/time.h>
#include <masticlever/platform/log-service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// The lease on a pool of engines, stored in the platform's log. A record takes, renews or releases the lease and names
/// the record that it follows, so that of two concurrent records the one with the lower offset wins on every instance.
/// The offset is the fencing number.

namespace masticlever::orders
{

/// One record of the log "orders".
struct lease_record {
    std::string pool;
    std::string holder; ///< incarnation of the instance
    std::uint64_t nonce = 0; ///< distinguishes the appends of one holder
    platform::log_offset follows = 0; ///< offset of the record it replaces; 0: the first of the pool
    std::chrono::milliseconds duration{0};
    bool release = false;

    bool operator==(const lease_record &) const = default;
};

/// Encodes to JSON. decodeLease() returns error::malformed for text that is not a valid lease record.
std::string encodeLease(const lease_record &record);
common::result<lease_record> decodeLease(std::string_view payload);

/// A pool's lease in the view of one instance.
struct lease {
    std::string holder;
    platform::log_offset fencing = 0;
    bool isReleased = true;
    common::instant expiresAt; ///< counted from the time the record was read
};

/// Replays lease records to find the holder of each lease and when another instance may take it.
///
/// An instance that starts after the log's first records have been removed cannot validate a record that follows a
/// removed one. It accepts the record that follows the highest offset, which is also the one that instances with the
/// complete log accept.
class lease_table
{
public:
    /// \p head is the offset of the oldest retained record; called before the records of each read.
    void onHead(platform::log_offset head);
    /// Returns whether the record took effect.
    bool onRecord(platform::log_offset offset, const lease_record &record, common::instant readAt);
    /// Returns a released lease with fencing number 0 for a pool without a record.
    lease find(std::string_view pool) const;

private:
    struct entry {
        lease current;
        platform::log_offset chainBase = 0; ///< offset that the first known record of the chain follows
    };

    bool isSuccessor(const entry *known, const lease_record &record) const;

    std::map<std::string, entry, std::less<>> m_leases; ///< by pool
    std::optional<platform::log_offset> m_start; ///< oldest retained offset at the first read
    platform::log_offset m_head = 0;
};

} // namespace masticlever::orders
