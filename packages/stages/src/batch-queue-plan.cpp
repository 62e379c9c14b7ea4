#include <masticlever/stages/batch-queue.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

/// \file
/// Planning for the queue: which requests can meet their objective, which wait for an endpoint in their data centre,
/// and in which order an endpoint takes them.

namespace masticlever::stages
{

using common::duration;
using common::instant;

bool batch_queue::prefersLocal(const piece_request &request) const
{
    return !request.dataCentre.empty() && request.transferBytes > m_options.localityThresholdBytes;
}

/// Whether computing the request at the endpoint would transfer inputs or results above the locality threshold.
bool batch_queue::isRemote(const piece_request &request, const endpoint_entry &endpoint) const
{
    return prefersLocal(request) && request.dataCentre != endpoint.record.dataCentre;
}

/// Times at which the call slots in each data centre become free, earliest first; without endpoints that have a rate
/// limit, whose slots take no call at most of these times.
std::map<std::string_view, std::vector<instant>> batch_queue::slotFreeTimes(instant now) const
{
    std::map<std::string_view, std::vector<instant>> times;
    const double limit = slownessLimit(now);
    for (const auto &[id, endpoint] : m_endpoints) {
        if (endpoint.isListed && !endpoint.callsPerSecond && currentSlowness(endpoint, now) <= limit) {
            auto &free = times[endpoint.record.dataCentre];
            free.insert(free.end(), freeCallSlots(endpoint),
                        std::max({now, endpoint.backoffUntil, endpoint.pausedUntil}));
        }
    }
    for (const auto &[number, call] : m_calls) {
        const auto endpoint = m_endpoints.find(call.endpointId);
        const bool isCounted = endpoint != m_endpoints.end() && !endpoint->second.callsPerSecond;
        const auto dataCentreTimes = isCounted ? times.find(endpoint->second.record.dataCentre) : times.end();
        if (dataCentreTimes != times.end()) {
            dataCentreTimes->second.push_back(now + remainingTime(call, now));
        }
    }
    for (auto &[dataCentre, free] : times) {
        std::ranges::sort(free);
    }
    return times;
}

/// Determines which requests can wait for an endpoint in their data centre, behind the requests ahead of them there.
/// Without this, idle endpoints would take any waiting request under load, and most inputs and results would cross data
/// centres.
void batch_queue::planLocalWaits(const std::vector<request_map::iterator> &waiting, instant now)
{
    const auto free = slotFreeTimes(now);
    // Calls are half full on average, because they also carry pieces of other requests.
    const std::size_t piecesPerCall = std::max<std::size_t>(1, m_limits.batchSize / 2);
    std::map<std::string_view, std::size_t> aheadByDataCentre;
    for (const auto found : waiting) {
        request_entry &entry = found->second;
        entry.canWaitForLocal = false;
        const auto near = prefersLocal(entry.request) ? free.find(entry.request.dataCentre) : free.end();
        if (near == free.end() || near->second.empty()) {
            continue;
        }
        std::size_t &ahead = aheadByDataCentre[near->first];
        const std::size_t callsAhead = ahead / piecesPerCall;
        const std::size_t slots = near->second.size();
        const instant start = near->second[callsAhead % slots]
            + baseCallTime(m_limits.batchSize) * static_cast<duration::rep>(callsAhead / slots);
        entry.canWaitForLocal
            = start + baseCallTime(m_limits.batchSize) + entry.request.downstreamTime <= entry.request.objective;
        ahead += entry.canWaitForLocal ? entry.waiting.size() : 0;
    }
}

bool batch_queue::isEligible(const request_entry &entry, const endpoint_entry &endpoint)
{
    return !entry.canWaitForLocal || entry.request.dataCentre == endpoint.record.dataCentre;
}

/// Requests with waiting pieces by priority, then in order of arrival.
std::vector<batch_queue::request_map::iterator> batch_queue::waitingByPriority()
{
    std::vector<request_map::iterator> waiting;
    for (auto it = m_requests.begin(); it != m_requests.end(); ++it) {
        if (!it->second.waiting.empty()) {
            waiting.push_back(it);
        }
    }
    std::ranges::stable_sort(waiting, [](const auto &left, const auto &right) {
        return left->second.request.priority < right->second.request.priority;
    });
    return waiting;
}

/// Capacity of the endpoints, computed once per plan so that a plan of n requests takes O(n) steps. Endpoints with a
/// rate limit count with the call that they take now, and with the time until one only if there are no others.
batch_queue::capacity batch_queue::currentCapacity(instant now) const
{
    std::size_t callSlots = 0;
    std::size_t idleSlots = 0;
    std::optional<duration> untilLimitedCall;
    const duration pause = timeUntilAvailable(now);
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!countsAsCapacity(endpoint, pause.count() > 0, now)) {
            continue;
        }
        if (endpoint.callsPerSecond) {
            const duration untilNextCall = timeUntilNextCall(endpoint, now);
            untilLimitedCall = std::min(untilLimitedCall.value_or(untilNextCall), untilNextCall);
            idleSlots += untilNextCall.count() == 0 && freeCallSlots(endpoint) > 0 ? 1 : 0;
        } else {
            callSlots += m_limits.parallelCalls;
            idleSlots += freeCallSlots(endpoint);
        }
    }
    capacity found;
    if (callSlots == 0 && !untilLimitedCall) {
        found.immediatePieces = std::numeric_limits<double>::infinity(); // no endpoints, so no estimate
        return found;
    }
    if (pause.count() > 0) {
        found.timeUntilFree = pause;
        return found;
    }
    found.immediatePieces = static_cast<double>(idleSlots * m_limits.batchSize);
    if (callSlots == 0) {
        found.timeUntilFree = *untilLimitedCall;
        return found;
    }
    for (const auto &[number, call] : m_calls) {
        const auto endpoint = m_endpoints.find(call.endpointId);
        const bool isLimited = endpoint != m_endpoints.end() && endpoint->second.callsPerSecond;
        found.timeUntilFree += isLimited ? duration{} : remainingTime(call, now);
    }
    found.timeUntilFree /= static_cast<duration::rep>(callSlots);
    return found;
}

/// Expected time at which a piece behind \p piecesAhead others is put into a call.
instant batch_queue::expectedStart(double piecesAhead, const capacity &current, double rate, instant now)
{
    if (piecesAhead < current.immediatePieces) {
        return now;
    }
    return now + current.timeUntilFree + duration(std::llround((piecesAhead - current.immediatePieces) / rate));
}

/// Share of the endpoints' time that newly arriving requests are expected to leave unused.
double batch_queue::spareShare(double rate, instant now) const
{
    std::size_t arrived = 0;
    for (const auto &[at, pieces] : m_arrivals) {
        arrived += now - at <= m_options.arrivalWindow ? pieces : 0;
    }
    const double load = static_cast<double>(arrived) / static_cast<double>(m_options.arrivalWindow.count()) / rate;
    return std::max(m_options.minSpareShare, 1 - load);
}

/// Determines which requests can meet their objective behind those ahead of them; the others share the spare capacity.
/// Returns the requests that cannot meet their deadline either. Under overload, admitted requests are computed in time
/// and the others are rejected at once.
std::vector<batch_queue::request_map::iterator> batch_queue::plan(instant now)
{
    std::vector<request_map::iterator> infeasible;
    const std::vector<request_map::iterator> waiting = waitingByPriority();
    const double rate = piecesPerMicrosecond(now);
    const capacity current = currentCapacity(now);
    double piecesAhead = 0;
    for (const auto found : waiting) {
        request_entry &entry = found->second;
        const duration timeToFinish = likelyCallTime(entry.waiting.size()) + entry.request.downstreamTime;
        const instant start = rate > 0 ? expectedStart(piecesAhead, current, rate, now) : now;
        entry.missesObjective = start + timeToFinish > std::min(entry.request.objective, entry.request.deadline);
        piecesAhead += entry.missesObjective ? 0 : static_cast<double>(entry.waiting.size());
    }
    planLocalWaits(waiting, now);
    const double spareRate = rate > 0 ? rate * spareShare(rate, now) : 0;
    for (const auto found : waiting) {
        request_entry &entry = found->second;
        if (!entry.missesObjective) {
            continue;
        }
        const duration timeToFinish = baseCallTime(1) + entry.request.downstreamTime;
        const instant start = spareRate > 0 ? expectedStart(piecesAhead, current, spareRate, now) : now;
        if (start + timeToFinish > entry.request.deadline) {
            infeasible.push_back(found);
        } else {
            piecesAhead += static_cast<double>(entry.waiting.size());
        }
    }
    return infeasible;
}

/// Eligible requests for the endpoint: those that can still meet their objective first, then by priority, then those
/// without a transfer between data centres, then in order of arrival.
std::vector<batch_queue::request_map::iterator> batch_queue::rankedRequests(const endpoint_entry &endpoint)
{
    using rank = std::tuple<bool, int, bool, std::uint64_t>;
    std::vector<std::pair<rank, request_map::iterator>> ranked;
    for (auto it = m_requests.begin(); it != m_requests.end(); ++it) {
        const request_entry &entry = it->second;
        if (!entry.waiting.empty() && isEligible(entry, endpoint)) {
            ranked.emplace_back(
                rank(entry.missesObjective, entry.request.priority, isRemote(entry.request, endpoint), it->first), it);
        }
    }
    std::ranges::sort(ranked, [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<request_map::iterator> ordered;
    ordered.reserve(ranked.size());
    for (const auto &item : ranked) {
        ordered.push_back(item.second);
    }
    return ordered;
}

} // namespace masticlever::stages
