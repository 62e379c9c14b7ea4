#include <masticlever/peers/gossip.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticlever::peers
{

namespace
{

constexpr std::size_t candidateLimit = 512;

/// Selects \p limit items in rotation when they do not all fit one message: each round starts where the previous one
/// ended.
template <typename Item> std::vector<Item> rotatingSlice(std::vector<Item> all, std::size_t limit, std::uint64_t round)
{
    if (all.size() <= limit) {
        return all;
    }
    const auto start = static_cast<std::ptrdiff_t>(round * limit % all.size());
    std::rotate(all.begin(), all.begin() + start, all.end());
    all.resize(limit);
    return all;
}

bool hasAddress(const std::vector<membership::instance_notice> &instances, const std::string &address)
{
    return std::ranges::find(instances, address, &membership::instance_notice::peerAddress) != instances.end();
}

} // namespace

gossip::gossip(gossip_options options, membership::membership_table &table) : m_options(options), m_table(table) { }

std::optional<gossip_round> gossip::onTime(common::instant now)
{
    m_table.advance(now);
    if (now < m_nextRoundAt) {
        return std::nullopt;
    }
    std::erase_if(m_lastHeartbeats, [&](const auto &item) { return !m_table.isLive(item.first, now); });
    m_table.incrementHeartbeat();
    gossip_round round{selectPeers(now), buildMessage(now)};
    ++m_roundCount;
    m_reportAddresses = round.addresses;
    m_isUrgent = false;
    m_lastRoundAt = now;
    m_nextRoundAt = now + m_options.interval;
    return round;
}

std::optional<gossip_round> gossip::takePromptFaultReport(common::instant now)
{
    std::vector<std::string> addresses = std::exchange(m_reportAddresses, {});
    if (addresses.empty() || !m_table.promptFaults().hasCrashes()) {
        return std::nullopt;
    }
    const bool includesWithheld = m_roundCount % m_options.roundsToRepeatWithheld == 0;
    std::vector<membership::prompt_fault_notice> notices = m_table.promptFaults().notices(includesWithheld, now);
    if (notices.empty()) {
        return std::nullopt;
    }
    // The first half is always sent: it has the parts with most crashes.
    const std::size_t fixed = std::min(notices.size(), m_options.promptFaultLimit / 2);
    const auto rest = notices.begin() + static_cast<std::ptrdiff_t>(fixed);
    const std::vector<membership::prompt_fault_notice> others
        = rotatingSlice(std::vector(rest, notices.end()), m_options.promptFaultLimit - fixed, m_roundCount);
    notices.erase(rest, notices.end());
    gossip_round round = makeSelfRound(std::move(addresses), introduction::none);
    round.message.promptFaults = std::move(notices);
    round.message.promptFaults.insert(round.message.promptFaults.end(), others.begin(), others.end());
    return round;
}

std::vector<std::string> gossip::selectPeers(common::instant now)
{
    std::vector<std::string> peers = m_table.watcherPeers(now);
    std::erase_if(m_heartbeatRequesters, [&](const auto &item) { return now >= item.second; });
    for (const auto &[requester, until] : m_heartbeatRequesters) {
        peers.push_back(requester);
    }
    const std::size_t others = m_isUrgent ? m_options.urgentPeers : m_options.rotatingPeers;
    std::ranges::move(m_table.nextPeers(others, now), std::back_inserter(peers));
    const std::vector<membership::instance_notice> live = m_table.liveInstances(now);
    for (std::size_t i = 0; i < std::min(m_options.contactPeers, m_contacts.size()); ++i) {
        const std::string &contact = m_contacts[(m_roundCount * m_options.contactPeers + i) % m_contacts.size()];
        if (!hasAddress(live, contact)) {
            peers.push_back(contact);
        }
    }
    std::ranges::sort(peers);
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    return peers;
}

gossip_message gossip::buildMessage(common::instant now)
{
    gossip_message message;
    std::vector<membership::instance_notice> notices = m_table.recentNotices(candidateLimit, now);
    message.sender = std::move(notices.front());
    notices.erase(notices.begin());
    message.notices = rotatingSlice(std::move(notices), m_options.noticeLimit, m_roundCount);
    message.losses = rotatingSlice(m_table.recentLosses(candidateLimit, now), m_options.lossLimit, m_roundCount);
    message.leavingEndpoints
        = rotatingSlice(m_table.recentLeavingEndpoints(candidateLimit, now), m_options.endpointLimit, m_roundCount);
    message.rateLimits = rotatingSlice(m_table.rateLimits().notices(now), m_options.rateNoticeLimit, m_roundCount);
    message.suspects = std::exchange(m_suspects, {});
    return message;
}

void gossip::reportSuspects(std::vector<std::string> endpoints, common::instant now)
{
    for (std::string &name : endpoints) {
        if (m_suspects.size() < m_options.suspectLimit) {
            m_suspects.push_back(std::move(name));
        }
    }
    sendEarly(now);
}

void gossip::sendEarly(common::instant now)
{
    m_isUrgent = true;
    m_nextRoundAt = std::min(m_nextRoundAt, std::max(now, m_lastRoundAt + m_options.minimumGap));
}

void gossip::setContacts(std::vector<std::string> contacts)
{
    for (const std::string &contact : contacts) {
        if (std::ranges::find(m_contacts, contact) == m_contacts.end()) {
            m_pendingGreetings.push_back(contact);
        }
    }
    m_contacts = std::move(contacts);
}

gossip_round gossip::makeSelfRound(std::vector<std::string> addresses, introduction requested)
{
    m_table.incrementHeartbeat(); // receivers drop a message whose heartbeat they have already seen
    gossip_round round{std::move(addresses), {}};
    round.message.sender = m_table.self();
    round.message.requested = requested;
    return round;
}

std::optional<gossip_round> gossip::takeGreeting(common::instant now)
{
    if (m_pendingGreetings.empty()) {
        return std::nullopt;
    }
    const std::vector<membership::instance_notice> live = m_table.liveInstances(now);
    std::erase_if(m_pendingGreetings, [&](const std::string &contact) { return hasAddress(live, contact); });
    if (m_pendingGreetings.empty()) {
        return std::nullopt;
    }
    const std::size_t count = std::min(m_pendingGreetings.size(), m_options.greetingLimit);
    const auto end = m_pendingGreetings.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<std::string> greeted(m_pendingGreetings.begin(), end);
    m_pendingGreetings.erase(m_pendingGreetings.begin(), end);
    return makeSelfRound(std::move(greeted), introduction::self);
}

std::optional<gossip_round> gossip::takeHeartbeatRequest(common::instant now)
{
    if (now - m_heartbeatsRequestedAt < m_options.interval) {
        return std::nullopt;
    }
    std::vector<std::string> silent = m_table.silentPeers(now);
    if (silent.empty()) {
        return std::nullopt;
    }
    m_heartbeatsRequestedAt = now;
    return makeSelfRound(std::move(silent), introduction::heartbeats);
}

std::vector<gossip_round> gossip::takeIntroductions(common::instant now)
{
    std::vector<gossip_round> rounds;
    if (!m_noticeRequesters.empty()) {
        rounds.push_back(makeSelfRound(std::exchange(m_noticeRequesters, {}), introduction::none));
    }
    const std::vector<std::string> newInstances = std::exchange(m_newInstances, {});
    if (newInstances.empty()) {
        return rounds;
    }
    const std::vector<membership::instance_notice> live = m_table.liveInstances(now);
    for (std::size_t begin = 0; begin < live.size() && rounds.size() < m_options.introductionLimit;
         begin += m_options.noticeLimit) {
        gossip_round round = makeSelfRound(newInstances, introduction::none);
        const std::size_t end = std::min(begin + m_options.noticeLimit, live.size());
        round.message.notices.assign(live.begin() + static_cast<std::ptrdiff_t>(begin),
                                     live.begin() + static_cast<std::ptrdiff_t>(end));
        rounds.push_back(std::move(round));
    }
    return rounds;
}

bool gossip::onMessage(const gossip_message &message, common::instant now)
{
    const std::string &sender = message.sender.incarnation;
    if (sender == m_table.self().incarnation) {
        return false;
    }
    std::uint64_t &last = m_lastHeartbeats[sender];
    if (message.sender.heartbeat <= last) {
        return false;
    }
    last = message.sender.heartbeat;
    if (message.requested == introduction::heartbeats) {
        m_heartbeatRequesters[message.sender.peerAddress] = now + m_options.heartbeatRequestLifetime;
        m_noticeRequesters.push_back(message.sender.peerAddress);
    } else if (!m_table.isLive(sender, now) && message.requested != introduction::none) {
        auto &requesters = message.requested == introduction::fleet ? m_newInstances : m_noticeRequesters;
        requesters.push_back(message.sender.peerAddress);
    }
    m_table.onNotice(message.sender, now);
    for (const membership::instance_notice &notice : message.notices) {
        m_table.onNotice(notice, now);
    }
    for (const membership::lost_notice &notice : message.losses) {
        m_table.onLost(notice, now);
    }
    for (const membership::endpoint_notice &notice : message.leavingEndpoints) {
        m_table.onEndpointLeaving(notice, now);
    }
    for (const membership::rate_limit_notice &notice : message.rateLimits) {
        m_table.rateLimits().onNotice(notice, now);
    }
    for (const membership::prompt_fault_notice &notice : message.promptFaults) {
        m_table.promptFaults().onNotice(notice, now);
    }
    return true;
}

} // namespace masticlever::peers
