#pragma once

#include <masticlever/common/time.h>
#include <masticlever/platform/instance-list.h>

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
};

/// An endpoint that is leaving, by address and incarnation.
struct endpoint_notice {
    std::string address;
    std::string incarnation;

    auto operator<=>(const endpoint_notice &) const = default;
};

struct membership_options {
    common::duration suspectAfter = std::chrono::seconds(3); ///< no heartbeat for so long: not live
    common::duration forgetAfter = std::chrono::minutes(10); ///< leaving notices are dropped after this time
};

class membership_table
{
public:
    explicit membership_table(membership_options options, instance_notice self);

    void onList(std::span<const platform::listed_instance> list, common::instant now);
    /// Returns whether the notice was newer than what was known.
    bool onNotice(const instance_notice &notice, common::instant now);
    void onEndpointLeaving(const endpoint_notice &notice, common::instant now);
    void setSelf(const instance_notice &self);

    /// Live entry instances, this one included, sorted by name.
    std::vector<instance_notice> liveInstances(common::instant now) const;
    bool isLive(std::string_view incarnation, common::instant now) const;
    /// True while any other live instance says that it reaches the log.
    bool isLogReachableByPeer(common::instant now) const;
    bool isEndpointLeaving(std::string_view address) const;

    /// Peers for the next round of heartbeats, rotating; at most \p fanOut.
    std::vector<std::string> nextPeers(std::size_t fanOut, common::instant now);
    /// Most recently changed notices first; at most \p limit, this instance's own first.
    std::vector<instance_notice> recentNotices(std::size_t limit, common::instant now) const;
    std::vector<endpoint_notice> leavingEndpoints(std::size_t limit) const;

private:
    struct entry {
        instance_notice notice;
        common::instant heardAt;
        common::instant changedAt;
        bool listed = false;
    };

    void forgetOld(common::instant now);

    membership_options m_options;
    instance_notice m_self;
    std::map<std::string, entry, std::less<>> m_instances; ///< by incarnation
    std::map<endpoint_notice, common::instant> m_leavingEndpoints;
    std::size_t m_rotation = 0;
};

} // namespace masticlever::membership
