#pragma once

#include <masticlever/common/time.h>
#include <masticlever/protocol/site-protocol.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Follows one topic of the store: lists the newest record of each key, then reads what is written after the list.

namespace masticlever::frontend
{

struct topic_follower_options {
    /// Between reads that do not wait: half of the time in which a leaving endpoint must get no new work.
    common::duration pollInterval = std::chrono::milliseconds(1000);
    common::duration wait{}; ///< for how long a read waits at the store for a record
    common::duration firstRetry = std::chrono::milliseconds(100); ///< after a failed call; doubles
    common::duration longestRetry = std::chrono::milliseconds(800);
    common::duration timeout = std::chrono::milliseconds(1500); ///< of a call, besides its wait
    /// After a listing, before the first read: another instance may read for this one by then.
    common::duration settleTime{};
    common::duration hurryGap = std::chrono::milliseconds(200); ///< between reads that were hurried
};

struct follow_call {
    bool isListing = false;
    std::string afterKey; ///< of a listing: it continues behind this key
    std::uint64_t from = 0; ///< of a read
    common::duration wait{};
    common::duration timeout{}; ///< the wait included
};

struct follow_news {
    std::vector<protocol::store_record> records;
    bool isWholeListing = false; ///< keys that \c listedKeys lacks are gone
    std::vector<std::string> listedKeys;
};

class topic_follower
{
public:
    explicit topic_follower(topic_follower_options options) : m_options(options) { }

    /// The call that is due, if any. It is under way until one of the following is called.
    std::optional<follow_call> next(common::instant now);
    follow_news onListing(protocol::listing_page page, common::instant now);
    follow_news onRecords(protocol::record_page page, common::instant now);
    /// The records that follow are no longer kept.
    void onTruncated(common::instant now);
    void onFailure(common::instant now);
    /// The call under way was given up here, which says nothing of the store; the next one is due at once.
    void onInterrupted(common::instant now);
    /// Whether the call under way should have been answered, had there been something to read for \p time.
    bool isWaitingSince(common::duration time, common::instant now) const
    {
        return m_isUnderWay && now - m_calledAt >= time;
    }
    /// Reads at once, as something new is known to be there; not more often than every hurryGap. Nothing defers it.
    void hurry(common::instant now);
    /// Reads without waiting, one every pollInterval: so that others can be told how recent what is known here is.
    void setPolling(bool isPolling) { m_isPolling = isPolling; }
    bool isPolling() const { return m_isPolling; }
    /// Whether the store has answered within \p time.
    bool isAnsweredWithin(common::duration time, common::instant now) const { return now - m_answeredAt <= time; }
    /// Another instance has just read the topic: nothing has to be read here until \p until.
    void defer(common::instant until);
    /// The next call is due at \p at, if none is under way; it may be put off.
    void expect(common::instant at);
    /// After a failure: not tried again before \p until, even if hurried.
    void holdRetry(common::instant until);
    common::instant calledAt() const { return m_calledAt; }
    /// Forgets the position: what was read may be out of date.
    void restart(common::instant now);

    bool isReachable() const { return m_isReachable; }
    bool hasListed() const { return m_hasListed; }

private:
    void onAnswered(common::instant now);
    common::duration waitTime() const { return m_isPolling ? common::duration{} : m_options.wait; }
    common::duration pause() const { return waitTime().count() > 0 ? common::duration{} : m_options.pollInterval; }

    topic_follower_options m_options;
    bool m_isUnderWay = false;
    bool m_isListing = true;
    bool m_hasListed = false;
    bool m_isReachable = false;
    std::string m_afterKey;
    std::vector<std::string> m_listedKeys;
    std::uint64_t m_from = 0;
    std::optional<std::uint64_t> m_listedEnd; ///< of the first page, as pages are not a snapshot
    common::instant m_dueAt;
    common::instant m_calledAt;
    common::instant m_answeredAt;
    bool m_isDeferred = false;
    bool m_isHurried = false; ///< until the store has answered
    bool m_isPolling = false;
    common::duration m_retry{};
};

} // namespace masticlever::frontend
