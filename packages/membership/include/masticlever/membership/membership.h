#pragma once

#include <masticlever/common/time.h>
#include <masticlever/membership/prompt-faults.h>
#include <masticlever/membership/rate-limits.h>
#include <masticlever/platform/instance-list.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Tracks which entry instances are live and which endpoints are leaving. The state is merged from the platform's list,
/// which lags behind, the endpoints' responses and the notices of peers. Once an incarnation is leaving, it stays
/// leaving.
///
/// An instance sends its heartbeats to its watchers, the next few instances on a ring ordered by a hash of the
/// incarnation. A watcher that misses them declares the instance lost. Losses, joins and departures are gossiped among
/// the peers, plain heartbeats are not. A later heartbeat refutes the loss. In a fleet of at most watchers + 1
/// instances, every instance watches every other one.

namespace masticlever::membership
{

/// State of an entry instance, announced by the instance itself.
struct instance_notice {
    std::string name;
    std::string incarnation;
    std::string dataCentre;
    std::string peerAddress; ///< "IP:port"
    std::uint64_t heartbeat = 0; ///< incremented with every heartbeat of the incarnation
    bool leaving = false;
    bool logReachable = true;
    std::uint64_t configurationOffset = 0; ///< offset of the last configuration record it has applied
    std::uint32_t cpuMillicores = 0; ///< CPU time it may use, in milliseconds per second; 0: unknown
    std::uint32_t linkMbps = 0; ///< bandwidth of its machine's link, in Mbit/s; 0: unknown

    bool operator==(const instance_notice &) const = default;
};

/// A watcher's notice that an incarnation has sent no heartbeat after \c heartbeat.
struct lost_notice {
    std::string incarnation;
    std::uint64_t heartbeat = 0; ///< the last one received; a later one refutes the loss

    bool operator==(const lost_notice &) const = default;
};

/// An endpoint that is leaving, by address and incarnation.
struct endpoint_notice {
    std::string address;
    std::string incarnation;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the comparison with 0 for a null pointer
    auto operator<=>(const endpoint_notice &) const = default;
};

struct membership_options {
    /// An instance without a heartbeat for this time is not live.
    common::duration suspectAfter = std::chrono::seconds(3);
    /// Timeout of the first heartbeat of a newly watched instance, which may not know its watcher yet.
    common::duration firstHeartbeatTimeout = std::chrono::seconds(9);
    common::duration forgetAfter = std::chrono::minutes(10); ///< leaving notices are removed after this time
    common::duration gossipDuration = std::chrono::seconds(10); ///< how long a change is sent to peers
    common::duration maximumListLag = std::chrono::seconds(30); ///< maximum delay of the platform's list
    std::size_t watchers = 3; ///< number of instances that watch each instance
    std::size_t maximumInstances = 4096; ///< additional ones are ignored
    std::size_t maximumLeavingEndpoints = 8192;
};

class membership_table
{
public:
    explicit membership_table(membership_options options, instance_notice self);

    void onList(std::span<const platform::listed_instance> list, common::instant now);
    /// Returns whether the notice was newer than the known state.
    bool onNotice(const instance_notice &notice, common::instant now);
    /// Returns whether this changed an instance to lost. A notice about this incarnation is ignored since its next
    /// heartbeat refutes it. An outdated notice makes the later heartbeat known to peers again.
    bool onLost(const lost_notice &notice, common::instant now);
    void onEndpointLeaving(const endpoint_notice &notice, common::instant now);
    /// Replaces this instance's notice; leaving stays set and the heartbeat never decreases.
    void setSelf(const instance_notice &self);
    /// Increments this instance's heartbeat; called once per round of heartbeats.
    void incrementHeartbeat() { ++m_self.heartbeat; }

    /// Declares watched instances without recent heartbeats lost; called at least once a second. After a pause of this
    /// process, the timeout of the first heartbeat applies to all watched instances again.
    void advance(common::instant now);

    const instance_notice &self() const { return m_self; }
    /// Live entry instances sorted by name, including this one and leaving ones that have not stopped yet.
    std::vector<instance_notice> liveInstances(common::instant now) const;
    bool isLive(std::string_view incarnation, common::instant now) const;
    /// Whether any other live instance reports that it can reach the log.
    bool isLogReachableByPeer(common::instant now) const;
    bool isEndpointLeaving(std::string_view address) const;
    rate_limit_table &rateLimits() { return m_rateLimits; }
    const rate_limit_table &rateLimits() const { return m_rateLimits; }
    prompt_fault_table &promptFaults() { return m_promptFaults; }
    const prompt_fault_table &promptFaults() const { return m_promptFaults; }
    std::size_t size() const { return m_instances.size(); }

    /// Addresses of at most \p fanOut peers for the next round of heartbeats; rotates through all peers.
    std::vector<std::string> nextPeers(std::size_t fanOut, common::instant now);
    /// Addresses of the instances that watch this one.
    std::vector<std::string> watcherPeers(common::instant now) const;
    /// Addresses of watched instances without a heartbeat for half of the time after which they are lost.
    std::vector<std::string> silentPeers(common::instant now) const;
    /// At most \p limit notices: this instance's own, then recently changed ones, latest first.
    std::vector<instance_notice> recentNotices(std::size_t limit, common::instant now) const;
    /// Losses that are still gossiped, latest first.
    std::vector<lost_notice> recentLosses(std::size_t limit, common::instant now) const;
    std::vector<endpoint_notice> leavingEndpoints(std::size_t limit) const;
    /// Notices that are still gossiped, latest first.
    std::vector<endpoint_notice> recentLeavingEndpoints(std::size_t limit, common::instant now) const;

private:
    struct entry {
        instance_notice notice;
        common::instant lastSeenAt; ///< time of the last heartbeat, or of the addition to the table
        common::instant changedAt;
        bool listed = false;
        std::uint64_t ringPosition = 0;
        std::optional<common::instant> watchedSince;
        std::optional<std::uint64_t> lostAtHeartbeat; ///< last heartbeat before it was declared lost
    };

    struct leaving_entry {
        common::instant since;
        bool superseded = false; ///< a later incarnation uses the address
    };

    struct listed_endpoint {
        std::string incarnation;
        common::instant since; ///< time of the first listing of this incarnation
        common::instant seenAt; ///< time of the last listing
    };

    entry *add(const instance_notice &notice, common::instant now);
    void onListedEntry(const platform::listed_instance &listed, common::instant now);
    void onListedEndpoint(const platform::listed_instance &listed, common::instant now);
    void supersedeLeavingNotices(const platform::listed_instance &listed, common::instant now);
    void refreshWatch(common::instant now);
    void removeStale(common::instant now);
    bool isEntryLive(const entry &candidate, common::instant now) const;
    bool isHeartbeatInTime(const entry &watched, common::instant now) const;
    bool isGossiped(common::instant changedAt, common::instant now) const;

    membership_options m_options;
    instance_notice m_self;
    std::uint64_t m_selfPosition = 0;
    std::map<std::string, entry, std::less<>> m_instances; ///< other instances, by incarnation
    std::map<std::uint64_t, std::string> m_ring; ///< incarnations of other instances, by ring position
    std::map<endpoint_notice, leaving_entry> m_leavingEndpoints;
    std::map<std::string, listed_endpoint, std::less<>> m_listedEndpoints; ///< by address
    rate_limit_table m_rateLimits{{}};
    prompt_fault_table m_promptFaults{{}};
    std::optional<common::instant> m_lastAdvanceAt;
    std::optional<std::uint64_t> m_rotation; ///< ring position of the last peer that nextPeers() returned
};

} // namespace masticlever::membership
