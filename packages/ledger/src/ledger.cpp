#include <masticlever/ledger/ledger.h>

#include "detail/ledger-state.h"

#include <algorithm>
#include <utility>

namespace masticlever::ledger
{

using common::instant;
using common::wall_time;

run_ledger::run_ledger(ledger_options options) : m_state(std::make_unique<state>(std::move(options))) { }
run_ledger::~run_ledger() = default;
run_ledger::run_ledger(run_ledger &&) noexcept = default;
run_ledger &run_ledger::operator=(run_ledger &&) noexcept = default;

void run_ledger::onRecords(const platform::log_batch &batch, instant now, wall_time wallNow)
{
    m_state->onBatch(batch, now, wallNow);
    m_state->endOverdue(now);
}

void run_ledger::onReadFailed(instant now, wall_time wallNow)
{
    m_state->reach.onReadFailed(now, wallNow);
    m_state->endOverdue(now);
}

void run_ledger::onAppendEnded(std::uint64_t id, common::result<platform::log_offset> outcome, instant now)
{
    for (const std::string &nonce : m_state->out.onEnded(id, outcome, now)) {
        m_state->endClaim(nonce, now);
    }
}

void run_ledger::onTimer(instant now)
{
    m_state->reach.onTimer(now);
    m_state->out.onTimer(now);
    m_state->endOverdue(now);
}

void run_ledger::setPeerReachesLog(bool reachable)
{
    m_state->reach.setPeerReaches(reachable);
}

void run_ledger::setAppendInterval(common::duration interval)
{
    m_state->options.appendInterval = interval;
}

run_view run_ledger::find(const run_key &run, wall_time wallNow) const
{
    return m_state->viewOf(run, wallNow);
}

void run_ledger::claim(claim_request request, instant now)
{
    m_state->beginClaim(std::move(request), now);
}

void run_ledger::finishStage(const run_key &run, std::uint32_t stage, std::string result, std::string answer,
                             instant now)
{
    if (const detail::open_part *open = m_state->openClaim(run, stage)) {
        m_state->out.add(detail::finish_entry{run, stage, open->nonce, std::move(result), std::move(answer)}, now);
    }
}

void run_ledger::finishRun(const run_key &run, std::string answer, instant now)
{
    const detail::run_state *present = m_state->table.find(run);
    if (present && present->open) {
        m_state->out.add(detail::answer_entry{run, present->at, std::move(answer)}, now);
    }
}

void run_ledger::markUnknown(const run_key &run, instant now)
{
    const detail::run_state *present = m_state->table.find(run);
    if (present && present->open && present->open->claimed) {
        m_state->out.add(detail::unknown_entry{run, *present->open->claimed, present->open->nonce}, now);
    }
}

void run_ledger::refuse(const run_key &run, instant now)
{
    m_state->beginRefusal(run, now);
}

void run_ledger::take(const run_key &run, instant now)
{
    m_state->beginTake(run, now);
}

void run_ledger::settle(const run_key &run, std::uint32_t stage, std::string result, instant now)
{
    if (const detail::open_part *open = m_state->openClaim(run, stage)) {
        m_state->out.add(detail::settle_entry{run, stage, open->nonce, std::move(result)}, now);
    }
}

bool run_ledger::isAbsenceCertain(wall_time keyCreated, instant now) const
{
    return m_state->reach.isAbsenceCertain(keyCreated, now);
}

bool run_ledger::isCaughtUp() const
{
    return m_state->reach.isCaughtUp();
}

bool run_ledger::isLogReachable() const
{
    return m_state->reach.isReachable();
}

bool run_ledger::isReady(instant now) const
{
    return m_state->reach.isReady(now);
}

bool run_ledger::isIdle() const
{
    return m_state->out.isEmpty();
}

platform::log_offset run_ledger::nextOffset() const
{
    return m_state->next;
}

std::vector<run_key> run_ledger::unfinishedRunsOf(const std::vector<std::string> &liveIncarnations) const
{
    std::vector<run_key> runs;
    m_state->table.forEachOpen([&](const run_key &run, const detail::run_state &present) {
        const auto &owner = present.open->owner;
        if (std::find(liveIncarnations.begin(), liveIncarnations.end(), owner) == liveIncarnations.end()) {
            runs.push_back(run);
        }
    });
    return runs;
}

std::vector<run_key> run_ledger::unknownRuns() const
{
    std::vector<run_key> runs;
    m_state->table.forEachOpen([&](const run_key &run, const detail::run_state &present) {
        if (present.open->unknown) {
            runs.push_back(run);
        }
    });
    return runs;
}

std::size_t run_ledger::size() const
{
    return m_state->table.size();
}

const ledger_counters &run_ledger::counters() const
{
    m_state->counters.appends = m_state->out.appends();
    m_state->counters.entries = m_state->out.entriesSent();
    return m_state->counters;
}

std::string run_ledger::stateDigest() const
{
    return m_state->table.digest();
}

std::vector<append_action> run_ledger::takeAppends(instant now)
{
    std::vector<append_action> actions;
    if (auto action = m_state->out.takeAppend(now)) {
        actions.push_back(*std::move(action));
    }
    return actions;
}

std::vector<event> run_ledger::takeEvents()
{
    return std::exchange(m_state->events, {});
}

instant run_ledger::nextWakeUp() const
{
    return std::min(m_state->out.nextWakeUp(), m_state->nextDeadline());
}

} // namespace masticlever::ledger
