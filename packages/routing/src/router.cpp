#include <masticlever/routing/router.h>

#include "detail/load-estimate.h"
#include "detail/pool.h"
#include <masticlever/common/rendezvous.h>

#include <masticlever/common/digest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace masticlever::routing
{

namespace
{

using detail::endpoint_health;
using detail::member;
using detail::pool;
using pool_map = std::map<std::string, pool, std::less<>>;

member newMember(const std::string &name, const configuration::endpoint_spec &spec)
{
    member created;
    created.view.name = name;
    created.view.nameHash = common::stableHash(name);
    created.view.address = spec.address;
    return created;
}

/// Keeps the endpoints with the highest rendezvous rank for this instance, sorted by name.
void keepSubset(std::vector<member> &members, const router_options &options)
{
    if (options.subsetSize == 0 || members.size() <= options.subsetSize) {
        return;
    }
    const std::uint64_t instanceHash = common::stableHash(options.instanceName);
    std::sort(members.begin(), members.end(), [instanceHash](const member &left, const member &right) {
        return common::rendezvousRank(instanceHash, left.view.nameHash)
            > common::rendezvousRank(instanceHash, right.view.nameHash);
    });
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(options.subsetSize), members.end());
    members.shrink_to_fit();
    std::sort(members.begin(), members.end(),
              [](const member &left, const member &right) { return left.view.name < right.view.name; });
}

} // namespace

struct router::state {
    router_options options;
    std::unique_ptr<choice_policy> policy;
    pool_map pools;
    std::set<std::string, std::less<>> leaving; ///< addresses

    struct location {
        pool *endpointPool = nullptr;
        member *endpoint = nullptr;

        explicit operator bool() const { return endpoint != nullptr; }
    };
    std::map<std::string, location, std::less<>> locations; ///< by endpoint name

    location find(std::string_view endpoint);
    void addMember(pool_map &updated, const std::string &name, const configuration::endpoint_spec &spec,
                   common::instant now);
    void onUnanswered(const location &target, call_outcome outcome, common::instant now);
};

router::state::location router::state::find(std::string_view endpoint)
{
    const auto found = locations.find(endpoint);
    return found == locations.end() ? location{} : found->second;
}

void router::state::addMember(pool_map &updated, const std::string &name, const configuration::endpoint_spec &spec,
                              common::instant now)
{
    const location existing = find(name);
    const auto previous = pools.find(spec.pool);
    const bool poolIsKnown = previous != pools.end();
    const bool known = existing && poolIsKnown && existing.endpointPool == &previous->second
        && existing.endpoint->view.address == spec.address;
    member created = known ? *existing.endpoint : newMember(name, spec);
    if (!known && poolIsKnown) {
        created.health.beginSlowStart(now);
    }
    created.view.dataCentre = spec.dataCentre;
    created.view.slots = std::max<std::size_t>(spec.slots, 1);
    created.view.checksFencing = spec.checksFencing;
    created.draining = spec.draining;
    created.leaving = leaving.contains(spec.address);
    updated[spec.pool].members().push_back(std::move(created));
}

/// Handles a call that ended without an answer. A cancelled call counts only if the endpoint is unresponsive or probed.
void router::state::onUnanswered(const location &target, call_outcome outcome, common::instant now)
{
    endpoint_health &health = target.endpoint->health;
    const common::duration limit = target.endpointPool->unresponsiveLimit(options);
    const bool unresponsive = health.isUnresponsive(target.endpoint->view.inFlight, limit, now);
    const bool probing = health.currentPhase() == endpoint_health::phase::probing;
    if (outcome == call_outcome::cancelled && !unresponsive && !probing) {
        return;
    }
    const bool limitReached = outcome != call_outcome::cancelled && health.onFailure(outcome, options);
    if (limitReached || unresponsive || probing) {
        target.endpointPool->eject(*target.endpoint, options, now);
    }
}

router::router(router_options options) : m_state(std::make_unique<state>())
{
    m_state->policy = makePolicy(options.policy);
    m_state->options = std::move(options);
}

router::~router() = default;
router::router(router &&) noexcept = default;
router &router::operator=(router &&) noexcept = default;

void router::update(const configuration::snapshot &snapshot, common::instant now)
{
    pool_map updated;
    for (const auto &[name, endpoint] : snapshot.endpoints) {
        m_state->addMember(updated, name, endpoint.spec, now);
    }
    for (auto &[name, endpointPool] : updated) {
        if (const auto previous = m_state->pools.find(name); previous != m_state->pools.end()) {
            endpointPool.copyStatistics(previous->second);
        }
    }
    m_state->locations.clear();
    m_state->pools = std::move(updated);
    for (auto &[name, endpointPool] : m_state->pools) {
        keepSubset(endpointPool.members(), m_state->options);
        for (member &endpoint : endpointPool.members()) {
            m_state->locations.emplace(endpoint.view.name, state::location{&endpointPool, &endpoint});
        }
    }
}

void router::setLeaving(std::string_view address, bool leaving)
{
    if (leaving) {
        m_state->leaving.emplace(address);
    } else if (const auto known = m_state->leaving.find(address); known != m_state->leaving.end()) {
        m_state->leaving.erase(known);
    }
    for (auto &[name, endpointPool] : m_state->pools) {
        for (member &endpoint : endpointPool.members()) {
            if (endpoint.view.address == address) {
                endpoint.leaving = leaving;
            }
        }
    }
}

std::optional<candidate> router::choose(const choice_request &request)
{
    const auto endpointPool = m_state->pools.find(request.pool);
    if (endpointPool == m_state->pools.end()) {
        return std::nullopt;
    }
    const member *chosen = endpointPool->second.choose(request, *m_state->policy, m_state->options);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    return chosen->view;
}

void router::onSent(std::string_view endpoint, common::instant now)
{
    if (const auto target = m_state->find(endpoint)) {
        if (target.endpoint->health.isProbeDue(now)) {
            target.endpoint->health.startProbe();
        }
        target.endpoint->health.onSent(target.endpoint->view.inFlight, now);
        ++target.endpoint->view.inFlight;
    }
}

void router::onEnded(std::string_view endpoint, call_outcome outcome, common::duration latency, common::instant now)
{
    const auto target = m_state->find(endpoint);
    if (!target) {
        return;
    }
    if (outcome != call_outcome::answered) {
        m_state->onUnanswered(target, outcome, now);
    }
    if (target.endpoint->view.inFlight > 0) {
        --target.endpoint->view.inFlight;
    }
    if (outcome != call_outcome::answered) {
        return;
    }
    endpoint_health &health = target.endpoint->health;
    health.onResponse(now);
    health.onAnswered(latency);
    target.endpointPool->recordResponseDelay(latency, false);
    if (health.currentPhase() == endpoint_health::phase::probing) {
        health.reinstate(now, m_state->options);
    }
    target.endpointPool->ejectIfSlow(*target.endpoint, m_state->options, now);
}

void router::onProgress(std::string_view endpoint, common::duration delay, common::instant now)
{
    if (const auto target = m_state->find(endpoint)) {
        target.endpoint->health.onResponse(now);
        target.endpointPool->recordResponseDelay(delay, true);
    }
}

void router::onLoadReport(std::string_view endpoint, double load, common::duration age, common::instant now)
{
    if (const auto target = m_state->find(endpoint)) {
        candidate &view = target.endpoint->view;
        if (now - age < view.reportedAt) {
            return;
        }
        view.reportedLoad = load;
        view.reportedAt = now - age;
        view.inFlightAtReport = view.inFlight;
    }
}

std::vector<candidate> router::dueProbes(common::instant now)
{
    std::vector<candidate> probes;
    for (auto &[name, endpointPool] : m_state->pools) {
        for (member &endpoint : endpointPool.members()) {
            if (endpoint.acceptsCalls() && endpoint.health.isProbeDue(now)) {
                endpoint.health.startProbe();
                probes.push_back(endpoint.view);
            }
        }
    }
    return probes;
}

void router::onProbed(std::string_view endpoint, bool answered, common::instant now)
{
    const auto target = m_state->find(endpoint);
    if (!target || target.endpoint->health.currentPhase() != endpoint_health::phase::probing) {
        return;
    }
    if (answered) {
        target.endpoint->health.reinstate(now, m_state->options);
    } else {
        target.endpointPool->eject(*target.endpoint, m_state->options, now);
    }
}

std::vector<std::string> router::takeSuspects(common::instant now)
{
    constexpr common::duration announceInterval = std::chrono::seconds(1);
    std::vector<std::string> suspects;
    for (auto &[name, endpointPool] : m_state->pools) {
        const common::duration limit = endpointPool.unresponsiveLimit(m_state->options);
        for (member &endpoint : endpointPool.members()) {
            endpoint_health &health = endpoint.health;
            const bool isEjected = health.currentPhase() != endpoint_health::phase::serving;
            const bool isUnhealthy = isEjected || health.isUnresponsive(endpoint.view.inFlight, limit, now);
            if (endpoint.acceptsCalls() && isUnhealthy && health.tryAnnounce(now, announceInterval)) {
                suspects.push_back(endpoint.view.name);
            }
        }
    }
    return suspects;
}

void router::onPeerSuspects(std::string_view endpoint, common::instant now)
{
    if (const auto target = m_state->find(endpoint)) {
        target.endpoint->health.suspectUntil(now + m_state->options.suspicionDuration);
    }
}

std::size_t router::poolSize(std::string_view pool) const
{
    const auto endpointPool = m_state->pools.find(pool);
    return endpointPool == m_state->pools.end() ? 0 : endpointPool->second.members().size();
}

double router::poolUtilisation(std::string_view pool, common::instant now) const
{
    const auto endpointPool = m_state->pools.find(pool);
    if (endpointPool == m_state->pools.end()) {
        return 0;
    }
    std::vector<candidate> serving;
    double slots = 0;
    for (const member &endpoint : endpointPool->second.members()) {
        if (endpoint.acceptsCalls() && endpoint.health.currentPhase() == endpoint_health::phase::serving) {
            serving.push_back(endpoint.view);
            slots += static_cast<double>(endpoint.view.slots);
        }
    }
    const double meanOfOthers = detail::meanLoadOfOthers(serving, now);
    double load = 0;
    for (const candidate &endpoint : serving) {
        load += detail::estimatedLoad(endpoint, meanOfOthers, now);
    }
    return slots > 0 ? load / slots : 0;
}

std::size_t router::poolSlots(std::string_view pool) const
{
    const auto endpointPool = m_state->pools.find(pool);
    if (endpointPool == m_state->pools.end()) {
        return 0;
    }
    std::size_t slots = 0;
    for (const member &endpoint : endpointPool->second.members()) {
        const bool serving = endpoint.health.currentPhase() == endpoint_health::phase::serving;
        slots += endpoint.acceptsCalls() && serving ? endpoint.view.slots : 0;
    }
    return slots;
}

} // namespace masticlever::routing
