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
/// One request on its way through the stages of its pipeline: a decision object.

namespace masticlever::runs
{

/// The objects that all runs of an instance share.
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
    /// \p configuration stays in force for this run to its end.
    run(run_environment environment, run_request request, configuration::snapshot_ptr configuration,
        configuration::pipeline_spec pipeline);

    /// Goes on with a run that this instance has taken from a lost owner; it has no caller.
    static std::optional<run> resume(run_environment environment, const common::run_key &key,
                                     const ledger::run_view &view, configuration::snapshot_ptr configuration,
                                     common::moment at);

    /// \name Events
    /// \{
    /// The request has come in; said once, before any other event.
    void noteArrival(common::moment at);
    void start(common::moment at);
    /// Waits for the run of the same key that is under way on this instance.
    void join(std::string_view bodyDigest, common::moment at);
    /// The run that this one has joined is over; without a record of it this one starts.
    void onJoinedEnded(common::moment at);
    /// Admission refuses the request; the reply waits until "not run" is certain.
    void refuseAtDoor(std::string detail, common::duration retryAfter, common::moment at);
    void onText(const common::call_id &id, std::string_view text, common::moment at);
    void onCallEnded(const common::call_id &id, const call_end &ended, common::moment at);
    void onLedgerEvent(const ledger::event &event, common::moment at);
    void onTimer(common::moment at);
    void onCallerGone(common::moment at);
    /// \}

    common::instant nextWakeUp() const;
    /// Nothing is left to do.
    bool isDone() const { return m_phase == phase::done; }
    bool hasReplied() const { return m_replied; }
    /// The last reply was a whole answer within the deadline.
    bool metDeadline() const { return m_metDeadline; }
    /// Has a stage that may not be repeated.
    bool isRecorded() const { return m_recorded; }
    std::vector<action> takeActions();

    const run_request &request() const { return m_request; }
    const configuration::pipeline_spec &pipeline() const { return m_pipeline; }
    /// Calls sent so far, by stage.
    const std::vector<std::uint32_t> &callsByStage() const { return m_calls; }

private:
    enum class phase {
        idle,
        calling, ///< a repeatable stage is under way
        waiting, ///< before the next try of a repeatable stage
        claiming, ///< the ledger has been asked
        sending, ///< the non-repeatable call is under way
        querying, ///< a status query is under way, or due
        joining, ///< another instance runs it
        refusing, ///< a refusal is being recorded
        done,
    };

    struct attempt {
        common::call_id id;
        std::string endpoint;
        common::instant sentAt;
        common::instant timeoutAt;
        common::instant firstByteAt = common::instant::max();
        std::size_t matched = 0; ///< bytes of its text that equal text which an earlier call has yielded
    };

    // Lifecycle, in run.cpp.
    const configuration::stage_spec &stage() const { return m_pipeline.stages[m_stage]; }
    stage_ref stageRef() const;
    void beginStage(common::moment at);
    void completeStage(std::string result, common::moment at);
    void completeRun(common::moment at);
    void continueWithoutCaller(std::string detail, common::moment at);
    void replyWith(reply what, common::moment at);
    void finishWithout(std::string detail, common::duration retryAfter, common::moment at);
    void onDeadline(common::moment at);
    void end();
    bool isLastStage() const { return m_stage + 1 == m_pipeline.stages.size(); }
    bool ownsRun(common::moment at) const;

    // Repeatable stages, in run-repeatable.cpp.
    void sendAttempt(common::moment at);
    /// The part of \p text that is new; nothing when it contradicts what the caller already has.
    std::optional<std::string_view> newText(attempt &from, std::string_view text) const;
    void onContradiction(common::moment at);
    bool isTextSent() const;
    void retryOrFinish(std::string detail, common::duration retryAfter, common::moment at);
    void waitForRetry(common::moment at);
    void tryStageAgain(common::moment at);
    void onAttemptEnded(std::size_t index, const call_end &ended, common::moment at);
    void onRepeatableTimer(common::moment at);
    void cancelAttempts(common::moment at);
    void dropAttempt(std::size_t index, routing::call_outcome outcome, common::moment at);
    std::optional<routing::candidate> choose(common::moment at);
    /// Counts a call of the present stage to \p target and gives its action without what only one kind of stage has.
    send_call beginCall(const routing::candidate &target, common::instant timeoutAt, common::moment at);
    common::duration remaining(common::moment at) const;

    // Non-repeatable stages, in run-once.cpp.
    bool openRecorded(common::moment at);
    void replyHeld(common::duration left, common::moment at);
    void beginClaim(common::moment at);
    void sendOnce(common::moment at);
    void onOnceEnded(const call_end &ended, common::moment at);
    void onClaimUnavailable(bool certain, common::moment at);
    void onLedgerView(common::moment at);
    void beginQueries(common::moment at);
    void sendQuery(common::moment at);
    bool cancelQuery();
    void onQueryEnded(const call_end &ended, common::moment at);
    void giveUpAsUnknown(common::moment at);
    void refuseClaim(std::string detail, common::duration retryAfter, common::moment at);
    void onLedgerChange(common::moment at);
    bool takeSettledResult(common::moment at);
    std::string idempotencyKey() const;

    run_environment m_environment;
    run_request m_request;
    configuration::snapshot_ptr m_configuration;
    configuration::pipeline_spec m_pipeline;
    std::vector<std::string> m_results; ///< JSON by stage
    std::vector<std::uint32_t> m_calls;
    std::vector<action> m_actions;
    std::vector<attempt> m_attempts;
    std::vector<std::string> m_tried;
    std::string m_text; ///< text of the streamed stage so far
    std::string m_refusalDetail;
    common::duration m_refusalRetryAfter{};
    common::instant m_wakeUp = common::instant::max();
    common::instant m_hedgeAt = common::instant::max();
    common::instant m_arrivedAt = common::instant::max();
    ledger::epoch m_epoch = 0;
    ledger::epoch m_fencing = 0;
    std::uint32_t m_stage = 0;
    std::vector<std::string> m_queryTargets; ///< names of the pool's endpoints
    std::uint32_t m_queries = 0;
    std::uint32_t m_waits = 0;
    std::uint32_t m_refusals = 0; ///< asked of the ledger
    phase m_phase = phase::idle;
    bool m_recorded = false;
    bool m_claimed = false; ///< a claim of this run has been granted here
    bool m_ranOnce = false; ///< a non-repeatable stage has its outcome: the run must be finished
    bool m_background = false; ///< no caller waits any more
    bool m_replied = false;
    bool m_metDeadline = false;
    bool m_answerRecorded = false; ///< the ledger was given the final answer
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
