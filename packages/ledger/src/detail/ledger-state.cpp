#include "detail/ledger-state.h"

#include <masticlever/common/digest.h>

#include <algorithm>
#include <utility>

namespace masticlever::ledger
{

using common::instant;
using common::wall_time;
using detail::effect;
using detail::entry;
using detail::run_phase;

namespace
{

/// Spreads the instances' checkpoints over checkpointAfter / checkpointSpread, so that mostly just one instance writes
/// the checkpoint of a run.
constexpr int checkpointSpread = 4;
constexpr std::chrono::seconds checkpointScanInterval{60};

std::int64_t nonNegativeHash(const std::string &name)
{
    return static_cast<std::int64_t>(common::stableHash(name) >> 1U);
}

run_standing standingOf(const detail::run_state &state)
{
    switch (state.phase) {
    case run_phase::refused:
        return run_standing::absent;
    case run_phase::finished:
        return run_standing::finished;
    case run_phase::open:
        break;
    }
    return state.open->claimed ? run_standing::started : run_standing::between_stages;
}

void fillOpenRun(run_view &view, const detail::open_run &open)
{
    view.owner = open.owner;
    view.nonce = open.nonce;
    view.position = open.position;
    view.unknown = open.unknown;
    view.stage = open.claimed.value_or(open.done.value_or(0));
    view.stageResult = open.claimed ? std::string() : open.doneResult;
}

} // namespace

bool run_ledger::state::acceptBatch(const platform::log_batch &batch, wall_time wallNow)
{
    if (batch.end < next || batch.head < head || batch.end < batch.head) {
        ++counters.rejectedBatches;
        logReachability.requireCatchUp();
        return false;
    }
    head = batch.head;
    if (head > next) {
        counters.resets += next > 1 ? 1 : 0;
        next = head;
        logReachability.requireCatchUp();
        table.resetAfterTruncation(batch.records.empty() ? wallNow : batch.records.front().appendedAt);
    }
    return true;
}

void run_ledger::state::onBatch(const platform::log_batch &batch, instant now, wall_time wallNow)
{
    if (!acceptBatch(batch, wallNow)) {
        return;
    }
    for (const platform::log_record &record : batch.records) {
        if (record.offset == next) {
            ++next;
            applyRecord(record, now);
        }
    }
    const bool wasReachable = logReachability.isReachable();
    logReachability.onReadEnded(next == batch.end, now, wallNow);
    outgoing.prune(table);
    completeRefusals(now);
    if (logReachability.isCaughtUp() && (now >= nextCheckpointScan || !wasReachable)) {
        nextCheckpointScan = now + checkpointScanInterval;
        checkpointOldRuns(now, wallNow);
    }
}

void run_ledger::state::applyRecord(const platform::log_record &record, instant now)
{
    table.advance(record.appendedAt);
    auto entries = detail::decodeRecord(record.payload);
    if (!entries) {
        ++counters.malformedRecords;
        return;
    }
    for (const entry &e : entries.value()) {
        const effect result = table.apply(e, record.offset, record.appendedAt);
        onEntryRead(e, result, now);
    }
}

void run_ledger::state::onEntryRead(const entry &e, effect result, instant now)
{
    if (const auto *claim = std::get_if<detail::claim_entry>(&e)) {
        onClaimRead(*claim, result, now);
    }
    if (result == effect::none) {
        return;
    }
    const auto *take = std::get_if<detail::take_entry>(&e);
    if (take && isOwn(take->owner)) {
        events.emplace_back(run_taken{take->run, viewOf(take->run, wall_time())});
    }
    notify(detail::runOf(e));
    confirmOwnRefusal(e, result);
}

void run_ledger::state::onClaimRead(const detail::claim_entry &e, effect result, instant now)
{
    if (!isOwn(e.owner)) {
        return;
    }
    const auto found = claims.find(e.nonce);
    const bool isPending = found != claims.end() && now < found->second.deadline;
    if (result == effect::claimed && !isPending) {
        voidOwnClaim(e.run, e.nonce, now);
    }
    if (found == claims.end()) {
        return;
    }
    if (!isPending) {
        failClaim(e.nonce, now);
        return;
    }
    claims.erase(found);
    if (result == effect::claimed) {
        events.emplace_back(claim_granted{e.run, e.stage, table.find(e.run)->at});
    } else {
        events.emplace_back(claim_lost{e.run, e.stage});
    }
}

void run_ledger::state::notify(const run_key &run)
{
    if (!logReachability.isCaughtUp()) {
        return;
    }
    const auto *last = events.empty() ? nullptr : std::get_if<run_changed>(&events.back());
    if (!last || last->run != run) {
        events.emplace_back(run_changed{run});
    }
}

/// Whether this instance wrote the open claim of the run, even if another instance owns the run now.
bool run_ledger::state::isOwnClaim(const detail::run_state &current) const
{
    const detail::open_run *open = current.open.get();
    return open && open->claimed && detail::isWriter(options.incarnation, open->nonce);
}

/// While the log is reachable, only a recorded refusal is certain.
bool run_ledger::state::isCertainlyNotRun(const run_key &run, instant now) const
{
    return !logReachability.isCurrent(now) && !table.find(run)
        && logReachability.isAbsenceCertain(common::keyTime(run.key), now);
}

void run_ledger::state::failClaim(const std::string &nonce, instant now)
{
    const auto found = claims.find(nonce);
    if (found == claims.end()) {
        return;
    }
    const run_key run = found->second.run;
    events.emplace_back(claim_unavailable{run, found->second.stage, isCertainlyNotRun(run, now)});
    outgoing.withdrawClaim(nonce);
    claims.erase(found);
}

void run_ledger::state::failOverdue(instant now)
{
    std::vector<std::string> overdue;
    for (const auto &[nonce, claim] : claims) {
        if (now >= claim.deadline) {
            overdue.push_back(nonce);
        }
    }
    std::sort(overdue.begin(), overdue.end());
    for (const std::string &nonce : overdue) {
        failClaim(nonce, now);
    }
    std::erase_if(refusals, [&](const auto &item) {
        const bool isOverdue = now >= item.second.deadline;
        if (isOverdue) {
            events.emplace_back(claim_unavailable{item.first, 0, false});
        }
        return isOverdue;
    });
}

/// Whether the replayed state already rules the claim out.
bool run_ledger::state::isAlreadyLost(const claim_request &request) const
{
    const detail::run_state *current = table.find(request.run);
    if (!current) {
        return request.expected != 0 || table.mayHaveUnreadRecords(request.run);
    }
    const bool isOwnedElsewhere = current->open && !isOwn(current->open->owner);
    return current->at != request.expected || current->phase == run_phase::finished || isOwnedElsewhere;
}

void run_ledger::state::beginClaim(claim_request request, instant now)
{
    const detail::run_state *current = table.find(request.run);
    const wall_time created = common::keyTime(request.run.key);
    const bool isOpen = current && current->open;
    if (isOpen ? !logReachability.isCurrent(now) : !logReachability.mayClaim(created, request.arrivedAt, now)) {
        events.emplace_back(claim_unavailable{request.run, request.stage, isCertainlyNotRun(request.run, now)});
        return;
    }
    if (isAlreadyLost(request)) {
        events.emplace_back(claim_lost{request.run, request.stage});
        return;
    }
    const std::string nonce = options.incarnation + '#' + std::to_string(++lastNonce);
    claims.emplace(nonce, pending_claim{request.run, request.stage, now + options.claimTimeout});
    detail::claim_entry e;
    e.until = windowEnd(request.run);
    e.run = std::move(request.run);
    e.digest = std::move(request.bodyDigest);
    e.pipeline = std::move(request.pipeline);
    e.position = std::move(request.position);
    e.owner = options.incarnation;
    e.nonce = nonce;
    e.stage = request.stage;
    e.expected = request.expected;
    if (request.arrivedAt < now) {
        e.waited = std::chrono::ceil<std::chrono::milliseconds>(now - request.arrivedAt);
    }
    outgoing.add(std::move(e), now);
}

void run_ledger::state::beginTake(const run_key &run, instant now)
{
    const detail::run_state *current = table.find(run);
    if (current && current->open && !isOwn(current->open->owner)) {
        outgoing.add(detail::take_entry{run, current->at, options.incarnation}, now);
    }
}

const detail::open_run *run_ledger::state::openClaim(const run_key &run, std::uint32_t stage) const
{
    const detail::run_state *current = table.find(run);
    return current && current->open && current->open->claimed == stage ? current->open.get() : nullptr;
}

run_view run_ledger::state::viewOf(const run_key &run, wall_time wallNow) const
{
    run_view view;
    const detail::run_state *current = table.find(run);
    if (!current) {
        const bool isWindowOver = windowEnd(run) < std::max(wallNow, table.logTime());
        const bool isExpired = isWindowOver || table.mayHaveUnreadRecords(run);
        view.standing = isExpired ? run_standing::expired : run_standing::absent;
        return view;
    }
    view.standing = standingOf(*current);
    view.at = current->at;
    view.changedAt = current->changedAt;
    if (current->phase == run_phase::refused) {
        view.claimableFrom = current->changedAt;
        return view;
    }
    view.bodyDigest = current->digestAndAnswer.substr(0, current->digestLength);
    view.pipeline = table.pipelineName(current->pipeline);
    if (current->open) {
        fillOpenRun(view, *current->open);
    } else {
        view.answer = current->digestAndAnswer.substr(current->digestLength);
    }
    return view;
}

void run_ledger::state::checkpointOldRuns(instant now, wall_time wallNow)
{
    const wall_time current = std::max(wallNow, table.logTime());
    table.forEachOpen([&](const run_key &run, const detail::run_state &s) {
        const auto spread = options.checkpointAfter / checkpointSpread + std::chrono::milliseconds(1);
        const auto delay = std::chrono::milliseconds(nonNegativeHash(options.incarnation + run.key)) % spread;
        const wall_time due = s.open->checkpointedAt + options.checkpointAfter + delay;
        if (current < due || outgoing.hasEntryFor(run)) {
            return;
        }
        detail::checkpoint_entry e{run,     next - 1, s.at,       s.digestAndAnswer, table.pipelineName(s.pipeline),
                                   *s.open, s.until,  s.changedAt};
        outgoing.add(std::move(e), now);
    });
}

instant run_ledger::state::nextDeadline() const
{
    instant earliest = instant::max();
    for (const auto &[nonce, claim] : claims) {
        earliest = std::min(earliest, claim.deadline);
    }
    for (const auto &[run, refusal] : refusals) {
        earliest = std::min(earliest, refusal.deadline);
    }
    return earliest;
}

} // namespace masticlever::ledger
