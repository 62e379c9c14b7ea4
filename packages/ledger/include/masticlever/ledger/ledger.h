#pragma once

#include <masticlever/common/run-key.h>
#include <masticlever/common/time.h>
#include <masticlever/platform/log-service.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// The record of runs with stages that may not be repeated. Position and ownership stand in one record; a record
/// whose expected epoch is not the run's newest has no effect.

namespace masticlever::ledger
{

using common::run_key;

/// Offset of the record that last changed a run's ownership or claim; 0 for a run that has no record.
using epoch = platform::log_offset;

enum class run_standing {
    absent, ///< no record, or refused: may be claimed
    started, ///< a stage was claimed and has no outcome: may have run
    between_stages, ///< the last claimed stage has its outcome; later stages are open
    finished, ///< the final answer is recorded
    expired, ///< the key is older than the window: nothing can be said of it
};

/// What the replayed log says of a run.
struct run_view {
    run_standing standing = run_standing::absent;
    epoch at = 0;
    std::string bodyDigest;
    std::string pipeline;
    std::string owner; ///< incarnation
    std::string nonce; ///< of the newest claim
    std::uint32_t stage = 0; ///< index of the newest claimed stage
    std::string position; ///< as given with the newest claim; opaque here
    std::string stageResult; ///< of the newest claimed stage, when known
    std::string answer; ///< final answer
    bool unknown = false; ///< started, owner gone or has given up on the answer; waits to be settled
    common::wall_time changedAt; ///< the log service's clock
    common::wall_time claimableFrom; ///< of a refused run: claims appended earlier have no effect
};

struct claim_request {
    run_key run;
    std::string bodyDigest;
    std::string pipeline;
    std::uint32_t stage = 0;
    std::string position; ///< the request and the results so far, enough for another instance to go on
    /// The run's epoch. For the first stage it is the one that find() gave when the request arrived, not a later one:
    /// otherwise a copy of the request that waited here could undo a refusal given elsewhere.
    epoch expected = 0;
    /// When the request arrived. One that arrived before the log became reachable again is not claimed.
    common::instant arrivedAt = common::instant::max();
};

/// The claim stands: this instance alone may send the stage's call, once.
struct claim_granted {
    run_key run;
    std::uint32_t stage = 0;
    epoch fencing = 0;
};

/// Another record stands, or the claim or refusal has no effect; see find(). Also ends a refuse().
struct claim_lost {
    run_key run;
    std::uint32_t stage = 0;
};

/// The log cannot be written or read in time. This instance will never send the call. Also ends a refuse().
/// \a certain: it is also sure that no other instance has claimed or will claim for this submission.
struct claim_unavailable {
    run_key run;
    std::uint32_t stage = 0;
    bool certain = false;
};

/// A refusal asked for by refuse() stands: no claim of an earlier epoch has an effect any more.
struct refusal_recorded {
    run_key run;
};

/// This instance owns the run of a lost owner and goes on from its position.
struct run_taken {
    run_key run;
    run_view view;
};

/// The run's standing, result or answer has changed.
struct run_changed {
    run_key run;
};

using event = std::variant<claim_granted, claim_lost, claim_unavailable, refusal_recorded, run_taken, run_changed>;

/// One append to the log service; its end is reported by onAppendEnded().
struct append_action {
    std::uint64_t id = 0;
    std::string payload;
};

struct ledger_options {
    std::string incarnation;
    common::duration claimTimeout = std::chrono::milliseconds(1500); ///< append and read-back of one claim
    std::chrono::milliseconds window = std::chrono::hours(24); ///< age at which keys expire
    std::chrono::milliseconds clockSkew = std::chrono::seconds(1); ///< largest skew between callers and instances
    std::size_t entriesPerRecord = 256;
    std::size_t recordBytes = 1048576;
    /// Least time between two appends of this instance: its share of the log's budget.
    common::duration appendInterval{0};
    /// For so long after a refusal requests that arrive cannot claim the key: covers copies that are under way.
    /// Raised to claimTimeout, readTimeout and two seconds of transit together if it is less.
    std::chrono::milliseconds refusalHold = std::chrono::seconds(7);
    std::chrono::milliseconds peerNotice = std::chrono::seconds(1); ///< largest age of what peers say of the log
    /// After a longer one, keys from before its end cannot be claimed for refusalHold.
    std::chrono::milliseconds shortOutage = std::chrono::seconds(1);
    /// Without a read for so long the log counts as unreachable, and so does a stall of the process; reads wait for
    /// a third of it at most.
    common::duration readTimeout = std::chrono::seconds(3);
    /// An unfinished run is written again when its last full record is older; well below the log's retention.
    std::chrono::milliseconds carryAfter = std::chrono::hours(6);
    common::duration retryInterval = std::chrono::milliseconds(500); ///< between appends of one outcome
    common::duration readFreshness = std::chrono::seconds(1); ///< age at which a read no longer proves absence
};

/// Counts since the start, for metrics.
struct ledger_counters {
    std::uint64_t malformedRecords = 0; ///< skipped, by every instance alike
    std::uint64_t refusedBatches = 0; ///< the log's head or end went back
    std::uint64_t resets = 0; ///< records were lost to retention before they were read
    std::uint64_t voidedClaims = 0; ///< own claims that landed after this instance had given up
    std::uint64_t appends = 0;
    std::uint64_t entries = 0; ///< entries in those appends
};

class run_ledger
{
public:
    explicit run_ledger(ledger_options options);
    ~run_ledger();
    run_ledger(run_ledger &&) noexcept;
    run_ledger &operator=(run_ledger &&) noexcept;

    /// \name Events from the log
    /// \{
    void onRecords(const platform::log_batch &batch, common::instant now, common::wall_time wallNow);
    void onReadFailed(common::instant now, common::wall_time wallNow);
    void onAppendEnded(std::uint64_t id, common::result<platform::log_offset> outcome, common::instant now);
    /// Called at least every half of ledger_options::peerNotice; a longer gap makes absence uncertain.
    void onTimer(common::instant now);
    /// Whether any live peer says that it reaches the log.
    void setPeerReachesLog(bool reachable);
    /// Replaces ledger_options::appendInterval, as the number of instances that share the log changes.
    void setAppendInterval(common::duration interval);
    /// \}

    /// \name Commands of the runs slice
    /// \{
    run_view find(const run_key &run, common::wall_time wallNow) const;
    void claim(claim_request request, common::instant now);
    /// Records the outcome of a claimed stage; an empty \p answer leaves later stages open.
    void finishStage(const run_key &run, std::uint32_t stage, std::string result, std::string answer,
                     common::instant now);
    /// Records the final answer of a run whose stages are all done.
    void finishRun(const run_key &run, std::string answer, common::instant now);
    /// The claimed stage was sent and its answer is lost: the run waits to be settled.
    void markUnknown(const run_key &run, common::instant now);
    /// This instance has never sent the claimed stage's call and never will; also refuses a run without a record.
    void refuse(const run_key &run, common::instant now);
    /// Takes the run of an owner that is not live any more.
    void take(const run_key &run, common::instant now);
    /// A positive status answer, or an operator's word, settles a started stage.
    void settle(const run_key &run, std::uint32_t stage, std::string result, common::instant now);
    /// \}

    /// True when "no record of this key" is certain at \p wallNow for a key created at \p keyCreated.
    bool isAbsenceCertain(common::wall_time keyCreated, common::instant now) const;
    /// The log has been read up to its end since the start.
    bool isCaughtUp() const;
    bool isLogReachable() const;
    /// Caught up, and so long ago that no peer says "not run" without a record in the belief that nobody reaches the
    /// log. Before that the balancer sends this instance no request.
    bool isReady(common::instant now) const;
    /// Nothing of this instance is on its way to the log.
    bool isIdle() const;
    platform::log_offset nextOffset() const;

    /// Unfinished runs whose owner is in \p lost.
    std::vector<run_key> unfinishedRunsOf(const std::vector<std::string> &liveIncarnations) const;
    /// Runs that wait to be settled.
    std::vector<run_key> unknownRuns() const;
    std::size_t size() const;
    const ledger_counters &counters() const;
    /// Digest of the replayed state: equal on all instances that have read the same records from the first.
    std::string stateDigest() const;

    std::vector<append_action> takeAppends(common::instant now);
    std::vector<event> takeEvents();
    common::instant nextWakeUp() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticlever::ledger
