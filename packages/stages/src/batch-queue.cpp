#include <masticlever/stages/batch-queue.h>

#include <algorithm>
#include <cmath>
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
    for (auto &[id, known] : m_endpoints) {
        known.isListed = false;
    }
    for (const catalog::endpoint_record *record : endpoints) {
        endpoint_entry &known = m_endpoints[record->id];
        if (known.record.bornMs != record->bornMs) {
            known.held.clear();
            known.slowness = 1;
        }
        known.record = *record;
        known.isListed = true;
    }
    std::erase_if(m_endpoints, [](const auto &item) { return !item.second.isListed && item.second.calls == 0; });
}

void batch_queue::onAskedQuiet(const std::string &endpointId, instant until)
{
    const auto endpoint = m_endpoints.find(endpointId);
    if (endpoint != m_endpoints.end()) {
        endpoint->second.quietUntil = until;
    }
}

/// Zero unless all endpoints have asked for quiet: then until the first of them takes calls again.
duration batch_queue::untilAnyTakesCalls(instant now) const
{
    std::optional<instant> first;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (endpoint.isListed) {
            first = std::min(first.value_or(endpoint.quietUntil), endpoint.quietUntil);
        }
    }
    return first ? std::max(duration{}, *first - now) : duration{};
}

/// Whether the endpoint counts for what the service can make. When all are quiet the plan begins at the end of the
/// first quiet time, and all count.
bool batch_queue::mayTakeCalls(const endpoint_entry &endpoint, bool areAllQuiet, instant now) const
{
    return endpoint.isListed && (areAllQuiet || now >= endpoint.quietUntil);
}

duration batch_queue::plainCall(std::size_t pieces) const
{
    return m_limits.callTime + m_limits.pieceTime * static_cast<duration::rep>(pieces);
}

/// Time of the call that takes \p pieces: whatever else waits goes with them.
duration batch_queue::likelyCall(std::size_t pieces) const
{
    return plainCall(std::min(m_limits.batchSize, std::max(pieces, m_waitingPieces)));
}

/// What was learnt of an endpoint that is not used fades, so that a slow one is tried again.
double batch_queue::slownessOf(const endpoint_entry &endpoint, instant now) const
{
    const double halvings = std::max(0.0, static_cast<double>((now - endpoint.usedAt).count()))
        / static_cast<double>(m_options.forgetSlowness.count());
    return endpoint.calls > 0 ? endpoint.slowness : 1 + (endpoint.slowness - 1) * std::exp2(-halvings);
}

duration batch_queue::expectedCall(const endpoint_entry &endpoint, std::size_t pieces, instant now) const
{
    return common::scaled(plainCall(pieces), slownessOf(endpoint, now));
}

void batch_queue::onWish(piece_wish wish, instant now)
{
    wish_entry entry;
    entry.waiting = wish.pieces;
    entry.wish = std::move(wish);
    m_waitingPieces += entry.waiting.size();
    m_arrivals.emplace_back(now, entry.waiting.size());
    while (now - m_arrivals.front().first > m_options.arrivalWindow) {
        m_arrivals.pop_front();
    }
    m_wishes.emplace(++m_lastWish, std::move(entry));
}

void batch_queue::dropWish(wish_map::iterator found)
{
    m_waitingPieces -= found->second.waiting.size();
    m_wishes.erase(found);
}

void batch_queue::dropWishes(const std::function<bool(const piece_wish &)> &isMeant)
{
    for (auto it = m_wishes.begin(); it != m_wishes.end();) {
        const auto current = it++;
        if (isMeant(current->second.wish)) {
            dropWish(current);
        }
    }
}

void batch_queue::onCancel(std::uint64_t owner, std::uint64_t job)
{
    dropWishes([&](const piece_wish &wish) { return wish.owner == owner && wish.job == job; });
}

void batch_queue::onOwnerGone(std::uint64_t owner)
{
    dropWishes([&](const piece_wish &wish) { return wish.owner == owner; });
}

bool batch_queue::onReleased(std::span<const std::string> handles)
{
    std::size_t released = 0;
    for (auto &[id, endpoint] : m_endpoints) {
        for (const std::string &handle : handles) {
            released += endpoint.held.erase(handle);
        }
    }
    return released > 0;
}

void batch_queue::expireResults(endpoint_entry &endpoint, instant now)
{
    std::erase_if(endpoint.held, [&](const auto &item) { return item.second.until <= now; });
}

double batch_queue::freeBytes(const endpoint_entry &endpoint) const
{
    double used = endpoint.reserved;
    for (const auto &[handle, result] : endpoint.held) {
        used += result.bytes;
    }
    return m_limits.resultBytes - used;
}

/// Endpoints that are slower get work only when all are.
double batch_queue::slownessLimit(instant now) const
{
    double least = 0;
    for (const auto &[id, endpoint] : m_endpoints) {
        const double slowness = slownessOf(endpoint, now);
        if (endpoint.isListed && now >= endpoint.restsUntil && (least == 0 || slowness < least)) {
            least = slowness;
        }
    }
    return least * m_options.slowFactor;
}

std::size_t batch_queue::idlePlaces(const endpoint_entry &endpoint) const
{
    return m_limits.parallelCalls - std::min(endpoint.calls, m_limits.parallelCalls);
}

/// Expected time until the call is answered.
duration batch_queue::timeLeft(const call_entry &call, instant now)
{
    return std::max(duration{}, call.sentAt + call.expected - now);
}

/// Endpoints that can take a call now, the fastest first. One that is much slower than the fastest is left out.
std::vector<batch_queue::endpoint_entry *> batch_queue::idleEndpoints(instant now)
{
    std::vector<endpoint_entry *> idle;
    const double limit = slownessLimit(now);
    for (auto &[id, endpoint] : m_endpoints) {
        const bool isFree = idlePlaces(endpoint) > 0 && now >= endpoint.restsUntil && now >= endpoint.quietUntil;
        if (endpoint.isListed && isFree && slownessOf(endpoint, now) <= limit) {
            idle.push_back(&endpoint);
        }
    }
    std::ranges::stable_sort(idle, [&](const endpoint_entry *left, const endpoint_entry *right) {
        return slownessOf(*left, now) < slownessOf(*right, now);
    });
    return idle;
}

std::optional<batch_call> batch_queue::fill(endpoint_entry &endpoint, instant now)
{
    expireResults(endpoint, now);
    batch_call call;
    call_entry entry;
    double room = freeBytes(endpoint);
    for (const auto found : orderedWishes(endpoint)) {
        wish_entry &source = found->second;
        std::size_t places = m_limits.batchSize - call.orders.size();
        if (source.wish.resultBytes > 0) {
            places = std::min(places, static_cast<std::size_t>(std::max(0.0, room / source.wish.resultBytes)));
        }
        // A request waits for the last of its pieces and holds the others' results meanwhile: they stay together.
        const bool isSplit = places < source.waiting.size();
        if (isSplit && (!call.orders.empty() || places < std::min(source.waiting.size(), m_limits.batchSize) / 2)) {
            continue;
        }
        places = std::min(places, source.waiting.size());
        for (std::size_t i = 0; i < places; ++i) {
            const std::size_t piece = source.waiting[i];
            entry.pieces.push_back({source.wish.owner, source.wish.job, piece, source.wish.stage});
            entry.wishes.push_back(found->first);
            call.orders.push_back({source.wish.requestId, source.wish.stage, piece, source.wish.deadline - now,
                                   source.wish.key, source.wish.inputs});
        }
        call.farPieces += isFar(source.wish, endpoint) ? places : 0;
        source.waiting.erase(source.waiting.begin(), source.waiting.begin() + static_cast<std::ptrdiff_t>(places));
        source.underWay += places;
        room -= source.wish.resultBytes * static_cast<double>(places);
        entry.reserved += source.wish.resultBytes * static_cast<double>(places);
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
    entry.expected = plainCall(call.orders.size());
    call.giveUpAt = now + common::scaled(expectedCall(endpoint, call.orders.size(), now), m_options.giveUpFactor)
        + m_options.giveUpSlack;
    ++endpoint.calls;
    endpoint.reserved += entry.reserved;
    m_calls.emplace(call.number, std::move(entry));
    return call;
}

std::vector<batch_call> batch_queue::takeCalls(instant now)
{
    std::vector<batch_call> calls;
    const std::vector<endpoint_entry *> idle = idleEndpoints(now);
    if (m_waitingPieces == 0 || idle.empty()) {
        return calls;
    }
    plan(now);
    for (endpoint_entry *endpoint : idle) {
        while (m_waitingPieces > 0 && idlePlaces(*endpoint) > 0) {
            auto call = fill(*endpoint, now);
            if (!call) {
                break; // no room for results, or nothing that is wanted there
            }
            calls.push_back(std::move(*call));
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
        const auto wish = m_wishes.find(call.wishes[i]);
        if (wish != m_wishes.end()) {
            wish->second.waiting.push_back(call.pieces[i].piece);
            --wish->second.underWay;
            ++m_waitingPieces;
        }
    }
}

void batch_queue::rest(const std::string &endpointId, instant until)
{
    const auto endpoint = m_endpoints.find(endpointId);
    if (endpoint != m_endpoints.end()) {
        endpoint->second.restsUntil = std::max(endpoint->second.restsUntil, until);
    }
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
        endpoint->second.slowness += m_options.learningRate * (ratio - endpoint->second.slowness);
        endpoint->second.usedAt = now;
    }
    std::vector<finished_piece> finished;
    for (std::size_t i = 0; i < ended->pieces.size(); ++i) {
        const auto wish = m_wishes.find(ended->wishes[i]);
        const protocol::piece_result result = i < results.size() ? results[i] : protocol::piece_result{};
        if (endpoint != m_endpoints.end() && !result.handle.empty()) {
            const double bytes = wish == m_wishes.end() ? 0 : wish->second.wish.resultBytes;
            endpoint->second.held[result.handle] = {bytes, now + m_limits.resultLifetime};
        }
        const bool isToRepeat = result.handle.empty() && result.failure == protocol::piece_failure::no_room;
        if (isToRepeat) {
            rest(ended->endpointId, now + m_options.restAfterRejection);
        }
        if (wish == m_wishes.end()) {
            finished.push_back({ended->pieces[i], result}); // cancelled: the owner's result is to be released
            continue;
        }
        --wish->second.underWay;
        if (isToRepeat) {
            wish->second.waiting.push_back(ended->pieces[i].piece);
            ++m_waitingPieces;
            continue;
        }
        finished.push_back({ended->pieces[i], result});
        if (wish->second.waiting.empty() && wish->second.underWay == 0) {
            m_wishes.erase(wish);
        }
    }
    return finished;
}

void batch_queue::onRejected(std::uint64_t call, instant now)
{
    if (const auto ended = endCall(call)) {
        requeue(*ended);
        rest(ended->endpointId, now + m_options.restAfterRejection);
    }
}

void batch_queue::onLost(std::uint64_t call, instant now)
{
    if (const auto ended = endCall(call)) {
        requeue(*ended);
        rest(ended->endpointId, now + m_options.restAfterFailure);
    }
}

std::vector<finished_piece> batch_queue::drop(std::span<const wish_map::iterator> wishes,
                                              protocol::piece_failure reason)
{
    std::vector<finished_piece> dropped;
    for (const auto found : wishes) {
        const wish_entry &entry = found->second;
        for (const std::size_t piece : entry.waiting) {
            dropped.push_back({{entry.wish.owner, entry.wish.job, piece, entry.wish.stage}, {{}, reason}});
        }
        dropWish(found);
    }
    return dropped;
}

std::vector<finished_piece> batch_queue::takeHopeless(instant now)
{
    return drop(plan(now), protocol::piece_failure::late);
}

std::vector<finished_piece> batch_queue::handBack()
{
    return drop(waitingByUrgency(), protocol::piece_failure::failed);
}

double batch_queue::piecesPerMicrosecond(instant now) const
{
    double rate = 0;
    const double limit = slownessLimit(now);
    const bool areAllQuiet = untilAnyTakesCalls(now).count() > 0;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (mayTakeCalls(endpoint, areAllQuiet, now) && slownessOf(endpoint, now) <= limit) {
            const double batch = static_cast<double>(m_limits.batchSize * m_limits.parallelCalls);
            rate += batch / static_cast<double>(expectedCall(endpoint, m_limits.batchSize, now).count());
        }
    }
    return rate;
}

duration batch_queue::expectedDelay(int priority, instant now) const
{
    const double rate = piecesPerMicrosecond(now);
    if (rate <= 0) {
        return m_limits.callTime * 4;
    }
    std::size_t ahead = 0;
    for (const auto &[number, entry] : m_wishes) {
        ahead += entry.wish.priority <= priority ? entry.waiting.size() : 0;
    }
    const duration quiet = untilAnyTakesCalls(now);
    duration untilFree = duration::max();
    for (const auto &[id, endpoint] : m_endpoints) {
        if (mayTakeCalls(endpoint, quiet.count() > 0, now) && idlePlaces(endpoint) > 0) {
            untilFree = {};
        }
    }
    for (const auto &[number, call] : m_calls) {
        untilFree = std::min(untilFree, timeLeft(call, now));
    }
    const double queueing = static_cast<double>(ahead) / rate;
    return quiet + std::max(untilFree, duration(std::llround(queueing))) + likelyCall(m_limits.batchSize / 2);
}

} // namespace masticlever::stages
