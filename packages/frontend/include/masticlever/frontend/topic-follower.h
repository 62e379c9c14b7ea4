#pragma once

#include <masticlever/common/time.h>
#include <masticlever/protocol/wire-protocol.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Follows one topic of the store: lists the newest record of each key, then reads the records written since.
/// Decides which call to make and when; the caller sends it and reports the outcome.

namespace masticlever::frontend
{

struct topic_follower_options {
    /// Interval between reads that do not wait at the store. It is half of the time within which a leaving endpoint
    /// must stop receiving new work.
    common::duration pollInterval = std::chrono::milliseconds(1000);
    common::duration wait{}; ///< how long a read waits at the store for a record (long poll)
    common::duration initialBackoff = std::chrono::milliseconds(100); ///< after a failed call; doubles
    common::duration maximumBackoff = std::chrono::milliseconds(800);
    common::duration timeout = std::chrono::milliseconds(1500); ///< of a call, in addition to its wait
    /// Delay between a listing and the first read. Another instance may be reading on behalf of this one by then.
    common::duration firstReadDelay{};
    common::duration expediteInterval = std::chrono::milliseconds(200); ///< minimum time between expedited reads
};

/// Why a topic is listed in full.
enum class listing_reason {
    start, ///< it was not listed before
    truncated, ///< the records at the read position are not available
    restored, ///< the store was restored from a copy, so offsets stand for other records
    paused, ///< the process did not run for a while
};

struct topic_call {
    bool isListing = false;
    std::string afterKey; ///< a listing continues after this key
    std::uint64_t from = 0; ///< offset at which a read starts
    common::duration wait{};
    common::duration timeout{}; ///< includes the wait
};

struct topic_update {
    std::vector<protocol::store_record> records;
    bool isCompleteListing = false; ///< keys missing from \c listedKeys no longer exist
    std::vector<std::string> listedKeys;
    listing_reason reason = listing_reason::start; ///< of a complete listing
    std::uint64_t position = 0; ///< offset at which reading continues
};

class topic_follower
{
public:
    explicit topic_follower(topic_follower_options options) : m_options(options) { }

    /// Returns the call that is due, if any. It is in flight until one of the following functions reports its outcome.
    std::optional<topic_call> next(common::instant now);
    /// Compares the generation of the store that answered the call in flight with the newest one that is known.
    /// \returns whether the answer may be used. If not, the call has ended and the next one is scheduled: positions and
    /// pages of different generations must not be combined.
    bool acceptGeneration(std::uint64_t generation, common::instant now);
    /// Another call has shown that the store was restored: lists the topic again. No call may be in flight.
    void onStoreRestored(std::uint64_t generation, common::instant now);
    std::uint64_t generation() const { return m_generation; }
    topic_update onListing(protocol::listing_page page, common::instant now);
    topic_update onRecords(protocol::record_page page, common::instant now);
    /// The store no longer keeps the records at the read position, so the topic is listed again.
    void onTruncated(common::instant now);
    void onFailure(common::instant now);
    /// The call in flight was cancelled locally, which does not count as a failure of the store. The next call is due
    /// immediately.
    void onCancelled(common::instant now);
    /// Whether a call has been in flight for at least \p time, in which the store would have answered it if there had
    /// been something to read.
    bool isInFlightFor(common::duration time, common::instant now) const
    {
        return m_isInFlight && now - m_calledAt >= time;
    }
    /// Schedules a read as soon as \c expediteInterval allows, because a newer record is known to exist. defer() has no
    /// effect until the store has answered.
    void expedite(common::instant now);
    /// Reads every \c pollInterval without waiting at the store, so that other instances can be told how recent the
    /// state of this one is.
    void setPolling(bool isPolling) { m_isPolling = isPolling; }
    bool isPolling() const { return m_isPolling; }
    /// Whether the store has answered within the last \p time.
    bool wasAnsweredWithin(common::duration time, common::instant now) const { return now - m_answeredAt <= time; }
    /// Another instance has just read the topic, so no read is needed here before \p until.
    void defer(common::instant until);
    /// Schedules the next call at \p at, unless one is in flight. defer() can postpone it.
    void scheduleAt(common::instant at);
    /// After a failure, postpones the retry to \p until, also if it was expedited before.
    void delayRetry(common::instant until);
    /// Another call has shown that the store is reachable: a retry that was delayed is due at once, unless another
    /// instance reads for this one.
    void onStoreReachable(common::instant now);
    common::instant calledAt() const { return m_calledAt; }
    /// Discards the read position and lists the topic again, because the state that was read may be outdated.
    void restart(listing_reason reason, common::instant now);

    bool isReachable() const { return m_isReachable; }
    bool hasListed() const { return m_hasListed; }
    /// Whether the topic has to be listed before it can be read.
    bool isListing() const { return m_isListing; }

private:
    void onAnswered(common::instant now);
    common::duration waitTime() const { return m_isPolling ? common::duration{} : m_options.wait; }
    common::duration readDelay() const { return waitTime().count() > 0 ? common::duration{} : m_options.pollInterval; }

    topic_follower_options m_options;
    bool m_isInFlight = false;
    bool m_isListing = true;
    listing_reason m_reason = listing_reason::start;
    bool m_hasListed = false;
    bool m_isReachable = false;
    std::string m_afterKey;
    std::vector<std::string> m_listedKeys;
    std::uint64_t m_generation = 0; ///< newest known generation of the store; 0: none
    std::uint64_t m_from = 0; ///< read position in that generation
    std::optional<std::uint64_t> m_listedEnd; ///< end offset of the first page; pages are not a consistent snapshot
    common::instant m_dueAt;
    common::instant m_calledAt;
    common::instant m_answeredAt;
    bool m_isDeferred = false;
    bool m_isExpedited = false; ///< until the store has answered
    bool m_isPolling = false;
    common::duration m_backoff{};
};

} // namespace masticlever::frontend
