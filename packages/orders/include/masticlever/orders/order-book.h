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
/// Orders to model engines. For each pool a single instance sends orders; it holds a lease in the platform's log.
///
/// The holder counts its lease from before it sent the append, the others from when they read the record, so the
/// lease ends later for them. An engine that checks fencing numbers rejects a former holder by itself. For other
/// engines a new holder waits until the former lease has expired and none of its holder's orders can still take effect,
/// and a holder sends no order in the last part of its lease. An order states the wanted state, not a change, so it can
/// be repeated.

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

/// Outcome of an order.
enum class order_outcome {
    applied,
    refused, ///< the engine did not apply it and will not
    unknown, ///< no answer; the order may still take effect
};

struct order_options {
    common::duration leaseDuration = std::chrono::seconds(30);
    /// Last part of a lease, in which no order is sent. Covers the longest delay between maySend() and the first byte.
    common::duration noSendTail = std::chrono::seconds(3);
    common::duration maxSendDelay = std::chrono::seconds(1); ///< from the decision to the check with maySend()
    common::duration orderTimeout = std::chrono::seconds(10); ///< longest time from an order's first byte to its effect
    common::duration clockMargin = std::chrono::milliseconds(500); ///< largest drift between two clocks during a lease
    common::duration appendRetryDelay = std::chrono::seconds(3); ///< until an append that was not read back is repeated
    common::duration orderRetryDelay = std::chrono::seconds(5); ///< after a refused order
    rate_options loadRate; ///< for orders that make an engine load from the weight store
};

struct order_actions {
    std::vector<lease_record> appends; ///< to be sent immediately
    std::vector<engine_order> orders; ///< to be sent immediately, each after a check with maySend()
};

class order_book
{
public:
    /// \p self is this instance's incarnation. \p firstNonce must be random, so that appends can be distinguished.
    order_book(order_options options, std::string self, std::uint64_t firstNonce);

    /// Replaces the engines of a pool; with an empty list no orders are sent for it.
    void setEngines(std::string_view pool, std::span<const engine_target> engines);
    /// Sets the incarnations of the live instances that are not leaving. The instance preferred for a pool takes its
    /// lease.
    void setLive(std::span<const std::string> incarnations);
    /// Whether the log has been read to its end; leases are taken only then.
    void setCaughtUp(bool isCaughtUp) { m_isCaughtUp = isCaughtUp; }
    /// \p head is the offset of the oldest retained record; called before the records of each read.
    void onHead(platform::log_offset head) { m_leases.onHead(head); }
    void onRecord(platform::log_offset offset, const lease_record &record, common::instant now);
    void onOutcome(std::uint64_t orderId, order_outcome outcome, common::instant now);
    /// State reported by an engine.
    void onEngineState(std::string_view address, const engine_state &state);
    /// Begins a planned stop: no further orders are sent, and leases are released once no order is in flight.
    void stop() { m_isStopping = true; }

    /// Returns the appends and orders that are due.
    order_actions advance(common::instant now);

    /// Whether an order may still be sent; to be checked right before its first byte is sent. If not, the caller
    /// reports the order as refused.
    bool maySend(const engine_order &order, common::instant now) const;
    bool isHolder(std::string_view pool, common::instant now) const;
    /// Whether no order is in flight and no lease is held, so that a stopping instance may exit.
    bool isDrained(common::instant now) const;

private:
    struct engine {
        engine_target target;
        std::optional<engine_state> reported;
        engine_state ordered; ///< state requested by the last order
        std::optional<std::uint64_t> inFlightOrder; ///< id of the order in flight
        common::instant decidedAt;
        common::instant mayApplyUntil; ///< latest time at which the last order may take effect
        common::instant retryAt; ///< after a refusal, no order is sent before then
        bool isRemoved = false;
    };

    struct pending_append {
        std::uint64_t nonce = 0;
        common::instant sentAt;
    };

    struct pool_state {
        std::map<std::string, engine, std::less<>> engines; ///< by address
        std::vector<pending_append> pending; ///< not read back yet, oldest first
        std::optional<common::instant> heldUntil; ///< counted from the append; unset: not the holder
        common::instant formerOrdersDoneAt; ///< no order of the former holder takes effect after this
        rate_limit loads;
        bool isPreferred = false;
    };

    pool_state &findOrAddPool(std::string_view pool);
    void onLeaseAcquired(pool_state &state, const lease &former, common::instant now);
    bool isAppendDue(const std::string &pool, const pool_state &state, common::instant now) const;
    lease_record makeAppend(const std::string &pool, pool_state &state, bool release, common::instant now);
    void advanceLease(const std::string &pool, pool_state &state, common::instant now, order_actions &actions);
    void advanceOrders(const std::string &pool, pool_state &state, common::instant now, order_actions &actions);
    bool isOrderDue(const pool_state &state, const engine &candidate, common::instant now) const;
    void removeExpired(pool_state &state, common::instant now);
    bool isAppendInFlight(const pool_state &state, common::instant now) const;

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
