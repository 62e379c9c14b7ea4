#include "store-watch.h"

#include "frontend-context.h"

#include <masticlever/common/errors.h>

#include <utility>

namespace masticlever::frontend
{

namespace
{

constexpr common::duration answerLimit = std::chrono::milliseconds(400); ///< a slow store's answer, and the links

} // namespace

store_watch::store_watch(const protocol::site_protocol &protocol, protocol::store_topic topic,
                         const std::string &address, net::receive_budget &budget, topic_follower_options options,
                         news_handler onNews, reach_handler onReach)
    : m_protocol(protocol), m_topic(topic), m_lane(address, budget), m_follower(options), m_onNews(std::move(onNews)),
      m_onReach(std::move(onReach))
{ }

void store_watch::onTick(common::instant now)
{
    m_lane.onTick(now);
    if (const auto call = m_follower.next(now)) {
        send(*call, now);
    }
}

/// Gives up a call that is older than \p age.
void store_watch::interrupt(common::duration age, common::instant now)
{
    if (m_follower.isWaitingSince(age, now)) {
        m_isInterrupting = true;
        m_lane.reset();
        m_isInterrupting = false;
    }
}

void store_watch::hurry(common::instant now)
{
    interrupt(answerLimit, now);
    m_follower.hurry(now);
}

void store_watch::renew(common::duration pause, common::instant now)
{
    interrupt({}, now);
    m_follower.expect(now + pause);
}

void store_watch::setPolling(bool isPolling, common::instant now)
{
    if (isPolling != m_follower.isPolling()) {
        m_follower.setPolling(isPolling);
        hurry(now);
    }
}

void store_watch::restart(common::instant now)
{
    m_lane.reset();
    m_follower.restart(now);
}

void store_watch::send(const follow_call &call, common::instant now)
{
    const protocol::store_call request = call.isListing ? m_protocol.listCall(m_topic, call.afterKey)
                                                        : m_protocol.readCall(m_topic, call.from, call.wait);
    m_lane.call(
        request, call.timeout,
        [this, call](common::result<store_lane::store_answer> answer) { onAnswer(call, std::move(answer)); }, now);
}

void store_watch::onAnswer(const follow_call &call, common::result<store_lane::store_answer> answer)
{
    const common::instant now = presentInstant();
    if (m_isInterrupting) {
        m_follower.onInterrupted(now);
        return;
    }
    follow_news news;
    bool isGood = false;
    if (answer && call.isListing) {
        auto page = m_protocol.readListing(answer.value().status, answer.value().body);
        isGood = page.has_value();
        if (page) {
            news = m_follower.onListing(std::move(page.value()), now);
        }
    } else if (answer) {
        auto page = m_protocol.readRecords(answer.value().status, answer.value().body, call.from);
        isGood = page.has_value();
        if (page) {
            news = m_follower.onRecords(std::move(page.value()), now);
        } else if (page.error() == common::error::truncated) {
            m_follower.onTruncated(now);
            return;
        }
    }
    if (!isGood) {
        m_follower.onFailure(now);
    }
    m_onReach(isGood);
    if (isGood) {
        m_onNews(std::move(news));
    }
}

} // namespace masticlever::frontend
