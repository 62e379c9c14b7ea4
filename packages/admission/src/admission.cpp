#include <masticlever/admission/admission.h>

#include "detail/adaptive-capacity.h"
#include "detail/drain-rate.h"
#include "detail/fair-queue.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <unordered_map>

namespace masticlever::admission
{

namespace
{

using detail::team_map;
using detail::team_state;
using detail::waiting;

constexpr double usPerSecond = 1e6;
constexpr double timeSmoothing = 0.05; ///< weight of a new sample
constexpr double cheapestRequest = 0.001; ///< seconds, for fairness
constexpr double borrowedShare = 0.5; ///< of the capacity, for teams below their share
constexpr common::duration shortestRetry = std::chrono::milliseconds(100);
constexpr common::duration longestRetry = std::chrono::seconds(30);
constexpr common::duration unknownRetry = std::chrono::seconds(1);

common::duration clampRetry(common::duration wait)
{
    return std::clamp(wait, shortestRetry, longestRetry);
}

decision refused(refusal_reason reason, common::duration retryAfter)
{
    return {decision::verdict::refused, 0, reason, clampRetry(retryAfter)};
}

} // namespace

struct controller::state {
    explicit state(const admission_options &given) : options(given), capacity(given.capacity, given.minimumCapacity) { }

    admission_options options;
    detail::adaptive_capacity capacity;
    detail::drain_rate drain;
    detail::fair_queue queue;
    struct admitted {
        team_map::value_type *team = nullptr;
        common::instant since;
    };
    std::unordered_map<ticket, admitted> inFlight;
    double usualTimeUs = 0; ///< moving average of the time in flight
    ticket lastTicket = 0;

    bool hasRoom() const { return static_cast<double>(inFlight.size()) < capacity.value(); }
    bool mayBorrow(const team_state &team, double cost) const;
    double startRate(common::instant now) const;
    common::duration drainTime(std::size_t requests, common::instant now) const;
    common::duration expectedWait(const team_state &team, double cost, common::instant now) const;
    void start(team_map::value_type &team, ticket id, double startTag, common::instant now);
    decision admit(team_map::value_type &team, double cost, common::instant now);
    decision enqueue(team_map::value_type &team, const entry_request &entry, double cost, common::instant now);
    void learnTime(common::duration inFlightFor);
    queue_event refusalOf(const waiting &entry, common::instant now) const;
};

/// A team below its share of the capacity starts at once, even when others hold all of it: what they hold drains
/// slowly on an instance with few requests a second, and the share would come too late.
bool controller::state::mayBorrow(const team_state &team, double cost) const
{
    const double limit = capacity.value() * (1 + borrowedShare);
    return static_cast<double>(inFlight.size()) < limit && team.queue.empty() && queue.isBehind(team, cost);
}

/// Requests per second that may start while others wait: what has ended lately, or what the capacity allows when
/// it was not used lately, as at the start of a burst.
double controller::state::startRate(common::instant now) const
{
    const double possible = usualTimeUs > 0 ? capacity.value() * usPerSecond / usualTimeUs : 0;
    return std::max(drain.perSecond(now), possible);
}

common::duration controller::state::drainTime(std::size_t requests, common::instant now) const
{
    const double rate = startRate(now);
    if (rate <= 0) {
        return unknownRetry;
    }
    return common::duration(std::llround(static_cast<double>(requests) * usPerSecond / rate));
}

/// Time until a new request of \p team would start.
common::duration controller::state::expectedWait(const team_state &team, double cost, common::instant now) const
{
    if (queue.size() == 0 && hasRoom()) {
        return common::duration::zero();
    }
    if (mayBorrow(team, cost)) {
        return common::duration::zero();
    }
    const std::size_t before = queue.countBefore(queue.startTagFor(team));
    if (startRate(now) <= 0) {
        return common::duration::zero();
    }
    return drainTime(before + 1, now);
}

void controller::state::start(team_map::value_type &team, ticket id, double startTag, common::instant now)
{
    queue.onStarted(startTag);
    ++team.second.inFlight;
    inFlight.emplace(id, admitted{&team, now});
}

decision controller::state::admit(team_map::value_type &team, double cost, common::instant now)
{
    const ticket id = ++lastTicket;
    start(team, id, queue.charge(team.second, cost), now);
    decision made;
    made.outcome = decision::verdict::admitted;
    made.id = id;
    return made;
}

decision controller::state::enqueue(team_map::value_type &team, const entry_request &entry, double cost,
                                    common::instant now)
{
    waiting added;
    added.id = ++lastTicket;
    added.startTag = queue.charge(team.second, cost);
    added.deadline = now + entry.remaining;
    added.expectedService = entry.expectedService;
    added.expiresAt = now + std::min(options.queueLimit, entry.remaining - entry.expectedService);
    queue.push(team, added);
    decision queued;
    queued.outcome = decision::verdict::queued;
    queued.id = added.id;
    return queued;
}

queue_event controller::state::refusalOf(const waiting &entry, common::instant now) const
{
    const bool late = entry.deadline - entry.expectedService <= now;
    const auto reason = late ? refusal_reason::deadline_unreachable : refusal_reason::queue_timeout;
    return {entry.id, false, reason, clampRetry(drainTime(queue.size() + 1, now))};
}

void controller::state::learnTime(common::duration inFlightFor)
{
    const auto us = static_cast<double>(inFlightFor.count());
    usualTimeUs = usualTimeUs <= 0 ? us : usualTimeUs + timeSmoothing * (us - usualTimeUs);
}

controller::controller(admission_options options) : m_state(std::make_unique<state>(options)) { }

controller::~controller() = default;
controller::controller(controller &&) noexcept = default;
controller &controller::operator=(controller &&) noexcept = default;

decision controller::request(const entry_request &entry, common::instant now)
{
    auto &team = m_state->queue.team(entry.team, entry.weight);
    const std::size_t held = team.second.inFlight + team.second.queue.size();
    if (held >= entry.teamLimit) {
        return refused(refusal_reason::team_limit, m_state->drainTime(1, now));
    }
    const double service = static_cast<double>(entry.expectedService.count()) / usPerSecond;
    const double cost = std::max(service, cheapestRequest);
    // With nothing in flight the estimate cannot be corrected by answers, so it refuses nobody.
    if (m_state->inFlight.empty() && entry.remaining > common::duration::zero()) {
        return m_state->admit(team, cost, now);
    }
    const common::duration wait = m_state->expectedWait(team.second, cost, now);
    const common::duration spare = entry.remaining - entry.expectedService;
    if (wait > spare) {
        return refused(refusal_reason::deadline_unreachable, wait - std::max(spare, common::duration::zero()));
    }
    if (wait > m_state->options.queueLimit) {
        return refused(refusal_reason::queue_timeout, wait - m_state->options.queueLimit);
    }
    const bool firstInLine = m_state->queue.size() == 0 && m_state->hasRoom();
    if (firstInLine || m_state->mayBorrow(team.second, cost)) {
        return m_state->admit(team, cost, now);
    }
    return m_state->enqueue(team, entry, cost, now);
}

void controller::onFinished(ticket id, bool metDeadline, common::instant now)
{
    const auto found = m_state->inFlight.find(id);
    if (found == m_state->inFlight.end()) {
        return;
    }
    auto &team = *found->second.team;
    m_state->learnTime(now - found->second.since);
    m_state->capacity.onFinished(metDeadline, m_state->inFlight.size());
    m_state->drain.onFinished(now);
    m_state->inFlight.erase(found);
    --team.second.inFlight;
    m_state->queue.forget(team);
}

void controller::cancel(ticket id)
{
    m_state->queue.erase(id);
}

void controller::setCapacity(std::size_t capacity)
{
    m_state->capacity.setUpper(capacity);
}

std::vector<queue_event> controller::poll(common::instant now)
{
    std::vector<queue_event> events;
    if (m_state->queue.size() == 0) {
        return events;
    }
    for (const waiting &entry : m_state->queue.takeExpired(now)) {
        events.push_back(m_state->refusalOf(entry, now));
    }
    while (m_state->hasRoom()) {
        auto *team = m_state->queue.next();
        if (team == nullptr) {
            break;
        }
        const waiting entry = m_state->queue.popFront(*team);
        m_state->start(*team, entry.id, entry.startTag, now);
        queue_event admitted;
        admitted.id = entry.id;
        admitted.admitted = true;
        events.push_back(admitted);
    }
    return events;
}

common::instant controller::nextWakeUp() const
{
    return m_state->queue.nextExpiry();
}

std::size_t controller::inFlight() const
{
    return m_state->inFlight.size();
}

std::size_t controller::queued() const
{
    return m_state->queue.size();
}

} // namespace masticlever::admission
