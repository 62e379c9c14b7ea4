#pragma once

#include "store-connection.h"

#include <masticlever/frontend/topic-follower.h>
#include <masticlever/protocol/wire-protocol.h>

#include <functional>
#include <string>

/// \file
/// Sends the store calls that a topic_follower schedules and passes on the results.

namespace masticlever::frontend
{

class store_watch
{
public:
    using update_handler = std::function<void(topic_update update)>;
    using reachability_handler = std::function<void(bool isReachable)>;

    store_watch(const protocol::wire_protocol &protocol, protocol::store_topic topic, const std::string &address,
                net::receive_budget &budget, topic_follower_options options, update_handler onUpdate,
                reachability_handler onReachability);

    void onTick(common::instant now);
    /// A newer record is known to exist. A call that is still waiting will not return it and is cancelled.
    void expedite(common::instant now);
    void defer(common::instant until) { m_follower.defer(until); }
    /// The store has recovered: cancels a call that was sent before the outage. The next call is due after \p pause,
    /// unless it is deferred because another instance has read the topic by then.
    void reissue(common::duration pause, common::instant now);
    void delayRetry(common::instant until) { m_follower.delayRetry(until); }
    void setPolling(bool isPolling, common::instant now);
    /// Drops the connection and lists the topic again, for example after a pause of the process.
    void restart(common::instant now);
    const topic_follower &follower() const { return m_follower; }

private:
    void cancelOlderThan(common::duration age, common::instant now);
    void send(const topic_call &call, common::instant now);
    void onAnswer(const topic_call &call, common::result<store_connection::store_answer> answer);

    const protocol::wire_protocol &m_protocol;
    protocol::store_topic m_topic;
    store_connection m_connection;
    topic_follower m_follower;
    update_handler m_onUpdate;
    reachability_handler m_onReachability;
    bool m_isCancelling = false;
};

} // namespace masticlever::frontend
