#include "detail/ledger-state.h"

namespace masticlever::ledger
{

using common::instant;
using detail::effect;
using detail::entry;
using detail::run_phase;

void run_ledger::state::voidOwnClaim(const run_key &run, const std::string &nonce, instant now)
{
    ++counters.voidedClaims;
    outgoing.add(makeRefusal(run, nonce, 0), now);
}

detail::refuse_entry run_ledger::state::makeRefusal(const run_key &run, const std::string &nonce, epoch expected) const
{
    const auto pending = refusals.find(run);
    const std::uint64_t token = pending == refusals.end() ? 0 : pending->second.token;
    return {run, options.incarnation, nonce, expected, token, windowEnd(run), options.refusalHold};
}

void run_ledger::state::confirmOwnRefusal(const entry &e, effect result)
{
    const auto *refusal = std::get_if<detail::refuse_entry>(&e);
    if (result != effect::refused || !refusal || !isOwn(refusal->owner)) {
        return;
    }
    const auto found = refusals.find(refusal->run);
    if (found != refusals.end() && found->second.token == refusal->token) {
        found->second.isRecorded = true;
    }
}

/// Returns the event that completes the refusal, if there is one yet. Only a refusal that this instance sent for this
/// request and read back before the deadline counts: the deadline lies within refusalHold of the append, so no instance
/// can have claimed the run after it.
std::optional<event> run_ledger::state::refusalOutcome(const run_key &run, const pending_refusal &refusal,
                                                       instant now) const
{
    const detail::run_state *current = table.find(run);
    if (!current || current->at == refusal.supersededEpoch || now >= refusal.deadline) {
        return std::nullopt;
    }
    if (current->phase == run_phase::refused) {
        return refusal.isRecorded ? std::optional<event>(refusal_recorded{run}) : std::nullopt;
    }
    const bool isBeingVoided = isOwnClaim(*current) && outgoing.hasEntryFor(run);
    return isBeingVoided ? std::nullopt : std::optional<event>(claim_lost{run, 0});
}

/// If a refusal by another instance has advanced the epoch, this instance's own is sent again for the new epoch.
void run_ledger::state::completeRefusals(instant now)
{
    std::vector<run_key> toResend;
    for (auto it = refusals.begin(); it != refusals.end();) {
        const auto end = refusalOutcome(it->first, it->second, now);
        if (end) {
            events.push_back(*end);
            it = refusals.erase(it);
            continue;
        }
        const detail::run_state *current = table.find(it->first);
        if (current && current->phase == run_phase::refused && current->at != it->second.supersededEpoch) {
            it->second.supersededEpoch = current->at;
            toResend.push_back(it->first);
        }
        ++it;
    }
    for (const run_key &run : toResend) {
        sendRefusal(run, now);
    }
}

void run_ledger::state::beginRefusal(const run_key &run, instant now)
{
    std::erase_if(claims, [&](const auto &item) {
        if (item.second.run == run) {
            outgoing.withdrawClaim(item.first);
        }
        return item.second.run == run;
    });
    const detail::run_state *current = table.find(run);
    refusals[run] = {current ? current->at : 0, ++lastToken, now + options.claimTimeout};
    if (current && isOwnClaim(*current)) {
        voidOwnClaim(run, current->open->nonce, now);
        return;
    }
    const bool isAlreadyClaimed = current && current->phase != run_phase::refused;
    if (isAlreadyClaimed || (!current && table.mayHaveUnreadRecords(run))) {
        refusals.erase(run);
        events.emplace_back(claim_lost{run, 0});
        return;
    }
    sendRefusal(run, now);
}

void run_ledger::state::sendRefusal(const run_key &run, instant now)
{
    const detail::run_state *current = table.find(run);
    outgoing.add(makeRefusal(run, {}, current ? current->at : 0), now);
}

} // namespace masticlever::ledger
