#pragma once

#include "store-connection.h"

#include <masticlever/frontend/topic-follower.h>
#include <masticlever/protocol/wire-protocol.h>

#include <cstdint>
#include <functional>
#include <string>

/// \file
/// Sends the store calls that a topic_follower schedules and passes on the results.

namespace masticlever::frontend
{

class store_watch
{
public:
    struct event_handlers {
        std::function<void(topic_update update)> onUpdate;
        std::function<void(bool isReachable)> onReachability;
        /// Generation of the store that sent an answer; called before the answer is used.
        std::function<void(std::uint64_t generation)> onGeneration;
    };

    store_watch(const protocol::wire_protocol &protocol, protocol::store_topic topic, const std::string &address,
                net::receive_budget &budget, topic_follower_options options, event_handlers handlers);

    void onTick(common::instant now);
    /// A newer record is known to exist. A call that is still waiting will not return it and is cancelled.
    void expedite(common::instant now);
    void defer(common::instant until) { m_follower.defer(until); }
    /// The store has recovered: cancels a call that was sent before the outage. The next call is due after \p pause,
    /// unless it is deferred because another instance has read the topic by then.
    void reissue(common::duration pause, common::instant now);
    void delayRetry(common::instant until) { m_follower.delayRetry(until); }
    void onStoreReachable(common::instant now) { m_follower.onStoreReachable(now); }
    void setPolling(bool isPolling, common::instant now);
    /// Drops the connection and lists the topic again, for example after a pause of the process.
    void restart(listing_reason reason, common::instant now);
    /// Another call has shown that the store was restored: cancels the call in flight and lists the topic again.
    void onStoreRestored(std::uint64_t generation, common::instant now);
    const topic_follower &follower() const { return m_follower; }

private:
    void cancelOlderThan(common::duration age, common::instant now);
    void send(const topic_call &call, common::instant now);
    void onAnswer(const topic_call &call, common::result<store_connection::store_answer> answer);
    void logFailure(const topic_call &call, int status, common::instant now) const;
    void logListing(const topic_update &update) const;

    const protocol::wire_protocol &m_protocol;
    protocol::store_topic m_topic;
    store_connection m_connection;
    topic_follower m_follower;
    event_handlers m_handlers;
    bool m_isCancelling = false;
};

} // namespace masticlever::frontend
