#pragma once

#include <masticlever/common/time.h>
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
/// Which entry instances are live and which endpoints are leaving: the union of the platform's lagging list,
/// the endpoints' own answers and the peers' notices. Leaving is sticky for an incarnation.
///
/// An instance sends its heartbeats to its watchers, the next few instances on a ring ordered by a hash of the
/// incarnation. A watcher that misses them says that the instance is lost; this spreads among the peers, as do
/// joins and departures, while plain heartbeats do not. A later heartbeat refutes the loss. In a fleet of no more
/// than watchers + 1 instances everyone watches everyone.

namespace masticlever::membership
{

/// What one entry instance says of itself.
struct instance_notice {
    std::string name;
    std::string incarnation;
    std::string dataCentre;
    std::string peerAddress; ///< "IP:port"
    std::uint64_t heartbeat = 0; ///< rises with every heartbeat of the incarnation
    bool leaving = false;
    bool logReachable = true;
    std::uint64_t configurationOffset = 0; ///< last configuration record that it has applied
    std::uint32_t processorMillis = 0; ///< processor time it may use, milliseconds a second; 0: not known
    std::uint32_t linkMbps = 0; ///< of its machine's link, megabits a second; 0: not known

    bool operator==(const instance_notice &) const = default;
};

/// A watcher's word that an incarnation has been silent since \c heartbeat.
struct lost_notice {
    std::string incarnation;
    std::uint64_t heartbeat = 0; ///< the last one heard; a later one refutes the loss

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
    common::duration suspectAfter = std::chrono::seconds(3); ///< no heartbeat for so long: not live
    /// Time for the first heartbeat of a newly watched instance, which may not know its watcher yet.
    common::duration firstHeartbeatWithin = std::chrono::seconds(9);
    common::duration forgetAfter = std::chrono::minutes(10); ///< leaving notices are dropped after this time
    common::duration spreadFor = std::chrono::seconds(10); ///< a change is passed on to peers for so long
    common::duration listLag = std::chrono::seconds(30); ///< longest delay of the platform's list
    std::size_t watchers = 3; ///< instances that watch one instance
    std::size_t maximumInstances = 4096; ///< further ones are ignored
    std::size_t maximumLeavingEndpoints = 8192;
};

class membership_table
{
public:
    explicit membership_table(membership_options options, instance_notice self);

    void onList(std::span<const platform::listed_instance> list, common::instant now);
    /// Returns whether the notice was newer than what was known.
    bool onNotice(const instance_notice &notice, common::instant now);
    /// Returns whether an instance was thereby lost. A loss of this incarnation is ignored: its next heartbeat
    /// refutes it. A loss that is out of date has the later heartbeat passed on.
    bool onLost(const lost_notice &notice, common::instant now);
    void onEndpointLeaving(const endpoint_notice &notice, common::instant now);
    /// Replaces this instance's notice; leaving stays set and the heartbeat never falls.
    void setSelf(const instance_notice &self);
    /// Raises this instance's heartbeat by one; called for each round of heartbeats.
    void beat() { ++m_self.heartbeat; }

    /// Finds the watched instances that went silent; called at least once a second. After a pause of this process
    /// the watched ones get the time of a first heartbeat again.
    void advance(common::instant now);

    const instance_notice &self() const { return m_self; }
    /// Live entry instances, this one included, sorted by name. Leaving ones are among them until they stop.
    std::vector<instance_notice> liveInstances(common::instant now) const;
    bool isLive(std::string_view incarnation, common::instant now) const;
    /// True while any other live instance says that it reaches the log.
    bool isLogReachableByPeer(common::instant now) const;
    bool isEndpointLeaving(std::string_view address) const;
    std::size_t size() const { return m_instances.size(); }

    /// Peers for the next round of heartbeats, rotating; at most \p fanOut.
    std::vector<std::string> nextPeers(std::size_t fanOut, common::instant now);
    /// Addresses of the instances that watch this one.
    std::vector<std::string> watcherPeers(common::instant now) const;
    /// Addresses of watched instances that have been silent for half of the time after which they are lost.
    std::vector<std::string> silentPeers(common::instant now) const;
    /// Most recently changed notices first; at most \p limit, this instance's own first.
    std::vector<instance_notice> recentNotices(std::size_t limit, common::instant now) const;
    /// Losses that are still to be passed on, the latest first.
    std::vector<lost_notice> recentLosses(std::size_t limit, common::instant now) const;
    std::vector<endpoint_notice> leavingEndpoints(std::size_t limit) const;
    /// Those that are still to be passed on, the latest first.
    std::vector<endpoint_notice> recentLeavingEndpoints(std::size_t limit, common::instant now) const;

private:
    struct entry {
        instance_notice notice;
        common::instant heardAt;
        common::instant changedAt;
        bool listed = false;
        std::uint64_t ringPosition = 0;
        std::optional<common::instant> watchedSince;
        std::optional<std::uint64_t> lostAfter; ///< heartbeat after which it has been silent
    };

    struct leaving_entry {
        common::instant since;
        bool superseded = false; ///< a later incarnation serves at the address
    };

    struct listed_endpoint {
        std::string incarnation;
        common::instant since; ///< first listing of this incarnation
        common::instant seenAt;
    };

    entry *add(const instance_notice &notice, common::instant now);
    void onListedEntry(const platform::listed_instance &listed, common::instant now);
    void onListedEndpoint(const platform::listed_instance &listed, common::instant now);
    void supersedeNotices(const platform::listed_instance &listed, common::instant now);
    void refreshWatch(common::instant now);
    void forgetOld(common::instant now);
    bool isEntryLive(const entry &candidate, common::instant now) const;
    bool isHeardInTime(const entry &watched, common::instant now) const;
    bool isToBeSpread(common::instant changedAt, common::instant now) const;

    membership_options m_options;
    instance_notice m_self;
    std::uint64_t m_selfPosition = 0;
    std::map<std::string, entry, std::less<>> m_instances; ///< others, by incarnation
    std::map<std::uint64_t, std::string> m_ring; ///< incarnations of others by position
    std::map<endpoint_notice, leaving_entry> m_leavingEndpoints;
    std::map<std::string, listed_endpoint, std::less<>> m_listedEndpoints; ///< by address
    std::optional<common::instant> m_advancedAt;
    std::optional<std::uint64_t> m_rotation; ///< ring position of the last rotating peer
};

} // namespace masticlever::membership
