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

using detail::queued_entry;
using detail::team_map;
using detail::team_state;

constexpr double usPerSecond = 1e6;
constexpr double timeInFlightSmoothing = 0.05; ///< weight of a new sample
constexpr double minRequestCost = 0.001; ///< seconds of service, lower bound for fairness
constexpr double maxBorrowedShare = 0.5; ///< of the capacity, extra for teams below their share
constexpr common::duration minRetryAfter = std::chrono::milliseconds(100);
constexpr common::duration maxRetryAfter = std::chrono::seconds(30);
constexpr common::duration defaultRetryAfter = std::chrono::seconds(1);

common::duration clampRetryAfter(common::duration wait)
{
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

decision refused(refusal_reason reason, common::duration retryAfter)
{
    return {decision::admission_outcome::refused, 0, reason, clampRetryAfter(retryAfter)};
}

} // namespace

struct controller::state {
    explicit state(const admission_options &initial)
        : options(initial), capacity(initial.capacity, initial.minimumCapacity)
    { }

    admission_options options;
    detail::adaptive_capacity capacity;
    detail::drain_rate drainRate;
    detail::fair_queue queue;
    struct admitted {
        team_map::value_type *team = nullptr;
        common::instant admittedAt;
    };
    std::unordered_map<ticket, admitted> inFlight;
    double meanTimeInFlightUs = 0; ///< moving average of the time in flight
    ticket lastTicket = 0;

    bool hasFreeCapacity() const { return static_cast<double>(inFlight.size()) < capacity.value(); }
    bool mayBorrow(const team_state &team, double cost) const;
    double startRate(common::instant now) const;
    common::duration drainTime(std::size_t requests, common::instant now) const;
    common::duration expectedWait(const team_state &team, double cost, common::instant now) const;
    void start(team_map::value_type &team, ticket id, double startTag, common::instant now);
    decision admit(team_map::value_type &team, double cost, common::instant now);
    decision enqueue(team_map::value_type &team, const admission_request &entry, double cost, common::instant now);
    void recordTimeInFlight(common::duration timeInFlight);
    queue_event makeRefusal(const queued_entry &entry, common::instant now) const;
};

/// A team below its share may exceed the capacity instead of waiting while other teams use all of it. On an instance
/// with few requests per second, capacity is freed too slowly for the team to get its share in time.
bool controller::state::mayBorrow(const team_state &team, double cost) const
{
    const double limit = capacity.value() * (1 + maxBorrowedShare);
    return static_cast<double>(inFlight.size()) < limit && team.queue.empty() && queue.isBelowShare(team, cost);
}

/// Requests per second that can leave the queue: the recent drain rate, or the rate that the capacity allows if that
/// is higher. The drain rate is too low when the capacity was not used recently, as at the start of a burst.
double controller::state::startRate(common::instant now) const
{
    const double capacityRate = meanTimeInFlightUs > 0 ? capacity.value() * usPerSecond / meanTimeInFlightUs : 0;
    return std::max(drainRate.perSecond(now), capacityRate);
}

common::duration controller::state::drainTime(std::size_t requests, common::instant now) const
{
    const double rate = startRate(now);
    if (rate <= 0) {
        return defaultRetryAfter;
    }
    return common::duration(std::llround(static_cast<double>(requests) * usPerSecond / rate));
}

/// Expected time in the queue of a new request of \p team; zero if it would start at once or no rate is known yet.
common::duration controller::state::expectedWait(const team_state &team, double cost, common::instant now) const
{
    if (queue.size() == 0 && hasFreeCapacity()) {
        return common::duration::zero();
    }
    if (mayBorrow(team, cost)) {
        return common::duration::zero();
    }
    const std::size_t entriesBefore = queue.countBefore(queue.startTagFor(team));
    if (startRate(now) <= 0) {
        return common::duration::zero();
    }
    return drainTime(entriesBefore + 1, now);
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
    decision result;
    result.outcome = decision::admission_outcome::admitted;
    result.id = id;
    return result;
}

decision controller::state::enqueue(team_map::value_type &team, const admission_request &entry, double cost,
                                    common::instant now)
{
    queued_entry added;
    added.id = ++lastTicket;
    added.startTag = queue.charge(team.second, cost);
    added.deadline = now + entry.remaining;
    added.expectedService = entry.expectedService;
    added.expiresAt = now + std::min(options.queueLimit, entry.remaining - entry.expectedService);
    queue.push(team, added);
    decision queued;
    queued.outcome = decision::admission_outcome::queued;
    queued.id = added.id;
    return queued;
}

queue_event controller::state::makeRefusal(const queued_entry &entry, common::instant now) const
{
    const bool isLate = entry.deadline - entry.expectedService <= now;
    const auto reason = isLate ? refusal_reason::deadline_unreachable : refusal_reason::queue_timeout;
    return {entry.id, false, reason, clampRetryAfter(drainTime(queue.size() + 1, now))};
}

void controller::state::recordTimeInFlight(common::duration timeInFlight)
{
    const auto us = static_cast<double>(timeInFlight.count());
    meanTimeInFlightUs
        = meanTimeInFlightUs <= 0 ? us : meanTimeInFlightUs + timeInFlightSmoothing * (us - meanTimeInFlightUs);
}

controller::controller(admission_options options) : m_state(std::make_unique<state>(options)) { }

controller::~controller() = default;
controller::controller(controller &&) noexcept = default;
controller &controller::operator=(controller &&) noexcept = default;

decision controller::request(const admission_request &entry, common::instant now)
{
    auto &team = m_state->queue.team(entry.team, entry.weight);
    const std::size_t outstanding = team.second.inFlight + team.second.queue.size();
    if (outstanding >= entry.teamLimit) {
        return refused(refusal_reason::team_limit, m_state->drainTime(1, now));
    }
    const double service = static_cast<double>(entry.expectedService.count()) / usPerSecond;
    const double cost = std::max(service, minRequestCost);
    // With nothing in flight, no answer could correct an estimate that is too high, so it must not refuse requests.
    if (m_state->inFlight.empty() && entry.remaining > common::duration::zero()) {
        return m_state->admit(team, cost, now);
    }
    const common::duration wait = m_state->expectedWait(team.second, cost, now);
    const common::duration slack = entry.remaining - entry.expectedService;
    if (wait > slack) {
        return refused(refusal_reason::deadline_unreachable, wait - std::max(slack, common::duration::zero()));
    }
    if (wait > m_state->options.queueLimit) {
        return refused(refusal_reason::queue_timeout, wait - m_state->options.queueLimit);
    }
    const bool canStartNow = m_state->queue.size() == 0 && m_state->hasFreeCapacity();
    if (canStartNow || m_state->mayBorrow(team.second, cost)) {
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
    m_state->recordTimeInFlight(now - found->second.admittedAt);
    m_state->capacity.onFinished(metDeadline, m_state->inFlight.size());
    m_state->drainRate.onFinished(now);
    m_state->inFlight.erase(found);
    --team.second.inFlight;
    m_state->queue.eraseIfIdle(team);
}

void controller::cancel(ticket id)
{
    m_state->queue.erase(id);
}

void controller::setCapacity(std::size_t capacity)
{
    m_state->capacity.setUpperBound(capacity);
}

std::vector<queue_event> controller::poll(common::instant now)
{
    std::vector<queue_event> events;
    if (m_state->queue.size() == 0) {
        return events;
    }
    for (const queued_entry &entry : m_state->queue.takeExpired(now)) {
        events.push_back(m_state->makeRefusal(entry, now));
    }
    while (m_state->hasFreeCapacity()) {
        auto *team = m_state->queue.next();
        if (team == nullptr) {
            break;
        }
        const queued_entry entry = m_state->queue.popFront(*team);
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
