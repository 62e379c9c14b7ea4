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
    member made;
    made.view.name = name;
    made.view.nameHash = common::stableHash(name);
    made.view.address = spec.address;
    return made;
}

/// Keeps the endpoints that rank highest for this instance, in order of their names.
void keepSubset(std::vector<member> &members, const router_options &options)
{
    if (options.subsetSize == 0 || members.size() <= options.subsetSize) {
        return;
    }
    const std::uint64_t own = common::stableHash(options.instanceName);
    std::sort(members.begin(), members.end(), [own](const member &left, const member &right) {
        return common::rendezvousRank(own, left.view.nameHash) > common::rendezvousRank(own, right.view.nameHash);
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
        pool *owner = nullptr;
        member *endpoint = nullptr;

        explicit operator bool() const { return endpoint != nullptr; }
    };
    std::map<std::string, location, std::less<>> locations; ///< by endpoint

    location find(std::string_view endpoint);
    void addMember(pool_map &next, const std::string &name, const configuration::endpoint_spec &spec,
                   common::instant now);
    void onUnanswered(const location &at, call_outcome outcome, common::instant now);
};

router::state::location router::state::find(std::string_view endpoint)
{
    const auto found = locations.find(endpoint);
    return found == locations.end() ? location{} : found->second;
}

void router::state::addMember(pool_map &next, const std::string &name, const configuration::endpoint_spec &spec,
                              common::instant now)
{
    const location old = find(name);
    const auto before = pools.find(spec.pool);
    const bool poolIsKnown = before != pools.end();
    const bool known = old && poolIsKnown && old.owner == &before->second && old.endpoint->view.address == spec.address;
    member made = known ? *old.endpoint : newMember(name, spec);
    if (!known && poolIsKnown) {
        made.health.startSlowly(now);
    }
    made.view.dataCentre = spec.dataCentre;
    made.view.slots = std::max<std::size_t>(spec.slots, 1);
    made.view.checksFencing = spec.checksFencing;
    made.draining = spec.draining;
    made.leaving = leaving.contains(spec.address);
    next[spec.pool].members().push_back(std::move(made));
}

/// A call that ended without an answer.
void router::state::onUnanswered(const location &at, call_outcome outcome, common::instant now)
{
    endpoint_health &health = at.endpoint->health;
    const common::duration limit = at.owner->silenceLimit(options);
    const bool silent = health.isSilent(at.endpoint->view.inFlight, limit, now);
    const bool probing = health.currentPhase() == endpoint_health::phase::probing;
    if (outcome == call_outcome::cancelled && !silent && !probing) {
        return;
    }
    const bool tooMany = outcome != call_outcome::cancelled && health.onFailure(outcome, options);
    if (tooMany || silent || probing) {
        at.owner->eject(*at.endpoint, options, now);
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
    pool_map next;
    for (const auto &[name, endpoint] : snapshot.endpoints) {
        m_state->addMember(next, name, endpoint.spec, now);
    }
    for (auto &[name, owner] : next) {
        if (const auto before = m_state->pools.find(name); before != m_state->pools.end()) {
            owner.inherit(before->second);
        }
    }
    m_state->locations.clear();
    m_state->pools = std::move(next);
    for (auto &[name, owner] : m_state->pools) {
        keepSubset(owner.members(), m_state->options);
        for (member &endpoint : owner.members()) {
            m_state->locations.emplace(endpoint.view.name, state::location{&owner, &endpoint});
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
    for (auto &[name, owner] : m_state->pools) {
        for (member &endpoint : owner.members()) {
            if (endpoint.view.address == address) {
                endpoint.leaving = leaving;
            }
        }
    }
}

std::optional<candidate> router::choose(const choice_request &request)
{
    const auto owner = m_state->pools.find(request.pool);
    if (owner == m_state->pools.end()) {
        return std::nullopt;
    }
    const member *chosen = owner->second.choose(request, *m_state->policy, m_state->options);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    return chosen->view;
}

void router::onSent(std::string_view endpoint, common::instant now)
{
    if (const auto at = m_state->find(endpoint)) {
        if (at.endpoint->health.isProbeDue(now)) {
            at.endpoint->health.startProbe();
        }
        at.endpoint->health.onSent(at.endpoint->view.inFlight, now);
        ++at.endpoint->view.inFlight;
    }
}

void router::onEnded(std::string_view endpoint, call_outcome outcome, common::duration latency, common::instant now)
{
    const auto at = m_state->find(endpoint);
    if (!at) {
        return;
    }
    if (outcome != call_outcome::answered) {
        m_state->onUnanswered(at, outcome, now);
    }
    if (at.endpoint->view.inFlight > 0) {
        --at.endpoint->view.inFlight;
    }
    if (outcome != call_outcome::answered) {
        return;
    }
    endpoint_health &health = at.endpoint->health;
    health.onAlive(now);
    health.onAnswered(latency);
    at.owner->onSign(latency, false);
    if (health.currentPhase() == endpoint_health::phase::probing) {
        health.reinstate(now, m_state->options);
    }
    at.owner->ejectIfSlow(*at.endpoint, m_state->options, now);
}

void router::onProgress(std::string_view endpoint, common::duration delay, common::instant now)
{
    if (const auto at = m_state->find(endpoint)) {
        at.endpoint->health.onAlive(now);
        at.owner->onSign(delay, true);
    }
}

void router::onLoadReport(std::string_view endpoint, double load, common::duration age, common::instant now)
{
    if (const auto at = m_state->find(endpoint)) {
        candidate &view = at.endpoint->view;
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
    std::vector<candidate> due;
    for (auto &[name, owner] : m_state->pools) {
        for (member &endpoint : owner.members()) {
            if (endpoint.takesWork() && endpoint.health.isProbeDue(now)) {
                endpoint.health.startProbe();
                due.push_back(endpoint.view);
            }
        }
    }
    return due;
}

void router::onProbed(std::string_view endpoint, bool answered, common::instant now)
{
    const auto at = m_state->find(endpoint);
    if (!at || at.endpoint->health.currentPhase() != endpoint_health::phase::probing) {
        return;
    }
    if (answered) {
        at.endpoint->health.reinstate(now, m_state->options);
    } else {
        at.owner->eject(*at.endpoint, m_state->options, now);
    }
}

std::vector<std::string> router::takeSuspects(common::instant now)
{
    constexpr common::duration announceInterval = std::chrono::seconds(1);
    std::vector<std::string> suspects;
    for (auto &[name, owner] : m_state->pools) {
        const common::duration limit = owner.silenceLimit(m_state->options);
        for (member &endpoint : owner.members()) {
            endpoint_health &health = endpoint.health;
            const bool isOut = health.currentPhase() != endpoint_health::phase::serving;
            const bool isSick = isOut || health.isSilent(endpoint.view.inFlight, limit, now);
            if (endpoint.takesWork() && isSick && health.takeAnnouncement(now, announceInterval)) {
                suspects.push_back(endpoint.view.name);
            }
        }
    }
    return suspects;
}

void router::onPeerSuspects(std::string_view endpoint, common::instant now)
{
    if (const auto at = m_state->find(endpoint)) {
        at.endpoint->health.suspect(now + m_state->options.suspicionFor);
    }
}

std::size_t router::poolSize(std::string_view pool) const
{
    const auto owner = m_state->pools.find(pool);
    return owner == m_state->pools.end() ? 0 : owner->second.members().size();
}

double router::poolUtilisation(std::string_view pool, common::instant now) const
{
    const auto owner = m_state->pools.find(pool);
    if (owner == m_state->pools.end()) {
        return 0;
    }
    std::vector<candidate> serving;
    double slots = 0;
    for (const member &endpoint : owner->second.members()) {
        if (endpoint.takesWork() && endpoint.health.currentPhase() == endpoint_health::phase::serving) {
            serving.push_back(endpoint.view);
            slots += static_cast<double>(endpoint.view.slots);
        }
    }
    const double usual = detail::usualOthers(serving, now);
    double load = 0;
    for (const candidate &endpoint : serving) {
        load += detail::agedLoad(endpoint, usual, now);
    }
    return slots > 0 ? load / slots : 0;
}

std::size_t router::poolSlots(std::string_view pool) const
{
    const auto owner = m_state->pools.find(pool);
    if (owner == m_state->pools.end()) {
        return 0;
    }
    std::size_t slots = 0;
    for (const member &endpoint : owner->second.members()) {
        const bool serving = endpoint.health.currentPhase() == endpoint_health::phase::serving;
        slots += endpoint.takesWork() && serving ? endpoint.view.slots : 0;
    }
    return slots;
}

} // namespace masticlever::routing
