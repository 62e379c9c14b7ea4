#include <masticlever/stages/batch-queue.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

/// \file
/// The queue's plan: which requests make their objective, which wait for an endpoint near their inputs, and in which
/// order an endpoint takes them.

namespace masticlever::stages
{

using common::duration;
using common::instant;

bool batch_queue::isDear(const piece_wish &wish) const
{
    return !wish.dataCentre.empty() && wish.nearBytes > m_options.dearBytes;
}

/// Whether its dear inputs or results would cross to or from the endpoint.
bool batch_queue::isFar(const piece_wish &wish, const endpoint_entry &endpoint) const
{
    return isDear(wish) && wish.dataCentre != endpoint.record.dataCentre;
}

/// When the endpoints of each data centre can take their next calls, the earliest first.
std::map<std::string_view, std::vector<instant>> batch_queue::freeTimes(instant now) const
{
    std::map<std::string_view, std::vector<instant>> times;
    const double limit = slownessLimit(now);
    for (const auto &[id, endpoint] : m_endpoints) {
        if (endpoint.isListed && slownessOf(endpoint, now) <= limit) {
            auto &free = times[endpoint.record.dataCentre];
            free.insert(free.end(), idlePlaces(endpoint), std::max({now, endpoint.restsUntil, endpoint.quietUntil}));
        }
    }
    for (const auto &[number, call] : m_calls) {
        const auto endpoint = m_endpoints.find(call.endpointId);
        const auto known = endpoint == m_endpoints.end() ? times.end() : times.find(endpoint->second.record.dataCentre);
        if (known != times.end()) {
            known->second.push_back(now + timeLeft(call, now));
        }
    }
    for (auto &[dataCentre, free] : times) {
        std::ranges::sort(free);
    }
    return times;
}

/// Finds out which requests can wait for an endpoint in their data centre, behind those before them there. Answers a
/// load under which every idle endpoint takes what waits, and most inputs and results cross data centres.
void batch_queue::planNear(const std::vector<wish_map::iterator> &waiting, instant now)
{
    const auto free = freeTimes(now);
    // Calls go out half full on average, as pieces of other requests share them.
    const std::size_t piecesInCall = std::max<std::size_t>(1, m_limits.batchSize / 2);
    std::map<std::string_view, std::size_t> before;
    for (const auto found : waiting) {
        wish_entry &entry = found->second;
        entry.canWait = false;
        const auto near = isDear(entry.wish) ? free.find(entry.wish.dataCentre) : free.end();
        if (near == free.end() || near->second.empty()) {
            continue;
        }
        std::size_t &ahead = before[near->first];
        const std::size_t place = ahead / piecesInCall;
        const std::size_t slots = near->second.size();
        const instant begin
            = near->second[place % slots] + plainCall(m_limits.batchSize) * static_cast<duration::rep>(place / slots);
        entry.canWait = begin + plainCall(m_limits.batchSize) + entry.wish.laterWork <= entry.wish.objective;
        ahead += entry.canWait ? entry.waiting.size() : 0;
    }
}

bool batch_queue::isWantedAt(const wish_entry &entry, const endpoint_entry &endpoint)
{
    return !entry.canWait || entry.wish.dataCentre == endpoint.record.dataCentre;
}

/// Requests with waiting pieces, the most urgent class first, then in the order of their arrival.
std::vector<batch_queue::wish_map::iterator> batch_queue::waitingByUrgency()
{
    std::vector<wish_map::iterator> waiting;
    for (auto it = m_wishes.begin(); it != m_wishes.end(); ++it) {
        if (!it->second.waiting.empty()) {
            waiting.push_back(it);
        }
    }
    std::ranges::stable_sort(waiting, [](const auto &left, const auto &right) {
        return left->second.wish.priority < right->second.wish.priority;
    });
    return waiting;
}

/// What the endpoints can take, found once for a plan: a plan of n requests is to cost no more than n steps.
batch_queue::capacity batch_queue::presentCapacity(instant now) const
{
    std::size_t places = 0;
    std::size_t idle = 0;
    const duration quiet = untilAnyTakesCalls(now);
    for (const auto &[id, endpoint] : m_endpoints) {
        if (mayTakeCalls(endpoint, quiet.count() > 0, now)) {
            places += m_limits.parallelCalls;
            idle += idlePlaces(endpoint);
        }
    }
    capacity found;
    if (places == 0) {
        found.piecesAtOnce = std::numeric_limits<double>::infinity(); // nothing is known of the time
        return found;
    }
    if (quiet.count() > 0) {
        found.untilFree = quiet;
        return found;
    }
    found.piecesAtOnce = static_cast<double>(idle * m_limits.batchSize);
    for (const auto &[number, call] : m_calls) {
        found.untilFree += timeLeft(call, now);
    }
    found.untilFree /= static_cast<duration::rep>(places);
    return found;
}

/// When a piece with \p pieces before it would be taken.
instant batch_queue::startBehind(double pieces, const capacity &present, double rate, instant now)
{
    if (pieces < present.piecesAtOnce) {
        return now;
    }
    return now + present.untilFree + duration(std::llround((pieces - present.piecesAtOnce) / rate));
}

/// Part of the endpoints' time that new requests are expected to leave.
double batch_queue::leftover(double rate, instant now) const
{
    std::size_t arrived = 0;
    for (const auto &[at, pieces] : m_arrivals) {
        arrived += now - at <= m_options.arrivalWindow ? pieces : 0;
    }
    const double load = static_cast<double>(arrived) / static_cast<double>(m_options.arrivalWindow.count()) / rate;
    return std::max(m_options.leastLeftover, 1 - load);
}

/// Finds out which requests can meet their objective behind those before them; the others have what is left of the
/// endpoints' time. Returns those that cannot even make their deadline. Answers an overload: what is admitted is
/// made in time, and the rest learns at once that it is not.
std::vector<batch_queue::wish_map::iterator> batch_queue::plan(instant now)
{
    std::vector<wish_map::iterator> hopeless;
    const std::vector<wish_map::iterator> waiting = waitingByUrgency();
    const double rate = piecesPerMicrosecond(now);
    const capacity present = presentCapacity(now);
    double before = 0;
    for (const auto found : waiting) {
        wish_entry &entry = found->second;
        const duration rest = likelyCall(entry.waiting.size()) + entry.wish.laterWork;
        const instant begin = rate > 0 ? startBehind(before, present, rate, now) : now;
        entry.isLate = begin + rest > std::min(entry.wish.objective, entry.wish.deadline);
        before += entry.isLate ? 0 : static_cast<double>(entry.waiting.size());
    }
    planNear(waiting, now);
    const double leftRate = rate > 0 ? rate * leftover(rate, now) : 0;
    for (const auto found : waiting) {
        wish_entry &entry = found->second;
        if (!entry.isLate) {
            continue;
        }
        const duration rest = plainCall(1) + entry.wish.laterWork;
        const instant begin = leftRate > 0 ? startBehind(before, present, leftRate, now) : now;
        if (begin + rest > entry.wish.deadline) {
            hopeless.push_back(found);
        } else {
            before += static_cast<double>(entry.waiting.size());
        }
    }
    return hopeless;
}

/// Requests that can still meet their objective go first, the most urgent class before the others, and within a
/// class those whose results are wanted where the endpoint stands.
std::vector<batch_queue::wish_map::iterator> batch_queue::orderedWishes(const endpoint_entry &endpoint)
{
    using rank = std::tuple<bool, int, bool, std::uint64_t>;
    std::vector<std::pair<rank, wish_map::iterator>> ranked;
    for (auto it = m_wishes.begin(); it != m_wishes.end(); ++it) {
        const wish_entry &entry = it->second;
        if (!entry.waiting.empty() && isWantedAt(entry, endpoint)) {
            ranked.emplace_back(rank(entry.isLate, entry.wish.priority, isFar(entry.wish, endpoint), it->first), it);
        }
    }
    std::ranges::sort(ranked, [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<wish_map::iterator> ordered;
    ordered.reserve(ranked.size());
    for (const auto &item : ranked) {
        ordered.push_back(item.second);
    }
    return ordered;
}

} // namespace masticlever::stages
