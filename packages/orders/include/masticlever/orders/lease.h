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
/// The lease on a pool of engines. It lives in the platform's log: a record takes, renews or releases it and names
/// the record that it follows, so that of two racing records the lower offset wins on every instance alike. The
/// offset is the fencing number.

namespace masticlever::orders
{

/// One record of the log "orders".
struct lease_record {
    std::string pool;
    std::string holder; ///< incarnation
    std::uint64_t nonce = 0; ///< tells the holder's appends apart
    platform::log_offset follows = 0; ///< offset of the lease that it replaces; 0: the pool's first
    std::chrono::milliseconds duration{0};
    bool release = false;

    bool operator==(const lease_record &) const = default;
};

/// JSON. error::malformed for anything that encodeLease() does not write.
std::string encodeLease(const lease_record &record);
common::result<lease_record> decodeLease(std::string_view payload);

/// A pool's lease as one instance sees it.
struct lease {
    std::string holder;
    platform::log_offset fencing = 0;
    bool isReleased = true;
    common::instant lapsesAt; ///< counted from when the record was read
};

/// Replays lease records. Says who holds a lease by log order, and when another instance may take it.
///
/// An instance that starts after the log's first records have gone cannot judge a record that follows one of them.
/// It takes the one that follows the highest offset: the instances that saw them all agree with that.
class lease_table
{
public:
    /// The log retains records from \p head on; called before the records of each read.
    void onHead(platform::log_offset head);
    /// Returns whether the record took effect.
    bool onRecord(platform::log_offset offset, const lease_record &record, common::instant readAt);
    /// A pool without a lease: released, fencing 0.
    lease find(std::string_view pool) const;

private:
    struct entry {
        lease current;
        platform::log_offset baseFollows = 0; ///< what the first record of the chain followed
    };

    bool isSuccessor(const entry *known, const lease_record &record) const;

    std::map<std::string, entry, std::less<>> m_leases; ///< by pool
    std::optional<platform::log_offset> m_start; ///< head at the first read
    platform::log_offset m_head = 0;
};

} // namespace masticlever::orders
