#pragma once

#include <masticlever/common/time.h>
#include <masticlever/membership/membership.h>
#include <masticlever/peers/messages.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// \file
/// Decides which membership updates are sent to which peers, and when. A round is sent to the instances that watch this
/// one and to a few others in rotation. Updates are forwarded while the membership table lists them as recent, so that
/// they reach all instances within a few rounds.

namespace masticlever::peers
{

struct gossip_options {
    /// Between rounds; must be several times shorter than suspectAfter.
    common::duration interval = std::chrono::milliseconds(500);
    common::duration minimumGap = std::chrono::milliseconds(200); ///< lower bound of the time between rounds
    std::size_t rotatingPeers = 1; ///< in a regular round, besides the watchers
    std::size_t urgentPeers = 16; ///< in an early round, besides the watchers
    std::size_t noticeLimit = 8; ///< notices of other instances in one message
    std::size_t lossLimit = 8;
    std::size_t endpointLimit = 8;
    std::size_t rateNoticeLimit = 8;
    std::size_t promptFaultLimit = 10;
    std::size_t roundsToRepeatWithheld = 10; ///< rounds between repeated reports of withheld prompt parts
    std::size_t suspectLimit = 8;
    std::size_t contactPeers = 2; ///< contacts considered in each round; those of live instances are skipped
    std::size_t introductionLimit = 16; ///< messages that introduce the fleet to a new instance
    std::size_t greetingLimit = 128; ///< contacts greeted in one batch, one small datagram each
    /// How long heartbeats are sent to an instance that requested them.
    common::duration heartbeatRequestLifetime = std::chrono::seconds(5);
};

/// One message and the peers to send it to.
struct gossip_round {
    std::vector<std::string> addresses; ///< "IP:port"
    gossip_message message;
};

class gossip
{
public:
    /// \p table must outlive this object.
    gossip(gossip_options options, membership::membership_table &table);

    /// Returns the next round if it is due. Also advances the table's failure detection, so it must be called several
    /// times within suspectAfter even when no round is due.
    std::optional<gossip_round> onTime(common::instant now);
    /// Returns the reports of prompt parts that belong to the last round, if any; to be called after onTime().
    std::optional<gossip_round> takePromptFaultReport(common::instant now);
    common::instant nextDueAt() const { return m_nextRoundAt; }

    /// Schedules the next round early and sends it to more peers, for example when this instance or an endpoint is
    /// leaving.
    void sendEarly(common::instant now);

    /// Reports endpoints that do not respond to this instance; the next round includes them and is sent early.
    void reportSuspects(std::vector<std::string> endpoints, common::instant now);

    /// Sets addresses at which instances may run. Those that belong to no live instance are tried in rotation.
    void setContacts(std::vector<std::string> contacts);

    /// Returns a message for contacts that have not been greeted yet, if any. When two instances start at about the
    /// same time, the greeting of the later one reaches the other, so that both know each other immediately.
    std::optional<gossip_round> takeGreeting(common::instant now);

    /// Returns a message that requests heartbeats from watched instances that have sent none, if any; at most one per
    /// interval. It is needed because instances whose views of the ring differ do not know who watches them.
    std::optional<gossip_round> takeHeartbeatRequest(common::instant now);

    /// Returns the introductions that were requested since the last call: messages with this instance's notice or with
    /// all live instances.
    std::vector<gossip_round> takeIntroductions(common::instant now);

    /// Merges \p message into the table. Returns false for a duplicate, reordered or reflected message, which is
    /// ignored.
    bool onMessage(const gossip_message &message, common::instant now);

private:
    std::vector<std::string> selectPeers(common::instant now);
    /// Creates a round whose message contains only this instance's notice.
    gossip_round makeSelfRound(std::vector<std::string> addresses, introduction requested);
    gossip_message buildMessage(common::instant now);

    gossip_options m_options;
    membership::membership_table &m_table;
    common::instant m_nextRoundAt;
    common::instant m_lastRoundAt;
    std::vector<std::string> m_suspects; ///< to be reported in the next round
    std::vector<std::string> m_contacts;
    std::vector<std::string> m_pendingGreetings; ///< contacts not greeted yet
    std::vector<std::string> m_newInstances; ///< addresses that requested all live instances
    std::vector<std::string> m_noticeRequesters; ///< addresses that requested this instance's notice
    std::map<std::string, common::instant> m_heartbeatRequesters; ///< end of the request, by address
    common::instant m_heartbeatsRequestedAt;
    bool m_isUrgent = false;
    std::uint64_t m_roundCount = 0;
    std::vector<std::string> m_reportAddresses; ///< peers of the last round, until its report is taken
    std::map<std::string, std::uint64_t, std::less<>> m_lastHeartbeats; ///< received, by sender's incarnation
};

} // namespace masticlever::peers
