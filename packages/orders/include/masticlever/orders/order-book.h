#pragma once

#include <masticlever/common/time.h>
#include <masticlever/orders/lease.h>
#include <masticlever/orders/rate-limit.h>
#include <masticlever/platform/log-service.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Orders to model engines. One instance at a time gives the orders for a pool, by a lease in the platform's log.
///
/// The holder counts its lease from before its append was sent, the others from when they read the record, so
/// theirs ends later. An engine that checks fencing numbers refuses an old holder by itself. For one that does not,
/// a new holder waits until the former lease has lapsed and no order of it can be under way any more, and a holder
/// starts no order in the last part of its lease. An order states the wanted end, not a step; it may be repeated.

namespace masticlever::orders
{

struct loaded_model {
    std::string model;
    std::string adapter; ///< empty: none
    std::string version;

    bool operator==(const loaded_model &) const = default;
};

struct engine_state {
    std::string role;
    std::vector<loaded_model> models;

    bool operator==(const engine_state &) const = default;
};

struct engine_target {
    std::string address;
    bool checksFencing = false;
    engine_state wanted;
};

struct engine_order {
    std::uint64_t id = 0;
    std::string pool;
    std::string address;
    platform::log_offset fencing = 0;
    engine_state wanted;
};

/// What became of an order.
enum class order_outcome {
    applied,
    refused, ///< the engine certainly did not take it
    unknown, ///< no answer: it may still take effect for a while
};

struct order_options {
    common::duration leaseDuration = std::chrono::seconds(30);
    /// End of a lease in which no order is started; longest pause between maySend() and the first byte.
    common::duration quietTail = std::chrono::seconds(3);
    common::duration startWithin = std::chrono::seconds(1); ///< from the decision to the last look at maySend()
    common::duration orderTimeout = std::chrono::seconds(10); ///< from an order's first byte to its effect
    common::duration clockMargin = std::chrono::milliseconds(500); ///< drift of two clocks over one lease
    common::duration appendRetry = std::chrono::seconds(3); ///< before an append without an outcome is repeated
    common::duration orderRetry = std::chrono::seconds(5); ///< after a refusal
    rate_options loadRate; ///< of orders that make an engine read from the weight store
};

struct order_actions {
    std::vector<lease_record> appends; ///< to be sent at once
    std::vector<engine_order> orders; ///< to be sent at once, each with a last look at maySend()
};

class order_book
{
public:
    /// \p self is this instance's incarnation. \p firstNonce is random, so that appends are told apart.
    order_book(order_options options, std::string self, std::uint64_t firstNonce);

    /// Replaces the engines of a pool; an empty list ends the orders for it.
    void setEngines(std::string_view pool, std::span<const engine_target> engines);
    /// Incarnations of the live instances that are not leaving; the one preferred for a pool takes its lease.
    void setLive(std::span<const std::string> incarnations);
    /// Leases are taken only while the log is read to its end.
    void setCaughtUp(bool isCaughtUp) { m_isCaughtUp = isCaughtUp; }
    /// The log retains records from \p head on; called before the records of each read.
    void onHead(platform::log_offset head) { m_leases.onHead(head); }
    void onRecord(platform::log_offset offset, const lease_record &record, common::instant now);
    void onOutcome(std::uint64_t orderId, order_outcome outcome, common::instant now);
    /// What an engine says of itself.
    void onEngineState(std::string_view address, const engine_state &state);
    /// Planned stop: no further orders; leases are released once nothing is under way.
    void stop() { m_isStopping = true; }

    order_actions advance(common::instant now);

    /// Whether an order may still be sent; to be asked right before the bytes go out. One that may not is to be
    /// reported as refused.
    bool maySend(const engine_order &order, common::instant now) const;
    bool isHolder(std::string_view pool, common::instant now) const;
    /// True when a stopping instance has nothing left to do.
    bool isDrained(common::instant now) const;

private:
    struct engine {
        engine_target target;
        std::optional<engine_state> reported;
        engine_state ordered; ///< by the last order
        std::optional<std::uint64_t> underWay; ///< order id
        common::instant decidedAt;
        common::instant arrivesUntil; ///< the last order may take effect until then
        common::instant notBefore;
        bool isRemoved = false;
    };

    struct pending_append {
        std::uint64_t nonce = 0;
        common::instant sentAt;
    };

    struct pool_state {
        std::map<std::string, engine, std::less<>> engines; ///< by address
        std::vector<pending_append> pending; ///< without an outcome so far, the oldest first
        std::optional<common::instant> heldUntil; ///< by this instance's own count; unset: another's lease
        common::instant clearAt; ///< no order of a former holder is under way any more
        rate_limit loads;
        bool isPreferred = false;
    };

    pool_state &poolOf(std::string_view pool);
    void gain(pool_state &state, const lease &former, common::instant now);
    bool isAppendDue(const std::string &pool, const pool_state &state, common::instant now) const;
    lease_record makeAppend(const std::string &pool, pool_state &state, bool release, common::instant now);
    void advanceLease(const std::string &pool, pool_state &state, common::instant now, order_actions &actions);
    void advanceOrders(const std::string &pool, pool_state &state, common::instant now, order_actions &actions);
    bool isOrderDue(const pool_state &state, const engine &candidate, common::instant now) const;
    void dropEnded(pool_state &state, common::instant now);
    bool isAppendOpen(const pool_state &state, common::instant now) const;

    order_options m_options;
    std::string m_self;
    std::uint64_t m_nextNonce;
    std::uint64_t m_lastOrder = 0;
    bool m_isCaughtUp = false;
    bool m_isStopping = false;
    std::vector<std::string> m_live;
    lease_table m_leases;
    std::map<std::string, pool_state, std::less<>> m_pools;
};

} // namespace masticlever::orders
