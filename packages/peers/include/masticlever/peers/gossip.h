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
/// Which peers get which news, and when. A round goes to this instance's watchers and to a few others in rotation;
/// changes are passed on for as long as the membership table says, so they reach all in a few rounds.

namespace masticlever::peers
{

struct gossip_options {
    common::duration interval = std::chrono::milliseconds(500); ///< between rounds; several go into suspectAfter
    common::duration minimumGap = std::chrono::milliseconds(200); ///< between rounds that are sent early
    std::size_t rotatingPeers = 1; ///< besides the watchers
    std::size_t urgentPeers = 16; ///< besides the watchers, in a round that is sent early
    std::size_t noticeLimit = 8; ///< changed notices in one message
    std::size_t lossLimit = 8;
    std::size_t endpointLimit = 8;
    std::size_t suspectLimit = 8;
    std::size_t contactPeers = 2; ///< addresses that may have an instance, in each round
    std::size_t introductionLimit = 16; ///< messages that acquaint a newcomer with the fleet
    std::size_t greetingLimit = 128; ///< contacts that are greeted at once, one small datagram each
    common::duration answerAskersFor = std::chrono::seconds(5); ///< heartbeats for an instance that asked for them
};

/// One message for several peers.
struct gossip_round {
    std::vector<std::string> addresses; ///< "IP:port"
    gossip_message message;
};

class gossip
{
public:
    /// \p table must outlive this object.
    gossip(gossip_options options, membership::membership_table &table);

    /// The round that is due, if any. Also lets the table find silent instances, so it is to be called several times
    /// within suspectAfter even when no round is due.
    std::optional<gossip_round> onTime(common::instant now);
    common::instant nextDueAt() const { return m_nextAt; }

    /// Has the next round sent early and to more peers: this instance or an endpoint is leaving.
    void sendEarly(common::instant now);

    /// Names endpoints that are silent here in the next round, which is sent early.
    void suspect(std::vector<std::string> endpoints, common::instant now);

    /// Addresses that may have an instance; those that no live instance has are tried in turn.
    void setContacts(std::vector<std::string> contacts);

    /// A message for contacts that have not been greeted yet, if there are any. Of two instances that start together
    /// the later one reaches the other, so that all know each other at once.
    std::optional<gossip_round> takeGreeting(common::instant now);

    /// A message that asks the watched instances that are silent for their heartbeats, if there are any; at most one an
    /// interval. Instances whose views of the ring differ do not know who watches them.
    std::optional<gossip_round> takeQuestions(common::instant now);

    /// Messages that acquaint the newcomers heard of since the last call with this instance or all live instances.
    std::vector<gossip_round> takeIntroductions(common::instant now);

    /// Takes the news over; false for a repeated or reflected message, which changes nothing.
    bool onMessage(const gossip_message &message, common::instant now);

private:
    std::vector<std::string> roundPeers(common::instant now);
    /// A message with nothing but this instance's notice.
    gossip_round ownNotice(std::vector<std::string> addresses, introduction wanted);
    gossip_message roundMessage(common::instant now);

    gossip_options m_options;
    membership::membership_table &m_table;
    common::instant m_nextAt;
    common::instant m_sentAt;
    std::vector<std::string> m_suspects; ///< for the next round
    std::vector<std::string> m_contacts;
    std::vector<std::string> m_toGreet; ///< contacts
    std::vector<std::string> m_newcomers; ///< addresses, to be told of the fleet
    std::vector<std::string> m_greeters; ///< addresses, to be told of this instance
    std::map<std::string, common::instant> m_askers; ///< until when they get heartbeats, by address
    common::instant m_askedAt;
    bool m_isUrgent = false;
    std::uint64_t m_rounds = 0;
    std::map<std::string, std::uint64_t, std::less<>> m_lastMessages; ///< heartbeat by sender's incarnation
};

} // namespace masticlever::peers
