#include <masticlever/common/digest.h>
#include <masticlever/orders/order-book.h>

#include <algorithm>
#include <utility>

namespace masticlever::orders
{

namespace
{

/// Rendezvous hashing: each pool prefers one of the live instances, and losing one moves only its pools.
bool isPreferredFor(std::string_view pool, const std::string &self, std::span<const std::string> live)
{
    const auto weight
        = [&](const std::string &incarnation) { return common::stableHash(std::string(pool) + ' ' + incarnation); };
    const auto first = std::ranges::max_element(live, {}, weight);
    return first != live.end() && *first == self;
}

} // namespace

order_book::order_book(order_options options, std::string self, std::uint64_t firstNonce)
    : m_options(options), m_self(std::move(self)), m_nextNonce(firstNonce)
{ }

order_book::pool_state &order_book::poolOf(std::string_view pool)
{
    auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        found = m_pools.emplace(std::string(pool), pool_state{}).first;
        found->second.loads = rate_limit(m_options.loadRate);
        found->second.isPreferred = isPreferredFor(pool, m_self, m_live);
    }
    return found->second;
}

void order_book::setEngines(std::string_view pool, std::span<const engine_target> engines)
{
    pool_state &state = poolOf(pool);
    for (auto &[address, known] : state.engines) {
        known.isRemoved = true;
    }
    for (const engine_target &target : engines) {
        engine &known = state.engines[target.address];
        known.target = target;
        known.isRemoved = false;
    }
}

void order_book::setLive(std::span<const std::string> incarnations)
{
    if (std::ranges::equal(incarnations, m_live)) {
        return;
    }
    m_live.assign(incarnations.begin(), incarnations.end());
    for (auto &[pool, state] : m_pools) {
        state.isPreferred = isPreferredFor(pool, m_self, m_live);
    }
}

void order_book::onRecord(platform::log_offset offset, const lease_record &record, common::instant now)
{
    pool_state &state = poolOf(record.pool);
    const lease former = m_leases.find(record.pool);
    const bool isAccepted = m_leases.onRecord(offset, record, now);
    const auto own = std::ranges::find(state.pending, record.nonce, &pending_append::nonce);
    const bool isMine = record.holder == m_self && own != state.pending.end();
    if (isAccepted && isMine && !record.release) {
        gain(state, former, now);
        state.heldUntil = own->sentAt + record.duration;
    } else if (isAccepted) {
        state.heldUntil.reset();
    }
    if (isMine) {
        state.pending.erase(own);
    }
}

/// Waits out the former holder; renewing one's own lease needs no wait.
void order_book::gain(pool_state &state, const lease &former, common::instant now)
{
    const bool isRenewal = former.holder == m_self && state.heldUntil && !former.isReleased;
    if (isRenewal) {
        return;
    }
    state.clearAt = former.isReleased ? now : former.lapsesAt + m_options.clockMargin + m_options.orderTimeout;
    state.loads.restart(now);
    for (auto &[address, known] : state.engines) {
        known.reported.reset();
    }
}

void order_book::onOutcome(std::uint64_t orderId, order_outcome outcome, common::instant now)
{
    for (auto &[pool, state] : m_pools) {
        const auto found
            = std::ranges::find_if(state.engines, [&](const auto &item) { return item.second.underWay == orderId; });
        if (found == state.engines.end()) {
            continue;
        }
        engine &known = found->second;
        known.underWay.reset();
        if (outcome == order_outcome::unknown) {
            // It may still arrive; a later order must not be overtaken by it.
            known.reported.reset();
            return;
        }
        known.arrivesUntil = now;
        if (outcome == order_outcome::applied) {
            known.reported = known.ordered;
        } else {
            known.notBefore = now + m_options.orderRetry;
        }
        return;
    }
}

void order_book::onEngineState(std::string_view address, const engine_state &state)
{
    for (auto &[pool, known] : m_pools) {
        const auto found = known.engines.find(address);
        if (found != known.engines.end() && !found->second.underWay) {
            found->second.reported = state;
        }
    }
}

order_actions order_book::advance(common::instant now)
{
    order_actions actions;
    for (auto &[pool, state] : m_pools) {
        dropEnded(state, now);
        advanceOrders(pool, state, now, actions);
        advanceLease(pool, state, now, actions);
    }
    return actions;
}

void order_book::dropEnded(pool_state &state, common::instant now)
{
    for (auto &[address, known] : state.engines) {
        if (known.underWay && now >= known.arrivesUntil) {
            known.underWay.reset();
            known.reported.reset();
        }
    }
    std::erase_if(state.engines,
                  [&](const auto &item) { return item.second.isRemoved && now >= item.second.arrivesUntil; });
    // A record that lands after its lease would have lapsed gives nothing.
    std::erase_if(state.pending,
                  [&](const pending_append &append) { return now - append.sentAt >= m_options.leaseDuration; });
}

bool order_book::isAppendOpen(const pool_state &state, common::instant now) const
{
    return !state.pending.empty() && now - state.pending.back().sentAt < m_options.appendRetry;
}

bool order_book::isAppendDue(const std::string &pool, const pool_state &state, common::instant now) const
{
    if (isAppendOpen(state, now) || !m_isCaughtUp || state.engines.empty()) {
        return false;
    }
    if (state.heldUntil) {
        return now >= *state.heldUntil - m_options.leaseDuration / 2;
    }
    const lease current = m_leases.find(pool);
    const bool isFree = current.isReleased || now >= current.lapsesAt + m_options.clockMargin;
    return isFree && state.isPreferred;
}

void order_book::advanceLease(const std::string &pool, pool_state &state, common::instant now, order_actions &actions)
{
    if (!m_isStopping) {
        if (isAppendDue(pool, state, now)) {
            actions.appends.push_back(makeAppend(pool, state, false, now));
        }
        return;
    }
    const bool isQuiet
        = std::ranges::all_of(state.engines, [&](const auto &item) { return now >= item.second.arrivesUntil; });
    if (isHolder(pool, now) && isQuiet && !isAppendOpen(state, now)) {
        actions.appends.push_back(makeAppend(pool, state, true, now));
    }
}

lease_record order_book::makeAppend(const std::string &pool, pool_state &state, bool release, common::instant now)
{
    lease_record record;
    record.pool = pool;
    record.holder = m_self;
    record.nonce = m_nextNonce++;
    record.follows = m_leases.find(pool).fencing;
    record.duration = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.leaseDuration);
    record.release = release;
    state.pending.push_back({record.nonce, now});
    return record;
}

bool order_book::isOrderDue(const pool_state &state, const engine &candidate, common::instant now) const
{
    const bool isInPlace = candidate.reported == candidate.target.wanted;
    const bool isClear = candidate.target.checksFencing || now >= state.clearAt;
    const bool isIdle = !candidate.underWay && now >= candidate.arrivesUntil;
    return !candidate.isRemoved && !isInPlace && isClear && isIdle && now >= candidate.notBefore;
}

void order_book::advanceOrders(const std::string &pool, pool_state &state, common::instant now, order_actions &actions)
{
    const bool isQuiet = !state.heldUntil || now >= *state.heldUntil - m_options.quietTail;
    if (m_isStopping || isQuiet) {
        return;
    }
    for (auto &[address, known] : state.engines) {
        if (!isOrderDue(state, known, now)) {
            continue;
        }
        const bool isLoad = !known.reported || known.reported->models != known.target.wanted.models;
        if (isLoad && !state.loads.take(now)) {
            continue;
        }
        known.underWay = ++m_lastOrder;
        known.decidedAt = now;
        known.arrivesUntil = now + m_options.startWithin + m_options.quietTail + m_options.orderTimeout;
        known.ordered = known.target.wanted;
        actions.orders.push_back({m_lastOrder, pool, address, m_leases.find(pool).fencing, known.ordered});
    }
}

bool order_book::maySend(const engine_order &order, common::instant now) const
{
    const auto found = m_pools.find(order.pool);
    if (found == m_pools.end() || !found->second.heldUntil || m_leases.find(order.pool).fencing != order.fencing) {
        return false;
    }
    const auto target = found->second.engines.find(order.address);
    if (target == found->second.engines.end() || target->second.underWay != order.id) {
        return false;
    }
    const bool isQuiet = now >= *found->second.heldUntil - m_options.quietTail;
    return !isQuiet && now - target->second.decidedAt <= m_options.startWithin;
}

bool order_book::isHolder(std::string_view pool, common::instant now) const
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.heldUntil && now < *found->second.heldUntil;
}

bool order_book::isDrained(common::instant now) const
{
    return std::ranges::all_of(m_pools, [&](const auto &item) {
        const bool isQuiet = std::ranges::all_of(item.second.engines,
                                                 [&](const auto &known) { return now >= known.second.arrivesUntil; });
        return isQuiet && !isHolder(item.first, now);
    });
}

} // namespace masticlever::orders
