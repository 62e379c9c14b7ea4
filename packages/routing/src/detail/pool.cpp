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

constexpr std::size_t samplesToCompare = 10; ///< answers before an endpoint's latency counts
constexpr std::size_t compareEvery = 8; ///< answers between comparisons
constexpr double signSmoothing = 0.05; ///< weight of a new sample

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

/// Copies what changes from call to call.
void refreshNumbers(candidate &target, const member &source, common::instant now, const router_options &options)
{
    target.inFlight = source.view.inFlight;
    target.reportedLoad = source.view.reportedLoad;
    target.reportedAt = source.view.reportedAt;
    target.inFlightAtReport = source.view.inFlightAtReport;
    target.startWeight = source.health.startWeight(now, options);
}

} // namespace

void pool::inherit(const pool &previous)
{
    m_streamed = previous.m_streamed;
    m_signUs = previous.m_signUs;
}

std::size_t pool::outLimit(const router_options &options) const
{
    const auto working
        = std::count_if(m_members.begin(), m_members.end(), [](const member &m) { return m.takesWork(); });
    return static_cast<std::size_t>(static_cast<double>(working) * options.ejectedShareLimit);
}

void pool::onSign(common::duration delay, bool streamed)
{
    if (m_streamed && !streamed) {
        return;
    }
    const auto us = static_cast<double>(delay.count());
    const bool first = m_signUs <= 0 || streamed != m_streamed;
    m_signUs = first ? us : m_signUs + signSmoothing * (us - m_signUs);
    m_streamed = streamed;
}

common::duration pool::silenceLimit(const router_options &options) const
{
    if (m_signUs <= 0) {
        return common::duration::max();
    }
    const common::duration learnt(std::llround(m_signUs * options.silenceFactor));
    return std::max(options.shortestSilence, learnt);
}

bool pool::isUsable(const member &candidate, const choice_request &request, common::duration silence) const
{
    return candidate.takesWork() && candidate.health.currentPhase() == endpoint_health::phase::serving
        && !candidate.health.isSilent(candidate.view.inFlight, silence, request.now)
        && (request.repeatable || !candidate.health.isSuspected(request.now))
        && !contains(request.exclude, candidate.view.name);
}

/// Silent and suspected endpoints count against the floor as well: beyond it, the least loaded of them stay in use.
void pool::limitSilent(std::vector<bool> &usable, const router_options &options) const
{
    std::size_t out = 0;
    for (std::size_t i = 0; i < usable.size(); ++i) {
        out += m_members[i].takesWork() && !usable[i] ? 1 : 0;
    }
    const std::size_t limit = outLimit(options);
    while (out > limit) {
        std::size_t best = usable.size();
        for (std::size_t i = 0; i < usable.size(); ++i) {
            const member &m = m_members[i];
            const bool silent
                = m.takesWork() && !usable[i] && m.health.currentPhase() == endpoint_health::phase::serving;
            if (silent && (best == usable.size() || m.view.inFlight < m_members[best].view.inFlight)) {
                best = i;
            }
        }
        if (best == usable.size()) {
            return;
        }
        usable[best] = true;
        --out;
    }
}

void pool::refresh(const choice_request &request, const router_options &options)
{
    const common::duration silence = silenceLimit(options);
    std::vector<bool> usable(m_members.size());
    bool anyAvoided = false;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        usable[i] = isUsable(m_members[i], request, silence);
        anyAvoided = anyAvoided || (!usable[i] && m_members[i].takesWork());
    }
    if (anyAvoided && request.exclude.empty()) {
        limitSilent(usable, options);
    }
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        m_stale = m_stale || usable[i] != m_members[i].open;
    }
    if (m_stale) {
        m_open.clear();
        m_openMember.clear();
    }
    std::size_t position = 0;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        m_members[i].open = usable[i];
        if (!usable[i]) {
            continue;
        }
        if (m_stale) {
            m_open.push_back(m_members[i].view);
            m_openMember.push_back(i);
        }
        refreshNumbers(m_open[position++], m_members[i], request.now, options);
    }
    m_stale = false;
}

member *pool::dueProbe(const choice_request &request)
{
    if (!request.repeatable) {
        return nullptr;
    }
    for (member &m : m_members) {
        if (m.takesWork() && m.health.isProbeDue(request.now) && !contains(request.exclude, m.view.name)) {
            return &m;
        }
    }
    return nullptr;
}

/// The least loaded of the ejected and silent endpoints: worth a try when nothing else is left.
member *pool::anyLeft(const choice_request &request)
{
    member *best = nullptr;
    for (member &m : m_members) {
        const bool allowed = m.takesWork() && !contains(request.exclude, m.view.name);
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
    if (m_open.empty()) {
        return anyLeft(request);
    }
    const std::size_t index = policy.choose(m_open, request);
    return &m_members[m_openMember[index]];
}

void pool::eject(member &bad, const router_options &options, common::instant now)
{
    const auto out = std::count_if(m_members.begin(), m_members.end(), [](const member &m) {
        return m.takesWork() && m.health.currentPhase() != endpoint_health::phase::serving;
    });
    const bool alreadyOut = bad.health.currentPhase() != endpoint_health::phase::serving;
    if (alreadyOut || static_cast<std::size_t>(out) < outLimit(options)) {
        bad.health.eject(options, now);
    }
}

void pool::ejectIfSlow(member &answered, const router_options &options, common::instant now)
{
    const std::size_t samples = answered.health.samples();
    if (samples < samplesToCompare || samples % compareEvery != 0) {
        return;
    }
    const auto usual = medianOfOthers(m_members, answered);
    if (usual && answered.health.latencyUs() > *usual * options.latencyToEject) {
        eject(answered, options, now);
    }
}

} // namespace masticlever::routing::detail
