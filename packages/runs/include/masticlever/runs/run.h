#pragma once

#include <masticlever/common/call-id.h>
#include <masticlever/common/moment.h>
#include <masticlever/common/random-source.h>
#include <masticlever/common/run-key.h>
#include <masticlever/configuration/snapshot.h>
#include <masticlever/ledger/ledger.h>
#include <masticlever/routing/router.h>
#include <masticlever/runs/actions.h>
#include <masticlever/runs/stage-planner.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// State machine of one request that passes through the stages of its pipeline. It does no I/O: events go in, actions
/// come out.

namespace masticlever::runs
{

/// Objects shared by all runs of an instance.
struct run_environment {
    routing::router &router;
    ledger::run_ledger &ledger;
    stage_planner &planner;
    common::call_id_source &callIds;
    common::random_source &random;
    std::string incarnation; ///< of this instance
};

struct run_request {
    common::run_key key;
    std::string pipelineName;
    std::string body; ///< JSON
    std::string bodyDigest;
    bool wantsStream = false;
    int priority = 0;
    common::instant deadline;
};

class run
{
public:
    /// The run uses \p configuration until it ends, also when a newer one is applied.
    run(run_environment environment, run_request request, configuration::snapshot_ptr configuration,
        configuration::pipeline_spec pipeline);

    /// Continues a run from its ledger record, such as one taken over from a lost instance. A resumed run has no
    /// caller. Returns std::nullopt when the recorded position cannot be parsed.
    static std::optional<run> resume(run_environment environment, const common::run_key &key,
                                     const ledger::run_view &view, configuration::snapshot_ptr configuration,
                                     common::moment at);

    /// \name Events
    /// \{
    /// The request was received; called once, before any other event.
    void onArrival(common::moment at);
    void start(common::moment at);
    /// Waits for the run with the same key that is in progress on this instance. Replies with a conflict when that
    /// run's \p bodyDigest differs.
    void join(std::string_view bodyDigest, common::moment at);
    /// The joined run has ended; if the ledger has no record of it, this run starts.
    void onJoinedRunEnded(common::moment at);
    /// Admission refused the request. A run with a non-repeatable stage replies once the ledger confirms that it was
    /// not run.
    void refuseAdmission(std::string detail, common::duration retryAfter, common::moment at);
    void onText(const common::call_id &id, std::string_view text, common::moment at);
    void onCallEnded(const common::call_id &id, const call_end &ended, common::moment at);
    void onLedgerEvent(const ledger::event &event, common::moment at);
    void onTimer(common::moment at);
    void onCallerGone(common::moment at);
    /// \}

    common::instant nextWakeUp() const;
    /// Whether nothing is left to do.
    bool isDone() const { return m_phase == phase::done; }
    bool hasReplied() const { return m_replied; }
    /// Whether the reply was a complete answer, sent by the deadline.
    bool metDeadline() const { return m_metDeadline; }
    /// Whether the run is recorded in the ledger: its pipeline has a non-repeatable stage.
    bool isRecorded() const { return m_recorded; }
    std::vector<action> takeActions();

    const run_request &request() const { return m_request; }
    const configuration::pipeline_spec &pipeline() const { return m_pipeline; }
    /// Number of calls sent so far, by stage.
    const std::vector<std::uint32_t> &callsByStage() const { return m_callsByStage; }

private:
    enum class phase {
        idle,
        calling, ///< calls of a repeatable stage are in flight
        backing_off, ///< waits before the stage is retried
        claiming, ///< a claim is pending at the ledger
        sending, ///< the call of a non-repeatable stage is in flight
        querying, ///< a status query is in flight or scheduled
        joining, ///< waits for another run of the key, here or on another instance
        refusing, ///< a refusal is being recorded
        done,
    };

    struct attempt {
        common::call_id id;
        std::string endpoint;
        common::instant sentAt;
        common::instant timeoutAt;
        common::instant firstByteAt = common::instant::max();
        std::size_t matchedBytes = 0; ///< length of its text so far, all of it equal to the start of m_text
    };

    // Lifecycle, in run.cpp.
    const configuration::stage_spec &stage() const { return m_pipeline.stages[m_stage]; }
    stage_ref stageRef() const;
    void beginStage(common::moment at);
    void completeStage(std::string result, common::moment at);
    void completeRun(common::moment at);
    void continueInBackground(std::string detail, common::moment at);
    void replyWith(reply what, common::moment at);
    void finishWithoutResult(std::string detail, common::duration retryAfter, common::moment at);
    void onDeadline(common::moment at);
    void end();
    bool isLastStage() const { return m_stage + 1 == m_pipeline.stages.size(); }
    bool ownsRun(common::moment at) const;

    // Repeatable stages, in run-repeatable.cpp.
    void sendAttempt(common::moment at);
    /// The part of \p text that extends m_text; std::nullopt when \p text differs from the text already received.
    std::optional<std::string_view> newText(attempt &call, std::string_view text) const;
    void onTextMismatch(common::moment at);
    /// Whether text of the current stage is forwarded to the caller.
    bool isTextForwarded() const;
    void retryOrFinish(std::string detail, common::duration retryAfter, common::moment at);
    void backOff(common::moment at);
    void retryStage(common::moment at);
    void onAttemptEnded(std::size_t index, const call_end &ended, common::moment at);
    void onRepeatableTimer(common::moment at);
    void cancelAttempts(common::moment at);
    void dropAttempt(std::size_t index, routing::call_outcome outcome, common::moment at);
    std::optional<routing::candidate> choose(common::moment at);
    /// Registers a call of the current stage to \p target. Returns its action without the fields that only repeatable
    /// or only non-repeatable stages set.
    send_call beginCall(const routing::candidate &target, common::instant timeoutAt, common::moment at);
    common::duration remaining(common::moment at) const;

    // Non-repeatable stages, in run-once.cpp.
    /// Returns whether the run may start. Otherwise it has replied, or waits for another run of the key.
    bool checkLedgerBeforeStart(common::moment at);
    void replyKeyOnHold(common::duration holdRemaining, common::moment at);
    void beginClaim(common::moment at);
    void sendNonRepeatable(common::moment at);
    void onNonRepeatableEnded(const call_end &ended, common::moment at);
    void onClaimUnavailable(bool certain, common::moment at);
    /// Replies if the ledger has an outcome for the key; otherwise the run keeps waiting.
    void applyLedgerView(common::moment at);
    void beginQueries(common::moment at);
    void sendQuery(common::moment at);
    bool cancelQuery();
    void onQueryEnded(const call_end &ended, common::moment at);
    void finishAsUnknown(common::moment at);
    void refuseClaim(std::string detail, common::duration retryAfter, common::moment at);
    void onLedgerChange(common::moment at);
    bool takeSettledResult(common::moment at);
    std::string idempotencyKey() const;

    run_environment m_environment;
    run_request m_request;
    configuration::snapshot_ptr m_configuration;
    configuration::pipeline_spec m_pipeline;
    std::vector<std::string> m_results; ///< JSON by stage
    std::vector<std::uint32_t> m_callsByStage;
    std::vector<action> m_actions;
    std::vector<attempt> m_attempts;
    std::vector<std::string> m_triedEndpoints; ///< in the current round of the stage, oldest first
    std::string m_text; ///< text received from the current streamed stage
    std::string m_refusalDetail;
    common::duration m_refusalRetryAfter{};
    common::instant m_wakeUp = common::instant::max();
    common::instant m_hedgeAt = common::instant::max();
    common::instant m_arrivedAt = common::instant::max();
    ledger::epoch m_epoch = 0;
    ledger::epoch m_fencing = 0;
    std::uint32_t m_stage = 0;
    std::vector<std::string> m_queryTargets; ///< endpoints of the pool, by name
    std::uint32_t m_queries = 0;
    std::uint32_t m_backoffs = 0; ///< of the current stage
    std::uint32_t m_refusalRequests = 0; ///< refusals requested from the ledger
    phase m_phase = phase::idle;
    bool m_recorded = false;
    bool m_claimed = false; ///< this instance was granted a claim of this run
    bool m_mustFinish = false; ///< a non-repeatable stage has a result, or the run was resumed
    bool m_background = false; ///< no caller is waiting
    bool m_replied = false;
    bool m_metDeadline = false;
    bool m_answerRecorded = false; ///< the final answer was passed to the ledger
};

/// The final answer of a finished run as JSON, from ledger::run_view::answer.
std::string answerJson(std::string_view recordedAnswer);

struct stage_label {
    std::string name;
    bool hasStatusQuery = false;
};

/// The claimed stage of \p view; empty when its position does not parse.
stage_label claimedStage(const ledger::run_view &view);

} // namespace masticlever::runs
