#include "detail/ledger-state.h"

namespace masticlever::ledger
{

using common::instant;
using detail::effect;
using detail::entry;
using detail::run_phase;

void run_ledger::state::sendVoid(const run_key &run, const std::string &nonce, instant now)
{
    ++counters.voidedClaims;
    out.add(refusalOf(run, nonce, 0), now);
}

detail::refuse_entry run_ledger::state::refusalOf(const run_key &run, const std::string &nonce, epoch expected) const
{
    const auto asked = refusals.find(run);
    const std::uint64_t token = asked == refusals.end() ? 0 : asked->second.token;
    return {run, options.incarnation, nonce, expected, token, windowEnd(run), options.refusalHold};
}

void run_ledger::state::noteRefusal(const entry &e, effect result)
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

/// Only an own refusal that was sent after it was asked for and is read back before its deadline counts: nobody can
/// have claimed behind it, as the deadline lies within refusalHold of its append.
std::optional<event> run_ledger::state::endOfRefusal(const run_key &run, const pending_refusal &refusal,
                                                     instant now) const
{
    const detail::run_state *present = table.find(run);
    if (!present || present->at == refusal.asked || now >= refusal.deadline) {
        return std::nullopt;
    }
    if (present->phase == run_phase::refused) {
        return refusal.isRecorded ? std::optional<event>(refusal_recorded{run}) : std::nullopt;
    }
    const bool isBeingVoided = isOwnClaim(*present) && out.isOutstanding(run);
    return isBeingVoided ? std::nullopt : std::optional<event>(claim_lost{run, 0});
}

/// A refusal by another instance has moved the epoch: this instance's own is sent again, for the new epoch.
void run_ledger::state::settleRefusals(instant now)
{
    std::vector<run_key> repeated;
    for (auto it = refusals.begin(); it != refusals.end();) {
        const auto end = endOfRefusal(it->first, it->second, now);
        if (end) {
            events.push_back(*end);
            it = refusals.erase(it);
            continue;
        }
        const detail::run_state *present = table.find(it->first);
        if (present && present->phase == run_phase::refused && present->at != it->second.asked) {
            it->second.asked = present->at;
            repeated.push_back(it->first);
        }
        ++it;
    }
    for (const run_key &run : repeated) {
        sendRefusal(run, now);
    }
}

void run_ledger::state::beginRefusal(const run_key &run, instant now)
{
    std::erase_if(claims, [&](const auto &item) {
        if (item.second.run == run) {
            out.withdrawClaim(item.first);
        }
        return item.second.run == run;
    });
    const detail::run_state *present = table.find(run);
    refusals[run] = {present ? present->at : 0, ++tokens, now + options.claimTimeout};
    if (present && isOwnClaim(*present)) {
        sendVoid(run, present->open->nonce, now);
        return;
    }
    const bool isOthers = present && present->phase != run_phase::refused;
    if (isOthers || (!present && table.mayPrecedeStart(run))) {
        refusals.erase(run);
        events.emplace_back(claim_lost{run, 0});
        return;
    }
    sendRefusal(run, now);
}

void run_ledger::state::sendRefusal(const run_key &run, instant now)
{
    const detail::run_state *present = table.find(run);
    out.add(refusalOf(run, {}, present ? present->at : 0), now);
}

} // namespace masticlever::ledger
