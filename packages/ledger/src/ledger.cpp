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
    m_state->failOverdue(now);
}

void run_ledger::onReadFailed(instant now, wall_time wallNow)
{
    m_state->logReachability.onReadFailed(now, wallNow);
    m_state->failOverdue(now);
}

void run_ledger::onAppendEnded(std::uint64_t id, common::result<platform::log_offset> outcome, instant now)
{
    for (const std::string &nonce : m_state->outgoing.onEnded(id, outcome, now)) {
        m_state->failClaim(nonce, now);
    }
}

void run_ledger::onTimer(instant now)
{
    m_state->logReachability.onTimer(now);
    m_state->outgoing.onTimer(now);
    m_state->failOverdue(now);
}

void run_ledger::setPeerReachesLog(bool reachable)
{
    m_state->logReachability.setPeerReachesLog(reachable);
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
    if (const detail::open_run *open = m_state->openClaim(run, stage)) {
        m_state->outgoing.add(detail::finish_entry{run, stage, open->nonce, std::move(result), std::move(answer)}, now);
    }
}

void run_ledger::finishRun(const run_key &run, std::string answer, instant now)
{
    const detail::run_state *current = m_state->table.find(run);
    if (current && current->open) {
        m_state->outgoing.add(detail::answer_entry{run, current->at, std::move(answer)}, now);
    }
}

void run_ledger::markUnknown(const run_key &run, instant now)
{
    const detail::run_state *current = m_state->table.find(run);
    if (current && current->open && current->open->claimed) {
        m_state->outgoing.add(detail::unknown_entry{run, *current->open->claimed, current->open->nonce}, now);
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
    if (const detail::open_run *open = m_state->openClaim(run, stage)) {
        m_state->outgoing.add(detail::settle_entry{run, stage, open->nonce, std::move(result)}, now);
    }
}

bool run_ledger::isAbsenceCertain(wall_time keyCreated, instant now) const
{
    return m_state->logReachability.isAbsenceCertain(keyCreated, now);
}

bool run_ledger::isCaughtUp() const
{
    return m_state->logReachability.isCaughtUp();
}

bool run_ledger::isLogReachable() const
{
    return m_state->logReachability.isReachable();
}

bool run_ledger::isReady(instant now) const
{
    return m_state->logReachability.isReady(now);
}

bool run_ledger::isIdle() const
{
    return m_state->outgoing.isEmpty();
}

platform::log_offset run_ledger::nextOffset() const
{
    return m_state->next;
}

std::vector<run_key> run_ledger::unfinishedRunsOf(const std::vector<std::string> &liveIncarnations) const
{
    std::vector<run_key> runs;
    m_state->table.forEachOpen([&](const run_key &run, const detail::run_state &current) {
        const auto &owner = current.open->owner;
        if (std::find(liveIncarnations.begin(), liveIncarnations.end(), owner) == liveIncarnations.end()) {
            runs.push_back(run);
        }
    });
    return runs;
}

std::vector<run_key> run_ledger::unknownRuns() const
{
    std::vector<run_key> runs;
    m_state->table.forEachOpen([&](const run_key &run, const detail::run_state &current) {
        if (current.open->unknown) {
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
    m_state->counters.appends = m_state->outgoing.appends();
    m_state->counters.entries = m_state->outgoing.entriesSent();
    return m_state->counters;
}

std::string run_ledger::stateDigest() const
{
    return m_state->table.digest();
}

std::vector<append_action> run_ledger::takeAppends(instant now)
{
    std::vector<append_action> actions;
    if (auto action = m_state->outgoing.takeAppend(now)) {
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
    return std::min(m_state->outgoing.nextWakeUp(), m_state->nextDeadline());
}

} // namespace masticlever::ledger
