#include "store-watch.h"

#include "frontend-context.h"

#include <masticlever/common/errors.h>
#include <masticlever/telemetry/events.h>

#include <string_view>
#include <utility>

namespace masticlever::frontend
{

using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr common::duration answerTimeout = std::chrono::milliseconds(400); ///< for a slow store and the network

std::string_view nameOf(protocol::store_topic topic)
{
    switch (topic) {
    case protocol::store_topic::configuration:
        return "configuration";
    case protocol::store_topic::endpoints:
        return "endpoints";
    case protocol::store_topic::instances:
        break;
    }
    return "instances";
}

std::string_view nameOf(listing_reason reason)
{
    switch (reason) {
    case listing_reason::start:
        return "start";
    case listing_reason::truncated:
        return "truncated";
    case listing_reason::restored:
        return "restored";
    case listing_reason::paused:
        break;
    }
    return "pause";
}

} // namespace

store_watch::store_watch(const protocol::wire_protocol &protocol, protocol::store_topic topic,
                         const std::string &address, net::receive_budget &budget, topic_follower_options options,
                         event_handlers handlers)
    : m_protocol(protocol), m_topic(topic), m_connection(address, budget), m_follower(options),
      m_handlers(std::move(handlers))
{ }

void store_watch::onTick(common::instant now)
{
    m_connection.onTick(now);
    if (const auto call = m_follower.next(now)) {
        send(*call, now);
    }
}

/// Cancels a call that has been in flight for at least \p age.
void store_watch::cancelOlderThan(common::duration age, common::instant now)
{
    if (m_follower.isInFlightFor(age, now)) {
        m_isCancelling = true;
        m_connection.reset();
        m_isCancelling = false;
    }
}

void store_watch::expedite(common::instant now)
{
    cancelOlderThan(answerTimeout, now);
    m_follower.expedite(now);
}

void store_watch::reissue(common::duration pause, common::instant now)
{
    cancelOlderThan({}, now);
    m_follower.scheduleAt(now + pause);
}

void store_watch::setPolling(bool isPolling, common::instant now)
{
    if (isPolling != m_follower.isPolling()) {
        m_follower.setPolling(isPolling);
        expedite(now);
    }
}

void store_watch::restart(listing_reason reason, common::instant now)
{
    m_connection.reset();
    m_follower.restart(reason, now);
}

void store_watch::onStoreRestored(std::uint64_t generation, common::instant now)
{
    if (generation > m_follower.generation()) {
        cancelOlderThan({}, now);
        m_follower.onStoreRestored(generation, now);
    }
}

void store_watch::send(const topic_call &call, common::instant now)
{
    const protocol::store_call request = call.isListing ? m_protocol.listCall(m_topic, call.afterKey)
                                                        : m_protocol.readCall(m_topic, call.from, call.wait);
    m_connection.call(
        request, call.timeout,
        [this, call](common::result<store_connection::store_answer> answer) { onAnswer(call, std::move(answer)); },
        now);
}

void store_watch::onAnswer(const topic_call &call, common::result<store_connection::store_answer> answer)
{
    const common::instant now = monotonicNow();
    if (m_isCancelling) {
        m_follower.onCancelled(now);
        return;
    }
    const int status = answer ? answer.value().head.status : 0;
    if (const auto generation = answer ? m_protocol.storeGeneration(answer.value().head) : std::nullopt) {
        const bool isUsable = m_follower.acceptGeneration(*generation, now);
        m_handlers.onGeneration(*generation);
        if (!isUsable) {
            return;
        }
    }
    topic_update update;
    bool isValid = false;
    if (answer && call.isListing) {
        auto page = m_protocol.readListing(status, answer.value().body);
        isValid = page.has_value();
        if (page) {
            update = m_follower.onListing(std::move(page.value()), now);
        }
    } else if (answer) {
        auto page = m_protocol.readRecords(status, answer.value().body, call.from);
        isValid = page.has_value();
        if (page) {
            update = m_follower.onRecords(std::move(page.value()), now);
        } else if (page.error() == common::error::truncated) {
            m_follower.onTruncated(now);
            return;
        }
    }
    if (!isValid) {
        logFailure(call, status, now);
        m_follower.onFailure(now);
    }
    m_handlers.onReachability(isValid);
    if (isValid) {
        logListing(update);
        m_handlers.onUpdate(std::move(update));
    }
}

void store_watch::logFailure(const topic_call &call, int status, common::instant now) const
{
    logEvent(event::store_call_failed,
             {{"topic", nameOf(m_topic)},
              {"from", call.from},
              {"listing", call.isListing},
              {"call_ms", common::toMilliseconds(now - m_follower.calledAt())},
              {"status", std::int64_t{status}}});
}

void store_watch::logListing(const topic_update &update) const
{
    if (!update.isCompleteListing) {
        return;
    }
    logEvent(event::topic_listed,
             {{"topic", nameOf(m_topic)},
              {"reason", nameOf(update.reason)},
              {"generation", m_follower.generation()},
              {"keys", static_cast<std::uint64_t>(update.listedKeys.size())},
              {"end", update.position}});
}

} // namespace masticlever::frontend
