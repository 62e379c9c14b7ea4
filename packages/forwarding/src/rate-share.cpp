#include <masticlever/forwarding/rate-share.h>

#include <masticlever/common/digest.h>
#include <masticlever/common/rendezvous.h>

#include <algorithm>
#include <cmath>

namespace masticlever::forwarding
{

using common::duration;
using common::instant;
using membership::rate_limit;

namespace
{

constexpr double unconfirmedSenderShare = 0.5; ///< of an unconfirmed limit; the other instances share the rest
constexpr duration shareRetention = std::chrono::minutes(5); ///< shares that are not used any longer are removed

/// Between 0 and 1, different for each pair of an endpoint and an instance.
double phase(std::uint64_t endpoint, std::uint64_t instance)
{
    constexpr double range = 18446744073709551616.0; // 2 to the power of 64
    return static_cast<double>(common::rendezvousRank(endpoint, instance)) / range;
}

duration timeFor(double requests, double rate)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(requests / rate));
}

} // namespace

void rate_share::setMembers(std::span<const std::uint64_t> rankKeys, std::uint64_t self, instant now)
{
    if (rankKeys.size() >= m_fleetSize || now - m_fleetSizeAt > m_options.fleetRetention) {
        m_fleetSize = std::max<std::size_t>(1, rankKeys.size());
        m_fleetSizeAt = now;
    }
    for (auto &shares : m_shares) {
        std::erase_if(shares, [&](const auto &item) { return now - item.second.filledAt > shareRetention; });
    }
    if (self == m_self && std::ranges::equal(rankKeys, m_members)) {
        return;
    }
    m_self = self;
    m_members.assign(rankKeys.begin(), rankKeys.end());
    ++m_generation;
}

double rate_share::usableRate(const rate_limit &limit) const
{
    return std::clamp(limit.rate, m_options.minimumRate, m_options.maximumRate) * m_options.usableShare;
}

bool rate_share::isSender(share &state, std::size_t senders) const
{
    if (state.generation != m_generation || state.senders != senders) {
        state.generation = m_generation;
        state.senders = senders;
        const std::uint64_t own = common::rendezvousRank(state.hash, m_self);
        const auto ahead = std::ranges::count_if(
            m_members, [&](std::uint64_t member) { return common::rendezvousRank(state.hash, member) > own; });
        const bool isMember = std::ranges::find(m_members, m_self) != m_members.end();
        state.isSender = isMember && static_cast<std::size_t>(ahead) < senders;
    }
    return state.isSender;
}

rate_share::share &rate_share::refill(std::string_view endpoint, const rate_limit &limit, const rate_use &use,
                                      instant now)
{
    auto &shares = m_shares[static_cast<std::size_t>(use.role)];
    auto found = shares.find(endpoint);
    if (found == shares.end()) {
        share added;
        added.filledAt = now;
        added.hash = common::stableHash(endpoint);
        found = shares.emplace(std::string(endpoint), added).first;
    }
    share &state = found->second;
    const double usable = usableRate(limit) * use.part;
    const double mostSenders = std::floor(std::min(limit.rate, m_options.maximumRate));
    const std::size_t senders
        = std::min(m_fleetSize, static_cast<std::size_t>(mostSenders) + m_options.additionalSenders);
    const bool isUnconfirmed = now - limit.confirmedAt > m_options.confirmationLifetime;
    double rate = 0;
    if (use.role == sender_role::only) {
        rate = usable;
    } else if (isSender(state, senders)) {
        rate = usable / static_cast<double>(senders) * (isUnconfirmed ? unconfirmedSenderShare : 1);
    } else if (isUnconfirmed) {
        rate = usable / static_cast<double>(m_fleetSize) * (1 - unconfirmedSenderShare);
    }
    if (state.rate == 0 && rate > 0) {
        state.tokens = isUnconfirmed ? phase(state.hash, m_self) : 0;
        state.filledAt = now;
    }
    const double seconds = std::chrono::duration<double>(now - state.filledAt).count();
    const double capacity = std::max(1.0, rate * std::chrono::duration<double>(m_options.burstTime).count());
    state.tokens = std::min(capacity, state.tokens + seconds * std::min(state.rate, rate));
    state.rate = rate;
    state.filledAt = now;
    return state;
}

double rate_share::ownRate(std::string_view endpoint, const rate_limit &limit, const rate_use &use, instant now)
{
    return refill(endpoint, limit, use, now).rate;
}

duration rate_share::timeUntilAvailable(std::string_view endpoint, const rate_limit &limit, const rate_use &use,
                                        instant now)
{
    const share &state = refill(endpoint, limit, use, now);
    if (state.rate == 0) {
        return timeFor(1, usableRate(limit));
    }
    // Rounded up, because a request is refused until its token is complete.
    return state.tokens >= 1 ? duration{} : timeFor(1 - state.tokens, state.rate) + duration(1);
}

bool rate_share::take(std::string_view endpoint, const rate_limit &limit, const rate_use &use, instant now)
{
    share &state = refill(endpoint, limit, use, now);
    if (state.rate == 0 || state.tokens < 1) {
        return false;
    }
    state.tokens -= 1;
    return true;
}

} // namespace masticlever::forwarding
