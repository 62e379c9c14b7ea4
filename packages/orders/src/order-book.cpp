#include <masticlever/common/digest.h>
#include <masticlever/orders/order-book.h>

#include <algorithm>
#include <utility>

namespace masticlever::orders
{

namespace
{

/// Rendezvous hashing: each pool prefers one live instance, and the loss of an instance moves only its own pools.
bool isPreferredInstance(std::string_view pool, const std::string &self, std::span<const std::string> live)
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

order_book::pool_state &order_book::findOrAddPool(std::string_view pool)
{
    auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        found = m_pools.emplace(std::string(pool), pool_state{}).first;
        found->second.loads = rate_limit(m_options.loadRate);
        found->second.isPreferred = isPreferredInstance(pool, m_self, m_live);
    }
    return found->second;
}

void order_book::setEngines(std::string_view pool, std::span<const engine_target> engines)
{
    pool_state &state = findOrAddPool(pool);
    for (auto &[address, member] : state.engines) {
        member.isRemoved = true;
    }
    for (const engine_target &target : engines) {
        engine &member = state.engines[target.address];
        member.target = target;
        member.isRemoved = false;
    }
}

void order_book::setLive(std::span<const std::string> incarnations)
{
    if (std::ranges::equal(incarnations, m_live)) {
        return;
    }
    m_live.assign(incarnations.begin(), incarnations.end());
    for (auto &[pool, state] : m_pools) {
        state.isPreferred = isPreferredInstance(pool, m_self, m_live);
    }
}

void order_book::onRecord(platform::log_offset offset, const lease_record &record, common::instant now)
{
    pool_state &state = findOrAddPool(record.pool);
    const lease former = m_leases.find(record.pool);
    const bool isAccepted = m_leases.onRecord(offset, record, now);
    const auto own = std::ranges::find(state.pending, record.nonce, &pending_append::nonce);
    const bool isOwn = record.holder == m_self && own != state.pending.end();
    if (isAccepted && isOwn && !record.release) {
        onLeaseAcquired(state, former, now);
        state.heldUntil = own->sentAt + record.duration;
    } else if (isAccepted) {
        state.heldUntil.reset();
    }
    if (isOwn) {
        state.pending.erase(own);
    }
}

/// Sets the wait for the former holder's orders; a renewal of an own lease needs none.
void order_book::onLeaseAcquired(pool_state &state, const lease &former, common::instant now)
{
    const bool isRenewal = former.holder == m_self && state.heldUntil && !former.isReleased;
    if (isRenewal) {
        return;
    }
    state.formerOrdersDoneAt
        = former.isReleased ? now : former.expiresAt + m_options.clockMargin + m_options.orderTimeout;
    state.loads.restart(now);
    for (auto &[address, member] : state.engines) {
        member.reported.reset();
    }
}

void order_book::onOutcome(std::uint64_t orderId, order_outcome outcome, common::instant now)
{
    for (auto &[pool, state] : m_pools) {
        const auto found = std::ranges::find_if(state.engines,
                                                [&](const auto &item) { return item.second.inFlightOrder == orderId; });
        if (found == state.engines.end()) {
            continue;
        }
        engine &member = found->second;
        member.inFlightOrder.reset();
        if (outcome == order_outcome::unknown) {
            // The order may still arrive and must not overtake a later one, so mayApplyUntil stays.
            member.reported.reset();
            return;
        }
        member.mayApplyUntil = now;
        if (outcome == order_outcome::applied) {
            member.reported = member.ordered;
        } else {
            member.retryAt = now + m_options.orderRetryDelay;
        }
        return;
    }
}

void order_book::onEngineState(std::string_view address, const engine_state &state)
{
    for (auto &[pool, poolState] : m_pools) {
        const auto found = poolState.engines.find(address);
        if (found != poolState.engines.end() && !found->second.inFlightOrder) {
            found->second.reported = state;
        }
    }
}

order_actions order_book::advance(common::instant now)
{
    order_actions actions;
    for (auto &[pool, state] : m_pools) {
        removeExpired(state, now);
        advanceOrders(pool, state, now, actions);
        advanceLease(pool, state, now, actions);
    }
    return actions;
}

void order_book::removeExpired(pool_state &state, common::instant now)
{
    for (auto &[address, member] : state.engines) {
        if (member.inFlightOrder && now >= member.mayApplyUntil) {
            member.inFlightOrder.reset();
            member.reported.reset();
        }
    }
    std::erase_if(state.engines,
                  [&](const auto &item) { return item.second.isRemoved && now >= item.second.mayApplyUntil; });
    // A record that is appended after its lease would have expired has no effect.
    std::erase_if(state.pending,
                  [&](const pending_append &append) { return now - append.sentAt >= m_options.leaseDuration; });
}

bool order_book::isAppendInFlight(const pool_state &state, common::instant now) const
{
    return !state.pending.empty() && now - state.pending.back().sentAt < m_options.appendRetryDelay;
}

bool order_book::isAppendDue(const std::string &pool, const pool_state &state, common::instant now) const
{
    if (isAppendInFlight(state, now) || !m_isCaughtUp || state.engines.empty()) {
        return false;
    }
    if (state.heldUntil) {
        return now >= *state.heldUntil - m_options.leaseDuration / 2;
    }
    const lease current = m_leases.find(pool);
    const bool isFree = current.isReleased || now >= current.expiresAt + m_options.clockMargin;
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
    const bool noneInFlight
        = std::ranges::all_of(state.engines, [&](const auto &item) { return now >= item.second.mayApplyUntil; });
    if (isHolder(pool, now) && noneInFlight && !isAppendInFlight(state, now)) {
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
    const bool isAlreadyApplied = candidate.reported == candidate.target.wanted;
    const bool isFormerHolderDone = candidate.target.checksFencing || now >= state.formerOrdersDoneAt;
    const bool isIdle = !candidate.inFlightOrder && now >= candidate.mayApplyUntil;
    return !candidate.isRemoved && !isAlreadyApplied && isFormerHolderDone && isIdle && now >= candidate.retryAt;
}

void order_book::advanceOrders(const std::string &pool, pool_state &state, common::instant now, order_actions &actions)
{
    const bool isSendingBlocked = !state.heldUntil || now >= *state.heldUntil - m_options.noSendTail;
    if (m_isStopping || isSendingBlocked) {
        return;
    }
    for (auto &[address, member] : state.engines) {
        if (!isOrderDue(state, member, now)) {
            continue;
        }
        const bool isLoad = !member.reported || member.reported->models != member.target.wanted.models;
        if (isLoad && !state.loads.take(now)) {
            continue;
        }
        member.inFlightOrder = ++m_lastOrder;
        member.decidedAt = now;
        member.mayApplyUntil = now + m_options.maxSendDelay + m_options.noSendTail + m_options.orderTimeout;
        member.ordered = member.target.wanted;
        actions.orders.push_back({m_lastOrder, pool, address, m_leases.find(pool).fencing, member.ordered});
    }
}

bool order_book::maySend(const engine_order &order, common::instant now) const
{
    const auto found = m_pools.find(order.pool);
    if (found == m_pools.end() || !found->second.heldUntil || m_leases.find(order.pool).fencing != order.fencing) {
        return false;
    }
    const auto target = found->second.engines.find(order.address);
    if (target == found->second.engines.end() || target->second.inFlightOrder != order.id) {
        return false;
    }
    const bool isInNoSendTail = now >= *found->second.heldUntil - m_options.noSendTail;
    return !isInNoSendTail && now - target->second.decidedAt <= m_options.maxSendDelay;
}

bool order_book::isHolder(std::string_view pool, common::instant now) const
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.heldUntil && now < *found->second.heldUntil;
}

bool order_book::isDrained(common::instant now) const
{
    return std::ranges::all_of(m_pools, [&](const auto &item) {
        const bool noneInFlight = std::ranges::all_of(
            item.second.engines, [&](const auto &entry) { return now >= entry.second.mayApplyUntil; });
        return noneInFlight && !isHolder(item.first, now);
    });
}

} // namespace masticlever::orders
