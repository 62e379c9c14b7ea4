#pragma once

#include "store-lane.h"

#include <masticlever/frontend/topic-follower.h>
#include <masticlever/protocol/site-protocol.h>

#include <functional>
#include <string>

/// \file
/// Carries out the calls of a topic's follower.

namespace masticlever::frontend
{

class store_watch
{
public:
    using news_handler = std::function<void(follow_news news)>;
    using reach_handler = std::function<void(bool isReachable)>;

    store_watch(const protocol::site_protocol &protocol, protocol::store_topic topic, const std::string &address,
                net::receive_budget &budget, topic_follower_options options, news_handler onNews,
                reach_handler onReach);

    void onTick(common::instant now);
    /// Something new is known to be there. A call that still waits is not going to tell: it is given up.
    void hurry(common::instant now);
    void defer(common::instant until) { m_follower.defer(until); }
    /// The store is back: a call that it has taken before is given up. The next one is due after \p pause, unless
    /// another instance has read by then.
    void renew(common::duration pause, common::instant now);
    void holdRetry(common::instant until) { m_follower.holdRetry(until); }
    void setPolling(bool isPolling, common::instant now);
    /// After a pause of the process.
    void restart(common::instant now);
    const topic_follower &follower() const { return m_follower; }

private:
    void interrupt(common::duration age, common::instant now);
    void send(const follow_call &call, common::instant now);
    void onAnswer(const follow_call &call, common::result<store_lane::store_answer> answer);

    const protocol::site_protocol &m_protocol;
    protocol::store_topic m_topic;
    store_lane m_lane;
    topic_follower m_follower;
    news_handler m_onNews;
    reach_handler m_onReach;
    bool m_isInterrupting = false;
};

} // namespace masticlever::frontend
