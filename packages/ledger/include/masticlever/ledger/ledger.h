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
/// Replicated ledger of runs that have non-repeatable stages. Position and owner of a run are written in the same
/// record, and a record whose expected epoch is not the run's current epoch has no effect.

namespace masticlever::ledger
{

using common::run_key;

/// Offset of the record that last changed a run's owner or claim; 0 for a run without a record.
using epoch = platform::log_offset;

enum class run_standing {
    absent, ///< no record, or refused; may be claimed
    started, ///< a stage was claimed and has no outcome yet; it may have run
    between_stages, ///< the last claimed stage has an outcome; later stages are not claimed yet
    finished, ///< the final answer is recorded
    expired, ///< the key is older than the window; its history is not known
};

/// State of a run according to the replayed log.
struct run_view {
    run_standing standing = run_standing::absent;
    epoch at = 0;
    std::string bodyDigest;
    std::string pipeline;
    std::string owner; ///< incarnation of the owning instance
    std::string nonce; ///< of the newest claim
    std::uint32_t stage = 0; ///< index of the newest claimed stage
    std::string position; ///< from the newest claim; the ledger does not interpret it
    std::string stageResult; ///< of the newest claimed stage, if known
    std::string answer; ///< final answer of the run
    bool unknown = false; ///< started, but the owner is gone or gave up on the answer; must be settled
    common::wall_time changedAt; ///< by the log service's clock
    common::wall_time claimableFrom; ///< of a refused run; claims for requests that arrived earlier have no effect
};

struct claim_request {
    run_key run;
    std::string bodyDigest;
    std::string pipeline;
    std::uint32_t stage = 0;
    std::string position; ///< the request and the results so far; another instance can resume from it
    /// The run's current epoch. For the first stage, the epoch that find() returned when the request arrived: with a
    /// later one, a copy of the request that was queued here could undo a refusal by another instance.
    epoch expected = 0;
    /// Arrival time of the request. A request that arrived before the log became reachable again is not claimed.
    common::instant arrivedAt = common::instant::max();
};

/// The claim is in effect: only this instance may send the stage's call, and only once.
struct claim_granted {
    run_key run;
    std::uint32_t stage = 0;
    epoch fencing = 0;
};

/// The claim or refusal has no effect because another record of the run came first; see find(). Also a result of
/// refuse().
struct claim_lost {
    run_key run;
    std::uint32_t stage = 0;
};

/// The log could not be written or read in time. This instance will never send the call. Also a result of refuse().
/// \a certain: no other instance has claimed or will claim the run for this submission either.
struct claim_unavailable {
    run_key run;
    std::uint32_t stage = 0;
    bool certain = false;
};

/// The refusal requested by refuse() is in effect: claims that expect an earlier epoch have no effect any more.
struct refusal_recorded {
    run_key run;
};

/// This instance has taken over the run of a lost owner and resumes from its position.
struct run_taken {
    run_key run;
    run_view view;
};

/// The run's standing, result or answer has changed.
struct run_changed {
    run_key run;
};

using event = std::variant<claim_granted, claim_lost, claim_unavailable, refusal_recorded, run_taken, run_changed>;

/// One append to the log service; the caller reports its outcome to onAppendEnded().
struct append_action {
    std::uint64_t id = 0;
    std::string payload;
};

struct ledger_options {
    std::string incarnation;
    common::duration claimTimeout = std::chrono::milliseconds(1500); ///< for the append and read-back of one claim
    std::chrono::milliseconds window = std::chrono::hours(24); ///< age at which keys expire
    /// Largest skew between the clocks of callers and instances.
    std::chrono::milliseconds clockSkew = std::chrono::seconds(1);
    std::size_t maxEntriesPerRecord = 256;
    std::size_t maxRecordBytes = 1048576;
    /// Minimum time between two appends of this instance, which keeps it within its share of the log's append rate.
    common::duration appendInterval{0};
    /// Time after a refusal during which arriving requests cannot claim the key; covers copies of the request that are
    /// still in transit. Raised to claimTimeout + readTimeout + two seconds of transit if it is less.
    std::chrono::milliseconds refusalHold = std::chrono::seconds(7);
    std::chrono::milliseconds peerNotice = std::chrono::seconds(1); ///< largest age of peers' reports on the log
    /// After a longer outage of the log, keys created before its end cannot be claimed for refusalHold.
    std::chrono::milliseconds toleratedOutage = std::chrono::seconds(1);
    /// The log counts as unreachable after this time without a successful read, also if the process itself stalled.
    /// Reads wait for at most a third of it.
    common::duration readTimeout = std::chrono::seconds(3);
    /// Age of the last full record of an unfinished run at which a checkpoint is written; well below the log's
    /// retention.
    std::chrono::milliseconds checkpointAfter = std::chrono::hours(6);
    common::duration retryInterval = std::chrono::milliseconds(500); ///< between appends of the same outcome
    common::duration maxReadAge = std::chrono::seconds(1); ///< age at which a read no longer proves absence
};

/// Counts since the process started, for metrics.
struct ledger_counters {
    std::uint64_t malformedRecords = 0; ///< skipped, by all instances alike
    std::uint64_t rejectedBatches = 0; ///< the log's head or end had moved backwards
    std::uint64_t resets = 0; ///< state dropped because retention removed records before they were read
    std::uint64_t voidedClaims = 0; ///< own claims that took effect after this instance had given up
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
    /// Must be called at least twice per ledger_options::peerNotice; after a gap longer than that, absence is
    /// uncertain.
    void onTimer(common::instant now);
    /// Sets whether any live peer reports that it can reach the log.
    void setPeerReachesLog(bool reachable);
    /// Replaces ledger_options::appendInterval; to be called when the number of instances that share the log changes.
    void setAppendInterval(common::duration interval);
    /// \}

    /// \name Commands of the runs package
    /// \{
    run_view find(const run_key &run, common::wall_time wallNow) const;
    void claim(claim_request request, common::instant now);
    /// Records the outcome of a claimed stage; with an empty \p answer, later stages can still be claimed.
    void finishStage(const run_key &run, std::uint32_t stage, std::string result, std::string answer,
                     common::instant now);
    /// Records the final answer of a run whose stages are all done.
    void finishRun(const run_key &run, std::string answer, common::instant now);
    /// Marks a run whose claimed stage was sent and whose answer is lost; the run must then be settled.
    void markUnknown(const run_key &run, common::instant now);
    /// Records that the claimed stage is not run: this instance has not sent its call and never will. Also refuses a
    /// run without a record.
    void refuse(const run_key &run, common::instant now);
    /// Takes over the run of an owner that is no longer live.
    void take(const run_key &run, common::instant now);
    /// Records the result of a started stage as learned from a positive status answer or an operator.
    void settle(const run_key &run, std::uint32_t stage, std::string result, common::instant now);
    /// \}

    /// Whether it is certain at \p now that no record exists of a key created at \p keyCreated.
    bool isAbsenceCertain(common::wall_time keyCreated, common::instant now) const;
    /// Whether the log has been read up to its end since the process started.
    bool isCaughtUp() const;
    bool isLogReachable() const;
    /// Caught up, and the first read is long enough ago that no peer still believes that no instance reaches the log
    /// and answers "not run" without a record. Until then the balancer sends this instance no requests.
    bool isReady(common::instant now) const;
    /// Whether no entry of this instance still has to be appended or read back.
    bool isIdle() const;
    platform::log_offset nextOffset() const;

    /// Unfinished runs whose owner is not in \p liveIncarnations.
    std::vector<run_key> unfinishedRunsOf(const std::vector<std::string> &liveIncarnations) const;
    /// Runs that must be settled.
    std::vector<run_key> unknownRuns() const;
    std::size_t size() const;
    const ledger_counters &counters() const;
    /// Digest of the replayed state; equal on all instances that have read the same records from the first one on.
    std::string stateDigest() const;

    std::vector<append_action> takeAppends(common::instant now);
    std::vector<event> takeEvents();
    common::instant nextWakeUp() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticlever::ledger
