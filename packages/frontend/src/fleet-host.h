#pragma once

#include <masticlever/common/time.h>
#include <masticlever/frontend/frontend-settings.h>
#include <masticlever/membership/membership.h>
#include <masticlever/peers/peer-service.h>
#include <masticlever/stages/home-choice.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Membership of the fleet: tracks the live instances and exchanges configurations with them while the store is
/// unreachable.

namespace masticlever::frontend
{

class fleet_host
{
public:
    struct event_handlers {
        std::function<std::string()> configuration; ///< text of the configuration in force; empty: none
        std::function<std::uint64_t()> version;
        std::function<void(const std::string &text)> onConfiguration;
        std::function<void(std::uint64_t version)> onVersionSeen; ///< a peer has this newer version
        /// Endpoints that other instances recently reported as leaving. Each is repeated for some seconds.
        std::function<void(const std::vector<membership::endpoint_notice> &notices)> onEndpointsLeaving;
    };

    fleet_host(const frontend_settings &settings, std::string incarnation, event_handlers handlers);
    ~fleet_host();

    /// Returns false when the address cannot be bound.
    bool listen();
    void setContacts(std::vector<std::string> contacts);
    void setState(bool isStoreReachable, std::uint64_t version);
    void announceLeaving();
    /// Announces a leaving endpoint to the other instances; \p startedAtMs identifies its incarnation.
    void announceEndpointLeaving(const std::string &id, std::uint64_t startedAtMs);
    /// Returns the incarnation in a notice of a leaving endpoint, or nothing if it is malformed. The notice's address
    /// field holds the endpoint's id.
    static std::optional<std::uint64_t> startedAtMsOf(const membership::endpoint_notice &notice);
    /// Rate limits of the endpoints, as this instance and its peers know them.
    membership::rate_limit_table &rateLimits() { return m_table.rateLimits(); }
    /// Crashes of endpoints by prompt part, as this instance and its peers know them.
    membership::prompt_fault_table &promptFaults() { return m_table.promptFaults(); }
    /// Reports changes in the table of prompt faults to the other instances early.
    void announcePromptFaults();
    void onTick(common::instant now);

    /// Live instances that can be homes as of the last tick, including this one unless it is leaving.
    const std::vector<stages::home_candidate> &homes() const { return m_homes; }
    std::size_t liveCount() const { return m_liveCount; }
    /// Whether any other instance reports that it reaches the store.
    bool isStoreReachedByOthers(common::instant now) const { return m_table.isLogReachableByPeer(now); }

private:
    std::string homeAddressOf(const std::string &gossipAddress) const;
    void collectHomes(const std::vector<membership::instance_notice> &live);
    void logChanges(const std::vector<membership::instance_notice> &live);

    event_handlers m_handlers;
    std::uint16_t m_homePort = 0; ///< the same on all instances
    membership::membership_table m_table;
    std::unique_ptr<peers::peer_service> m_service;
    std::vector<std::string> m_loggedIncarnations; ///< incarnations logged as live, sorted
    std::vector<stages::home_candidate> m_homes;
    std::map<std::string, std::uint64_t> m_rankKeys; ///< by incarnation
    std::size_t m_liveCount = 1;
};

} // namespace masticlever::frontend
