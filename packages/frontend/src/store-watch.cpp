#include "store-watch.h"

#include "frontend-context.h"

#include <masticlever/common/errors.h>

#include <utility>

namespace masticlever::frontend
{

namespace
{

constexpr common::duration answerTimeout = std::chrono::milliseconds(400); ///< for a slow store and the network

} // namespace

store_watch::store_watch(const protocol::wire_protocol &protocol, protocol::store_topic topic,
                         const std::string &address, net::receive_budget &budget, topic_follower_options options,
                         update_handler onUpdate, reachability_handler onReachability)
    : m_protocol(protocol), m_topic(topic), m_connection(address, budget), m_follower(options),
      m_onUpdate(std::move(onUpdate)), m_onReachability(std::move(onReachability))
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

void store_watch::restart(common::instant now)
{
    m_connection.reset();
    m_follower.restart(now);
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
    topic_update update;
    bool isValid = false;
    if (answer && call.isListing) {
        auto page = m_protocol.readListing(answer.value().status, answer.value().body);
        isValid = page.has_value();
        if (page) {
            update = m_follower.onListing(std::move(page.value()), now);
        }
    } else if (answer) {
        auto page = m_protocol.readRecords(answer.value().status, answer.value().body, call.from);
        isValid = page.has_value();
        if (page) {
            update = m_follower.onRecords(std::move(page.value()), now);
        } else if (page.error() == common::error::truncated) {
            m_follower.onTruncated(now);
            return;
        }
    }
    if (!isValid) {
        m_follower.onFailure(now);
    }
    m_onReachability(isValid);
    if (isValid) {
        m_onUpdate(std::move(update));
    }
}

} // namespace masticlever::frontend
