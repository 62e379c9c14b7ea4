#include <masticlever/common/digest.h>
#include <masticlever/stages/batch-queue.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace masticlever::stages
{

using common::duration;
using common::instant;

batch_queue::batch_queue(batch_queue_options options, catalog::batch_limits limits)
    : m_options(options), m_limits(limits)
{ }

void batch_queue::setEndpoints(std::span<const catalog::endpoint_record *const> endpoints)
{
    for (auto &[id, endpoint] : m_endpoints) {
        endpoint.isListed = false;
    }
    for (const catalog::endpoint_record *record : endpoints) {
        endpoint_entry &endpoint = m_endpoints[record->id];
        if (endpoint.record.startedAtMs != record->startedAtMs) {
            endpoint.heldResults.clear();
            endpoint.namedHandles.clear();
            endpoint.namedHandleSet.clear();
            endpoint.slowness = 1;
            endpoint.pace = 1;
        }
        endpoint.record = *record;
        endpoint.isListed = true;
    }
    std::erase_if(m_endpoints, [](const auto &item) { return !item.second.isListed && item.second.calls == 0; });
}

void batch_queue::onPauseRequested(const std::string &endpointId, instant until)
{
    const auto endpoint = m_endpoints.find(endpointId);
    if (endpoint != m_endpoints.end()) {
        endpoint->second.pausedUntil = until;
    }
}

void batch_queue::setPace(const std::string &endpointId, double pace)
{
    const auto endpoint = m_endpoints.find(endpointId);
    if (endpoint != m_endpoints.end()) {
        endpoint->second.pace = pace;
    }
}

void batch_queue::setRateLimits(std::span<const call_rate_limit> limits)
{
    for (auto &[id, endpoint] : m_endpoints) {
        const auto found = std::ranges::find(limits, id, &call_rate_limit::endpointId);
        endpoint.callsPerSecond = found == limits.end() ? std::nullopt : std::optional(found->callsPerSecond);
        endpoint.nextCallAt = found == limits.end() ? instant{} : found->nextCallAt;
    }
    m_hasRateLimits = !limits.empty();
}

duration batch_queue::timeUntilNextCall(const endpoint_entry &endpoint, instant now)
{
    return std::max(duration{}, endpoint.nextCallAt - now);
}

/// Zero unless all endpoints are paused; then the time until the first pause ends.
duration batch_queue::timeUntilAvailable(instant now) const
{
    std::optional<instant> first;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (endpoint.isListed) {
            first = std::min(first.value_or(endpoint.pausedUntil), endpoint.pausedUntil);
        }
    }
    return first ? std::max(duration{}, *first - now) : duration{};
}

/// Whether the endpoint counts towards the service's throughput. If all endpoints are paused, the plan starts when the
/// first pause ends, and all of them count.
bool batch_queue::countsAsCapacity(const endpoint_entry &endpoint, bool areAllPaused, instant now) const
{
    return endpoint.isListed && (areAllPaused || now >= endpoint.pausedUntil);
}

duration batch_queue::baseCallTime(std::size_t pieces) const
{
    return m_limits.callOverhead + m_limits.pieceTime * static_cast<duration::rep>(pieces);
}

/// Time of the call that takes \p pieces. Other waiting pieces fill the batch and lengthen it.
duration batch_queue::likelyCallTime(std::size_t pieces) const
{
    return baseCallTime(std::min(m_limits.batchSize, std::max(pieces, m_waitingPieces)));
}

/// Slowness decays towards 1 while an endpoint is not used, so that a slow one is tried again.
double batch_queue::currentSlowness(const endpoint_entry &endpoint, instant now) const
{
    const double halfLives = std::max(0.0, static_cast<double>((now - endpoint.lastUsedAt).count()))
        / static_cast<double>(m_options.slownessHalfLife.count());
    const double measured
        = endpoint.calls > 0 ? endpoint.slowness : 1 + (endpoint.slowness - 1) * std::exp2(-halfLives);
    return measured * endpoint.pace;
}

duration batch_queue::expectedCallTime(const endpoint_entry &endpoint, std::size_t pieces, instant now) const
{
    return common::scaled(baseCallTime(pieces), currentSlowness(endpoint, now));
}

void batch_queue::onPieceRequest(piece_request request, instant now)
{
    request_entry entry;
    entry.waiting = request.pieces;
    entry.request = std::move(request);
    m_waitingPieces += entry.waiting.size();
    m_arrivals.emplace_back(now, entry.waiting.size());
    while (now - m_arrivals.front().first > m_options.arrivalWindow) {
        m_arrivals.pop_front();
    }
    entry.request.inputs = findSharedInputs(entry.request);
    m_requests.emplace(++m_lastRequest, std::move(entry));
}

/// Pieces that failed are ordered again in messages of their own, each with the whole list.
protocol::handle_list batch_queue::findSharedInputs(const piece_request &request) const
{
    const auto found = std::ranges::find_if(m_requests, [&](const auto &item) {
        const piece_request &other = item.second.request;
        return other.job == request.job && other.owner == request.owner && other.stage == request.stage
            && other.inputs == request.inputs;
    });
    return found == m_requests.end() ? request.inputs : found->second.request.inputs;
}

void batch_queue::removeRequest(request_map::iterator found)
{
    m_waitingPieces -= found->second.waiting.size();
    m_requests.erase(found);
}

void batch_queue::removeRequests(const std::function<bool(const piece_request &)> &matches)
{
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        const auto current = it++;
        if (matches(current->second.request)) {
            removeRequest(current);
        }
    }
}

void batch_queue::onCancel(std::uint64_t owner, std::uint64_t job)
{
    removeRequests([&](const piece_request &request) { return request.owner == owner && request.job == job; });
}

void batch_queue::onOwnerGone(std::uint64_t owner)
{
    removeRequests([&](const piece_request &request) { return request.owner == owner; });
}

bool batch_queue::onReleased(std::span<const std::string> handles)
{
    std::size_t released = 0;
    for (auto &[id, endpoint] : m_endpoints) {
        for (const std::string &handle : handles) {
            released += endpoint.heldResults.erase(handle);
        }
    }
    return released > 0;
}

void batch_queue::expireResults(endpoint_entry &endpoint, instant now)
{
    std::erase_if(endpoint.heldResults, [&](const auto &item) { return item.second.until <= now; });
}

double batch_queue::freeBytes(const endpoint_entry &endpoint) const
{
    double used = endpoint.reserved;
    for (const auto &[handle, result] : endpoint.heldResults) {
        used += result.bytes;
    }
    return m_limits.resultCapacityBytes - used;
}

/// Endpoints slower than this get no calls. Relative to the fastest endpoint that is not backing off.
double batch_queue::slownessLimit(instant now) const
{
    double least = 0;
    for (const auto &[id, endpoint] : m_endpoints) {
        const double slowness = currentSlowness(endpoint, now);
        if (endpoint.isListed && now >= endpoint.backoffUntil && (least == 0 || slowness < least)) {
            least = slowness;
        }
    }
    return least * m_options.slowFactor;
}

std::size_t batch_queue::freeCallSlots(const endpoint_entry &endpoint) const
{
    return m_limits.parallelCalls - std::min(endpoint.calls, m_limits.parallelCalls);
}

/// Expected time until the call is answered.
duration batch_queue::remainingTime(const call_entry &call, instant now)
{
    return std::max(duration{}, call.sentAt + call.expected - now);
}

/// Endpoints that can take a call now, fastest first, without those above the slowness limit.
std::vector<batch_queue::endpoint_entry *> batch_queue::idleEndpoints(instant now)
{
    std::vector<endpoint_entry *> idle;
    const double limit = slownessLimit(now);
    for (auto &[id, endpoint] : m_endpoints) {
        const bool canTakeCall = freeCallSlots(endpoint) > 0
            && now >= std::max({endpoint.backoffUntil, endpoint.pausedUntil, endpoint.nextCallAt});
        if (endpoint.isListed && canTakeCall && currentSlowness(endpoint, now) <= limit) {
            idle.push_back(&endpoint);
        }
    }
    std::ranges::stable_sort(idle, [&](const endpoint_entry *left, const endpoint_entry *right) {
        return currentSlowness(*left, now) < currentSlowness(*right, now);
    });
    return idle;
}

std::size_t batch_queue::request_entry::inputBytes() const
{
    constexpr std::size_t separatorBytes = 3; // quotes and a comma
    return request.inputs.bytes() + request.inputs.size() * separatorBytes;
}

std::size_t batch_queue::placesFor(const request_entry &candidate, const batch_call &call, std::size_t inputBytes) const
{
    const std::size_t places = m_limits.batchSize - call.orders.size();
    const std::size_t each = candidate.inputBytes();
    if (each == 0) {
        return places;
    }
    const std::size_t limit = std::min(m_options.callInputBytes, std::max(inputBytes, m_options.smallCallInputBytes));
    const std::size_t fitting = (std::max(limit, call.inputBytes) - call.inputBytes) / each;
    const bool isAlone = call.orders.empty() && inputBytes > 0; // a piece with longer inputs is sent by itself
    return std::min(places, std::max<std::size_t>(fitting, isAlone ? 1 : 0));
}

std::optional<batch_call> batch_queue::fillCall(endpoint_entry &endpoint, std::size_t inputBytes, instant now)
{
    expireResults(endpoint, now);
    batch_call call;
    call_entry entry;
    double freeSpace = freeBytes(endpoint);
    for (const auto found : rankedRequests(endpoint)) {
        request_entry &candidate = found->second;
        const std::size_t places = placesFor(candidate, call, inputBytes);
        std::size_t count = places;
        if (candidate.request.resultBytes > 0) {
            count = std::min(count, static_cast<std::size_t>(std::max(0.0, freeSpace / candidate.request.resultBytes)));
        }
        // A request needs all of its pieces and its finished results occupy space until the last one is available, so
        // its pieces are kept in one call where possible.
        const bool isSplit = count < candidate.waiting.size();
        if (isSplit && (!call.orders.empty() || count < std::min(candidate.waiting.size(), places) / 2)) {
            continue;
        }
        count = std::min(count, candidate.waiting.size());
        call.inputBytes += candidate.inputBytes() * count;
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t piece = candidate.waiting[i];
            entry.pieces.push_back({candidate.request.owner, candidate.request.job, piece, candidate.request.stage});
            entry.requests.push_back(found->first);
            call.orders.push_back({candidate.request.requestId, candidate.request.stage, piece,
                                   candidate.request.deadline - now, candidate.request.key, candidate.request.inputs});
        }
        call.remotePieces += isRemote(candidate.request, endpoint) ? count : 0;
        candidate.waiting.erase(candidate.waiting.begin(),
                                candidate.waiting.begin() + static_cast<std::ptrdiff_t>(count));
        candidate.inFlight += count;
        freeSpace -= candidate.request.resultBytes * static_cast<double>(count);
        entry.reserved += candidate.request.resultBytes * static_cast<double>(count);
        if (call.orders.size() >= m_limits.batchSize) {
            break;
        }
    }
    if (call.orders.empty()) {
        return std::nullopt;
    }
    m_waitingPieces -= call.orders.size();
    call.number = ++m_lastCall;
    call.endpointId = endpoint.record.id;
    call.address = endpoint.record.address;
    entry.endpointId = endpoint.record.id;
    entry.sentAt = now;
    entry.pace = endpoint.pace;
    entry.expected = baseCallTime(call.orders.size());
    call.callTimeoutAt = now
        + common::scaled(expectedCallTime(endpoint, call.orders.size(), now), m_options.callTimeoutFactor)
        + m_options.callTimeoutMargin;
    ++endpoint.calls;
    endpoint.reserved += entry.reserved;
    m_calls.emplace(call.number, std::move(entry));
    return call;
}

std::vector<batch_call> batch_queue::takeCalls(instant now, std::size_t inputBytes)
{
    std::vector<batch_call> calls;
    const std::vector<endpoint_entry *> idle = idleEndpoints(now);
    if (m_waitingPieces == 0 || idle.empty()) {
        return calls;
    }
    plan(now);
    for (endpoint_entry *endpoint : idle) {
        while (m_waitingPieces > 0 && freeCallSlots(*endpoint) > 0) {
            auto call = fillCall(*endpoint, inputBytes, now);
            if (!call) {
                break; // no space for results, or no eligible request
            }
            inputBytes -= std::min(inputBytes, call->inputBytes);
            calls.push_back(std::move(*call));
            if (endpoint->callsPerSecond) {
                break; // until setRateLimits() sets the time of the next call
            }
        }
    }
    return calls;
}

std::optional<batch_queue::call_entry> batch_queue::endCall(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return std::nullopt;
    }
    call_entry ended = std::move(found->second);
    m_calls.erase(found);
    const auto endpoint = m_endpoints.find(ended.endpointId);
    if (endpoint != m_endpoints.end()) {
        --endpoint->second.calls;
        endpoint->second.reserved -= ended.reserved;
        if (!endpoint->second.isListed && endpoint->second.calls == 0) {
            m_endpoints.erase(endpoint);
        }
    }
    return ended;
}

void batch_queue::requeue(const call_entry &call)
{
    for (std::size_t i = 0; i < call.pieces.size(); ++i) {
        const auto request = m_requests.find(call.requests[i]);
        if (request != m_requests.end()) {
            request->second.waiting.push_back(call.pieces[i].piece);
            --request->second.inFlight;
            ++m_waitingPieces;
        }
    }
}

void batch_queue::backOff(const std::string &endpointId, instant until)
{
    const auto endpoint = m_endpoints.find(endpointId);
    if (endpoint != m_endpoints.end()) {
        endpoint->second.backoffUntil = std::max(endpoint->second.backoffUntil, until);
    }
}

void batch_queue::rememberHandle(endpoint_entry &endpoint, std::string_view handle)
{
    constexpr std::size_t maximumHandles = 2048; // per endpoint; an answer is repeated within few calls
    const std::uint64_t hash = common::stableHash(handle);
    if (!endpoint.namedHandleSet.insert(hash).second) {
        return;
    }
    endpoint.namedHandles.push_back(hash);
    if (endpoint.namedHandles.size() > maximumHandles) {
        endpoint.namedHandleSet.erase(endpoint.namedHandles.front());
        endpoint.namedHandles.pop_front();
    }
}

bool batch_queue::isAnswerTo(std::uint64_t call, std::span<const protocol::piece_result> results) const
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end() || results.size() != found->second.pieces.size()) {
        return false;
    }
    const auto endpoint = m_endpoints.find(found->second.endpointId);
    std::unordered_set<std::uint64_t> named;
    return std::ranges::all_of(results, [&](const protocol::piece_result &result) {
        if (result.handle.empty()) {
            return true;
        }
        const std::uint64_t hash = common::stableHash(result.handle);
        return named.insert(hash).second
            && (endpoint == m_endpoints.end() || !endpoint->second.namedHandleSet.contains(hash));
    });
}

std::vector<finished_piece> batch_queue::onAnswer(std::uint64_t call, std::span<const protocol::piece_result> results,
                                                  instant now)
{
    const auto ended = endCall(call);
    if (!ended) {
        return {};
    }
    const auto endpoint = m_endpoints.find(ended->endpointId);
    if (endpoint != m_endpoints.end()) {
        const double ratio = static_cast<double>((now - ended->sentAt).count())
            / static_cast<double>(std::max<duration::rep>(1, ended->expected.count()));
        const double pace = (ended->pace + endpoint->second.pace) / 2; // over the time of the call
        endpoint->second.slowness += m_options.learningRate * (ratio / pace - endpoint->second.slowness);
        endpoint->second.lastUsedAt = now;
    }
    std::vector<finished_piece> finished;
    for (std::size_t i = 0; i < ended->pieces.size(); ++i) {
        const auto request = m_requests.find(ended->requests[i]);
        const protocol::piece_result result = i < results.size() ? results[i] : protocol::piece_result{};
        if (endpoint != m_endpoints.end() && !result.handle.empty()) {
            const double bytes = request == m_requests.end() ? 0 : request->second.request.resultBytes;
            rememberHandle(endpoint->second, result.handle);
            endpoint->second.heldResults[result.handle] = {bytes, now + m_limits.resultLifetime};
        }
        const bool mustRequeue = result.handle.empty() && result.failure == protocol::piece_failure::capacity_exhausted;
        if (mustRequeue) {
            backOff(ended->endpointId, now + m_options.backoffAfterRejection);
        }
        if (request == m_requests.end()) {
            finished.push_back({ended->pieces[i], result}); // cancelled; the owner must still release the result
            continue;
        }
        --request->second.inFlight;
        if (mustRequeue) {
            request->second.waiting.push_back(ended->pieces[i].piece);
            ++m_waitingPieces;
            continue;
        }
        finished.push_back({ended->pieces[i], result});
        if (request->second.waiting.empty() && request->second.inFlight == 0) {
            m_requests.erase(request);
        }
    }
    return finished;
}

void batch_queue::onRejected(std::uint64_t call, instant now)
{
    if (const auto ended = endCall(call)) {
        requeue(*ended);
        backOff(ended->endpointId, now + m_options.backoffAfterRejection);
    }
}

void batch_queue::onLost(std::uint64_t call, instant now)
{
    if (const auto ended = endCall(call)) {
        requeue(*ended);
        backOff(ended->endpointId, now + m_options.backoffAfterFailure);
    }
}

std::vector<finished_piece> batch_queue::failRequests(std::span<const request_map::iterator> requests,
                                                      protocol::piece_failure reason)
{
    std::vector<finished_piece> failed;
    for (const auto found : requests) {
        const request_entry &entry = found->second;
        for (const std::size_t piece : entry.waiting) {
            failed.push_back({{entry.request.owner, entry.request.job, piece, entry.request.stage}, {{}, reason}});
        }
        removeRequest(found);
    }
    return failed;
}

std::vector<finished_piece> batch_queue::takeInfeasible(instant now)
{
    return failRequests(plan(now), protocol::piece_failure::late);
}

std::vector<finished_piece> batch_queue::failWaitingPieces()
{
    return failRequests(waitingByPriority(), protocol::piece_failure::failed);
}

double batch_queue::piecesPerMicrosecond(instant now) const
{
    double rate = 0;
    const double limit = slownessLimit(now);
    const bool areAllPaused = timeUntilAvailable(now).count() > 0;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (countsAsCapacity(endpoint, areAllPaused, now) && currentSlowness(endpoint, now) <= limit) {
            const double batch = static_cast<double>(m_limits.batchSize * m_limits.parallelCalls);
            const double possible
                = batch / static_cast<double>(expectedCallTime(endpoint, m_limits.batchSize, now).count());
            constexpr double microsecondsPerSecond = 1e6;
            const double allowed = endpoint.callsPerSecond.value_or(std::numeric_limits<double>::infinity())
                * static_cast<double>(m_limits.batchSize) / microsecondsPerSecond;
            rate += std::min(possible, allowed);
        }
    }
    return rate;
}

duration batch_queue::expectedDelay(int priority, instant now) const
{
    const double rate = piecesPerMicrosecond(now);
    if (rate <= 0) {
        return m_limits.callOverhead * 4;
    }
    std::size_t ahead = 0;
    for (const auto &[number, entry] : m_requests) {
        ahead += entry.request.priority <= priority ? entry.waiting.size() : 0;
    }
    const duration pause = timeUntilAvailable(now);
    duration timeUntilFree = duration::max();
    for (const auto &[id, endpoint] : m_endpoints) {
        if (countsAsCapacity(endpoint, pause.count() > 0, now) && freeCallSlots(endpoint) > 0) {
            timeUntilFree = std::min(timeUntilFree, timeUntilNextCall(endpoint, now));
        }
    }
    for (const auto &[number, call] : m_calls) {
        timeUntilFree = std::min(timeUntilFree, remainingTime(call, now));
    }
    const double queueing = static_cast<double>(ahead) / rate;
    return pause + std::max(timeUntilFree, duration(std::llround(queueing))) + likelyCallTime(m_limits.batchSize / 2);
}

} // namespace masticlever::stages
