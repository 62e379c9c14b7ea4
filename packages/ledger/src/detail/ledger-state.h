#pragma once

#include "detail/outbox.h"
#include "detail/reachability.h"
#include "detail/run-table.h"

#include <algorithm>
#include <unordered_map>

/// \file
/// State behind run_ledger: the replayed table, what this instance has under way, and its events.

namespace masticlever::ledger
{

struct run_ledger::state {
    struct pending_claim {
        run_key run;
        std::uint32_t stage = 0;
        common::instant deadline;
    };
    struct pending_refusal {
        epoch asked = 0; ///< epoch that the refusal moves on
        std::uint64_t token = 0; ///< in the entries sent for it
        common::instant deadline;
        bool isRecorded = false;
    };

    explicit state(ledger_options given) : options(std::move(given)), out(options), reach(options)
    {
        const common::duration least = options.claimTimeout + options.readTimeout + detail::longestTransit;
        const auto shortest = std::chrono::ceil<std::chrono::milliseconds>(least);
        options.refusalHold = std::max(options.refusalHold, shortest);
    }

    void onBatch(const platform::log_batch &batch, common::instant now, common::wall_time wallNow);
    void endOverdue(common::instant now);
    void beginClaim(claim_request request, common::instant now);
    void beginRefusal(const run_key &run, common::instant now);
    void beginTake(const run_key &run, common::instant now);
    void endClaim(const std::string &nonce, common::instant now);
    run_view viewOf(const run_key &run, common::wall_time wallNow) const;
    const detail::open_part *openClaim(const run_key &run, std::uint32_t stage) const;
    common::instant nextDeadline() const;

    ledger_options options;
    detail::run_table table;
    detail::outbox out;
    detail::reachability reach;
    platform::log_offset next = 1;
    platform::log_offset head = 1;
    std::uint64_t nonces = 0;
    std::uint64_t tokens = 0;
    std::unordered_map<std::string, pending_claim> claims; ///< by nonce
    std::unordered_map<run_key, pending_refusal> refusals;
    std::vector<event> events;
    ledger_counters counters;
    common::instant nextCarryCheck;

private:
    bool acceptBatch(const platform::log_batch &batch, common::wall_time wallNow);
    void applyRecord(const platform::log_record &record, common::instant now);
    void onEntryRead(const detail::entry &e, detail::effect result, common::instant now);
    void onClaimRead(const detail::claim_entry &e, detail::effect result, common::instant now);
    void sendVoid(const run_key &run, const std::string &nonce, common::instant now);
    void noteRefusal(const detail::entry &e, detail::effect result);
    std::optional<event> endOfRefusal(const run_key &run, const pending_refusal &refusal, common::instant now) const;
    void settleRefusals(common::instant now);
    detail::refuse_entry refusalOf(const run_key &run, const std::string &nonce, epoch expected) const;
    void sendRefusal(const run_key &run, common::instant now);
    void notify(const run_key &run);
    void carryOldRuns(common::instant now, common::wall_time wallNow);
    common::wall_time windowEnd(const run_key &run) const { return common::keyTime(run.key) + options.window; }
    bool isOwn(const std::string &incarnation) const { return incarnation == options.incarnation; }
    bool isNotRunCertain(const run_key &run, common::instant now) const;
    bool isOwnClaim(const detail::run_state &present) const;
    bool isHopeless(const claim_request &request) const;
};

} // namespace masticlever::ledger
