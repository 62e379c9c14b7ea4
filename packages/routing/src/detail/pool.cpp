#include "pool.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <span>

namespace masticlever::routing::detail
{

namespace
{

constexpr std::size_t samplesToCompare = 10; ///< answers needed before an endpoint's latency is compared
constexpr std::size_t compareEvery = 8; ///< answers between comparisons
constexpr double responseDelaySmoothing = 0.05; ///< weight of a new sample

bool contains(std::span<const std::string> names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::optional<double> medianOfOthers(const std::vector<member> &members, const member &self)
{
    std::vector<double> latencies;
    for (const member &other : members) {
        if (&other != &self && other.health.samples() >= samplesToCompare) {
            latencies.push_back(other.health.latencyUs());
        }
    }
    if (latencies.empty()) {
        return std::nullopt;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

/// Updates the fields that change between calls.
void updateCounters(candidate &target, const member &source, common::instant now, const router_options &options)
{
    target.inFlight = source.view.inFlight;
    target.reportedLoad = source.view.reportedLoad;
    target.reportedAt = source.view.reportedAt;
    target.inFlightAtReport = source.view.inFlightAtReport;
    target.slowStartWeight = source.health.slowStartWeight(now, options);
}

} // namespace

void pool::copyStatistics(const pool &previous)
{
    m_streamed = previous.m_streamed;
    m_responseDelayUs = previous.m_responseDelayUs;
}

std::size_t pool::maxUnavailable(const router_options &options) const
{
    const auto accepting
        = std::count_if(m_members.begin(), m_members.end(), [](const member &m) { return m.acceptsCalls(); });
    return static_cast<std::size_t>(static_cast<double>(accepting) * options.maxUnavailableShare);
}

void pool::recordResponseDelay(common::duration delay, bool streamed)
{
    if (m_streamed && !streamed) {
        return;
    }
    const auto us = static_cast<double>(delay.count());
    const bool first = m_responseDelayUs <= 0 || streamed != m_streamed;
    m_responseDelayUs = first ? us : m_responseDelayUs + responseDelaySmoothing * (us - m_responseDelayUs);
    m_streamed = streamed;
}

common::duration pool::unresponsiveLimit(const router_options &options) const
{
    if (m_responseDelayUs <= 0) {
        return common::duration::max();
    }
    const common::duration learned(std::llround(m_responseDelayUs * options.unresponsiveFactor));
    return std::max(options.minUnresponsiveDelay, learned);
}

bool pool::isUsable(const member &candidate, const choice_request &request, common::duration unresponsiveAfter) const
{
    return candidate.acceptsCalls() && candidate.health.currentPhase() == endpoint_health::phase::serving
        && !candidate.health.isUnresponsive(candidate.view.inFlight, unresponsiveAfter, request.now)
        && (request.repeatable || !candidate.health.isSuspected(request.now))
        && !contains(request.exclude, candidate.view.name);
}

/// Unresponsive and suspected endpoints count towards the limit on unavailable endpoints as well. If there are too
/// many, the least loaded of them stay in use.
void pool::limitUnavailable(std::vector<bool> &usable, const router_options &options) const
{
    std::size_t unavailable = 0;
    for (std::size_t i = 0; i < usable.size(); ++i) {
        unavailable += m_members[i].acceptsCalls() && !usable[i] ? 1 : 0;
    }
    const std::size_t limit = maxUnavailable(options);
    while (unavailable > limit) {
        std::size_t best = usable.size();
        for (std::size_t i = 0; i < usable.size(); ++i) {
            const member &m = m_members[i];
            const bool avoided
                = m.acceptsCalls() && !usable[i] && m.health.currentPhase() == endpoint_health::phase::serving;
            if (avoided && (best == usable.size() || m.view.inFlight < m_members[best].view.inFlight)) {
                best = i;
            }
        }
        if (best == usable.size()) {
            return;
        }
        usable[best] = true;
        --unavailable;
    }
}

void pool::refresh(const choice_request &request, const router_options &options)
{
    const common::duration unresponsiveAfter = unresponsiveLimit(options);
    std::vector<bool> usable(m_members.size());
    bool anyAvoided = false;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        usable[i] = isUsable(m_members[i], request, unresponsiveAfter);
        anyAvoided = anyAvoided || (!usable[i] && m_members[i].acceptsCalls());
    }
    if (anyAvoided && request.exclude.empty()) {
        limitUnavailable(usable, options);
    }
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        m_rebuildSelectable = m_rebuildSelectable || usable[i] != m_members[i].selectable;
    }
    if (m_rebuildSelectable) {
        m_selectable.clear();
        m_selectableIndex.clear();
    }
    std::size_t position = 0;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        m_members[i].selectable = usable[i];
        if (!usable[i]) {
            continue;
        }
        if (m_rebuildSelectable) {
            m_selectable.push_back(m_members[i].view);
            m_selectableIndex.push_back(i);
        }
        updateCounters(m_selectable[position++], m_members[i], request.now, options);
    }
    m_rebuildSelectable = false;
}

member *pool::dueProbe(const choice_request &request)
{
    if (!request.repeatable) {
        return nullptr;
    }
    for (member &m : m_members) {
        if (m.acceptsCalls() && m.health.isProbeDue(request.now) && !contains(request.exclude, m.view.name)) {
            return &m;
        }
    }
    return nullptr;
}

/// Returns the least loaded endpoint, even if it is ejected or unresponsive, for use when no other is left.
member *pool::leastLoaded(const choice_request &request)
{
    member *best = nullptr;
    for (member &m : m_members) {
        const bool allowed = m.acceptsCalls() && !contains(request.exclude, m.view.name);
        if (allowed && (best == nullptr || m.view.inFlight < best->view.inFlight)) {
            best = &m;
        }
    }
    return best;
}

member *pool::choose(const choice_request &request, choice_policy &policy, const router_options &options)
{
    if (member *probe = dueProbe(request)) {
        return probe;
    }
    refresh(request, options);
    if (m_selectable.empty()) {
        return leastLoaded(request);
    }
    const std::size_t index = policy.choose(m_selectable, request);
    return &m_members[m_selectableIndex[index]];
}

void pool::eject(member &failing, const router_options &options, common::instant now)
{
    const auto unavailable = std::count_if(m_members.begin(), m_members.end(), [](const member &m) {
        return m.acceptsCalls() && m.health.currentPhase() != endpoint_health::phase::serving;
    });
    const bool alreadyEjected = failing.health.currentPhase() != endpoint_health::phase::serving;
    if (alreadyEjected || static_cast<std::size_t>(unavailable) < maxUnavailable(options)) {
        failing.health.eject(options, now);
    }
}

void pool::ejectIfSlow(member &answered, const router_options &options, common::instant now)
{
    const std::size_t samples = answered.health.samples();
    if (samples < samplesToCompare || samples % compareEvery != 0) {
        return;
    }
    const auto median = medianOfOthers(m_members, answered);
    if (median && answered.health.latencyUs() > *median * options.latencyRatioToEject) {
        eject(answered, options, now);
    }
}

} // namespace masticlever::routing::detail
