#pragma once

#include "detail/outbox.h"
#include "detail/reachability.h"
#include "detail/run-table.h"

#include <algorithm>
#include <unordered_map>

/// \file
/// State of run_ledger: the replayed table, the claims and refusals in progress, and the events to report.

namespace masticlever::ledger
{

struct run_ledger::state {
    struct pending_claim {
        run_key run;
        std::uint32_t stage = 0;
        common::instant deadline;
    };
    struct pending_refusal {
        epoch supersededEpoch = 0; ///< epoch that the refusal replaces
        std::uint64_t token = 0; ///< in the entries sent for this refusal
        common::instant deadline;
        bool isRecorded = false;
    };

    explicit state(ledger_options given) : options(std::move(given)), outgoing(options), logReachability(options)
    {
        const common::duration required = options.claimTimeout + options.readTimeout + detail::maxTransit;
        const auto minimumHold = std::chrono::ceil<std::chrono::milliseconds>(required);
        options.refusalHold = std::max(options.refusalHold, minimumHold);
    }

    void onBatch(const platform::log_batch &batch, common::instant now, common::wall_time wallNow);
    void failOverdue(common::instant now);
    void beginClaim(claim_request request, common::instant now);
    void beginRefusal(const run_key &run, common::instant now);
    void beginTake(const run_key &run, common::instant now);
    void failClaim(const std::string &nonce, common::instant now);
    run_view viewOf(const run_key &run, common::wall_time wallNow) const;
    const detail::open_run *openClaim(const run_key &run, std::uint32_t stage) const;
    common::instant nextDeadline() const;

    ledger_options options;
    detail::run_table table;
    detail::outbox outgoing;
    detail::reachability logReachability;
    platform::log_offset next = 1; ///< offset of the next record to read
    platform::log_offset head = 1; ///< the log's lowest retained offset, as last read
    std::uint64_t lastNonce = 0;
    std::uint64_t lastToken = 0;
    std::unordered_map<std::string, pending_claim> claims; ///< by nonce
    std::unordered_map<run_key, pending_refusal> refusals;
    std::vector<event> events;
    ledger_counters counters;
    common::instant nextCheckpointScan;

private:
    bool acceptBatch(const platform::log_batch &batch, common::wall_time wallNow);
    void applyRecord(const platform::log_record &record, common::instant now);
    void onEntryRead(const detail::entry &e, detail::effect result, common::instant now);
    void onClaimRead(const detail::claim_entry &e, detail::effect result, common::instant now);
    void voidOwnClaim(const run_key &run, const std::string &nonce, common::instant now);
    void confirmOwnRefusal(const detail::entry &e, detail::effect result);
    std::optional<event> refusalOutcome(const run_key &run, const pending_refusal &refusal, common::instant now) const;
    void completeRefusals(common::instant now);
    detail::refuse_entry makeRefusal(const run_key &run, const std::string &nonce, epoch expected) const;
    void sendRefusal(const run_key &run, common::instant now);
    void notify(const run_key &run);
    void checkpointOldRuns(common::instant now, common::wall_time wallNow);
    common::wall_time windowEnd(const run_key &run) const { return common::keyTime(run.key) + options.window; }
    bool isOwn(const std::string &incarnation) const { return incarnation == options.incarnation; }
    bool isCertainlyNotRun(const run_key &run, common::instant now) const;
    bool isOwnClaim(const detail::run_state &current) const;
    bool isAlreadyLost(const claim_request &request) const;
};

} // namespace masticlever::ledger
