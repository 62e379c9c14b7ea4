#include "detail/run-table.h"

#include <masticlever/common/digest.h>

namespace masticlever::ledger::detail
{

namespace
{

/// Time after the key's creation for which outcomes are still sent for runs whose records were truncated away.
constexpr std::chrono::milliseconds orphanOutcomeRetention = std::chrono::hours(48);

/// Whether an entry can no longer have an effect on a run in \a state.
struct obsolete_check {
    const run_state &state;

    bool isOpenClaim(const std::string &nonce) const
    {
        return state.open && state.open->claimed && state.open->nonce == nonce;
    }
    bool operator()(const claim_entry &e) const { return state.at != e.expected; }
    bool operator()(const finish_entry &e) const { return !isOpenClaim(e.nonce); }
    bool operator()(const settle_entry &e) const { return !isOpenClaim(e.nonce); }
    bool operator()(const unknown_entry &e) const { return !isOpenClaim(e.nonce) || state.open->unknown; }
    bool operator()(const answer_entry &e) const { return !state.open || state.at != e.expected; }
    bool operator()(const take_entry &e) const { return !state.open || state.at != e.expected; }
    bool operator()(const refuse_entry &e) const
    {
        return e.nonce.empty() ? state.at != e.expected : !isOpenClaim(e.nonce);
    }
    bool operator()(const checkpoint_entry &e) const
    {
        return !state.open || state.open->checkpointedAt != e.open.checkpointedAt;
    }
};

} // namespace

bool run_table::isObsolete(const entry &e) const
{
    const run_key &run = runOf(e);
    if (const run_state *state = find(run)) {
        return std::visit(obsolete_check{*state}, e);
    }
    if (mayHaveUnreadRecords(run)) {
        return common::keyTime(run.key) + orphanOutcomeRetention < m_logTime;
    }
    const auto *refusal = std::get_if<refuse_entry>(&e);
    const bool isFirstRefusal = refusal && refusal->nonce.empty() && refusal->expected == 0;
    return !isFirstRefusal || refusal->until < m_logTime;
}

std::string run_table::digest() const
{
    std::string all;
    for (const auto &[key, state] : m_runs) {
        const run_key run = unpack(key);
        all += run.team + '/' + run.key + '/' + std::to_string(state.at) + '/' + std::to_string(int(state.phase)) + '/'
            + state.digestAndAnswer + '/' + pipelineName(state.pipeline) + '/'
            + std::to_string(state.changedAt.time_since_epoch().count());
        if (const open_run *open = state.open.get()) {
            all += '/' + open->position + '/' + open->owner + '/' + open->nonce + '/' + open->doneResult + '/'
                + std::to_string(open->claimed ? int(*open->claimed) : -1) + '/'
                + std::to_string(open->done ? int(*open->done) : -1) + '/' + std::to_string(int(open->unknown));
        }
        all += '\n';
    }
    return common::sha256Hex(all);
}

} // namespace masticlever::ledger::detail
