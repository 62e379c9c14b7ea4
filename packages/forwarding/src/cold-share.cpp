#include <masticlever/forwarding/cold-share.h>

#include <masticlever/common/digest.h>
#include <masticlever/common/rendezvous.h>

#include <algorithm>
#include <cmath>

namespace masticlever::forwarding
{

using common::duration;
using common::instant;

namespace
{

/// Shares of endpoints that are not asked for any longer are removed. Much longer than any interval, so that a share
/// that is created again does not admit a request early.
constexpr duration shareRetention = std::chrono::minutes(30);
constexpr double minimumRate = 0.01; ///< requests per second
constexpr double maximumRate = 1e6; ///< requests per second

} // namespace

void cold_share::setMembers(std::span<const std::uint64_t> rankKeys, std::uint64_t self, instant now)
{
    bool isChanged = self != m_self;
    m_self = self;
    for (const std::uint64_t member : rankKeys) {
        if (member != self && !m_firstPeerAt) {
            m_firstPeerAt = now;
        }
        if (const auto known = m_members.find(member); known != m_members.end()) {
            known->second = now;
        } else if (m_members.size() < m_options.maximumMembers) {
            m_members.emplace(member, now);
            isChanged = true;
        }
    }
    const auto forgotten
        = std::erase_if(m_members, [&](const auto &item) { return now - item.second > m_options.memberRetention; });
    m_generation += isChanged || forgotten > 0 ? 1 : 0;
    std::erase_if(m_shares, [&](const auto &item) { return now - item.second.lastUsedAt > shareRetention; });
}

cold_share::sender_plan cold_share::planFor(double rate) const
{
    const double sustained = std::clamp(rate, minimumRate, maximumRate);
    const double bound = sustained * m_options.excess + m_options.slack;
    const auto perWindow = std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(bound * m_options.viewShare)));
    const std::size_t senders = std::clamp<std::size_t>(m_members.size(), 1, perWindow);
    const std::size_t perSender = perWindow / senders;
    const double seconds
        = std::max(m_options.window / static_cast<double>(perSender), static_cast<double>(senders) / sustained);
    return {senders, std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds))};
}

cold_share::share &cold_share::find(std::string_view endpoint, instant now)
{
    auto found = m_shares.find(endpoint);
    if (found == m_shares.end()) {
        share added;
        added.hash = common::stableHash(endpoint);
        added.lastUsedAt = now;
        found = m_shares.emplace(std::string(endpoint), added).first;
    }
    return found->second;
}

bool cold_share::isSender(share &state, std::size_t senders, instant now) const
{
    if (!m_firstPeerAt || now - *m_firstPeerAt < m_options.settleTime || m_members.size() < 2) {
        return false; // all instances may be in this state, and one request of each would exceed the bound
    }
    if (state.generation != m_generation || state.senders != senders) {
        const std::uint64_t own = common::rendezvousRank(state.hash, m_self);
        const auto ahead = std::ranges::count_if(
            m_members, [&](const auto &item) { return common::rendezvousRank(state.hash, item.first) > own; });
        const bool isSender = m_members.contains(m_self) && static_cast<std::size_t>(ahead) < senders;
        if (isSender && !state.isSender) {
            state.lastUsedAt = now; // an instance that becomes a sender follows one that may have just sent a request
        }
        state.generation = m_generation;
        state.senders = senders;
        state.isSender = isSender;
    }
    return state.isSender;
}

std::optional<duration> cold_share::timeUntilAvailable(std::string_view endpoint, double rate, instant now)
{
    const sender_plan plan = planFor(rate);
    share &state = find(endpoint, now);
    if (!isSender(state, plan.senders, now)) {
        return std::nullopt;
    }
    return std::max(state.lastUsedAt + plan.interval - now, duration{});
}

bool cold_share::take(std::string_view endpoint, double rate, instant now)
{
    const auto time = timeUntilAvailable(endpoint, rate, now);
    if (!time || time->count() > 0) {
        return false;
    }
    find(endpoint, now).lastUsedAt = now;
    return true;
}

} // namespace masticlever::forwarding
