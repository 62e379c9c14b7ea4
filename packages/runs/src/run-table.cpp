#include <masticlever/runs/run-table.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace masticlever::runs
{

namespace
{

constexpr common::duration retryAfterStopping = std::chrono::seconds(1);

std::string refusalText(admission::refusal_reason reason)
{
    switch (reason) {
    case admission::refusal_reason::deadline_unreachable:
        return "the deadline cannot be met now";
    case admission::refusal_reason::team_limit:
        return "the team's limit of requests in flight is reached";
    case admission::refusal_reason::queue_timeout:
        return "the request waited too long to be started";
    case admission::refusal_reason::stopping:
        return "the instance is stopping";
    }
    return "refused";
}

const common::run_key &keyOf(const ledger::event &event)
{
    return std::visit([](const auto &alternative) -> const common::run_key & { return alternative.run; }, event);
}

} // namespace

run_table::run_table(run_environment environment, admission::controller &admission)
    : m_environment(std::move(environment)), m_admission(admission)
{ }

void run_table::insert(run_id id, run machine)
{
    m_byKey.emplace(machine.request().key, id);
    m_runs.emplace(id, entry{std::move(machine)});
}

run_id run_table::submit(run_request request, const configuration::snapshot_ptr &configuration,
                         const configuration::pipeline_spec &pipeline, const team_terms &terms, common::moment at)
{
    const run_id id = ++m_lastId;
    const auto sameKey = m_byKey.find(request.key);
    if (sameKey != m_byKey.end()) {
        const std::string digest = m_runs.at(sameKey->second).machine.request().bodyDigest;
        insert(id, run(m_environment, std::move(request), configuration, pipeline));
        m_runs.at(id).machine.onArrival(at);
        m_runs.at(id).machine.join(digest, at);
        update(id, at);
        return id;
    }
    const stage_ref firstStage{request.pipelineName, pipeline, 0};
    if (m_stopping) {
        insert(id, run(m_environment, std::move(request), configuration, pipeline));
        run &refused = m_runs.at(id).machine;
        refused.onArrival(at);
        refused.refuseAdmission(refusalText(admission::refusal_reason::stopping), retryAfterStopping, at);
        update(id, at);
        return id;
    }
    const admission::decision decision
        = m_admission.request({.team = request.key.team,
                               .weight = terms.weight,
                               .teamLimit = terms.limit,
                               .pipeline = request.pipelineName,
                               .remaining = request.deadline - at.now,
                               .expectedService = m_environment.planner.expectedFrom(firstStage)},
                              at.now);
    insert(id, run(m_environment, std::move(request), configuration, pipeline));
    entry &current = m_runs.at(id);
    current.machine.onArrival(at);
    if (decision.outcome == admission::decision::admission_outcome::refused) {
        current.machine.refuseAdmission(refusalText(decision.reason), decision.retryAfter, at);
        update(id, at);
        return id;
    }
    current.ticket = decision.id;
    current.isTicketOpen = true;
    m_byTicket.emplace(decision.id, id);
    if (decision.outcome == admission::decision::admission_outcome::queued) {
        current.queued = true;
        return id;
    }
    current.machine.start(at);
    update(id, at);
    return id;
}

void run_table::closeTicket(entry &current, common::moment at)
{
    if (!current.isTicketOpen) {
        return;
    }
    current.isTicketOpen = false;
    m_byTicket.erase(current.ticket);
    if (current.queued) {
        m_admission.cancel(current.ticket);
    } else {
        m_admission.onFinished(current.ticket, current.machine.metDeadline(), at.now);
    }
}

void run_table::update(run_id id, common::moment at)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        return;
    }
    entry &current = found->second;
    for (action &what : current.machine.takeActions()) {
        if (const auto *call = std::get_if<send_call>(&what)) {
            m_byCall.emplace(call->id, id);
        } else if (const auto *query = std::get_if<query_status>(&what)) {
            m_byCall.emplace(query->id, id);
        } else if (const auto *cancel = std::get_if<cancel_call>(&what)) {
            m_byCall.erase(cancel->id);
        }
        m_actions.push_back({id, std::move(what)});
    }
    if (current.machine.hasReplied()) {
        closeTicket(current, at);
    }
    const auto scheduled = m_wakeUpByRun.find(id);
    const common::instant wakeUp = current.machine.nextWakeUp();
    if (scheduled != m_wakeUpByRun.end() && (scheduled->second != wakeUp || current.machine.isDone())) {
        const auto [first, last] = m_wakeUps.equal_range(scheduled->second);
        m_wakeUps.erase(std::find_if(first, last, [&](const auto &item) { return item.second == id; }));
        m_wakeUpByRun.erase(scheduled);
    }
    if (!current.machine.isDone()) {
        if (wakeUp != common::instant::max() && m_wakeUpByRun.emplace(id, wakeUp).second) {
            m_wakeUps.emplace(wakeUp, id);
        }
        return;
    }
    closeTicket(current, at);
    finish(id, at);
}

void run_table::finish(run_id id, common::moment at)
{
    const auto found = m_runs.find(id);
    entry &current = found->second;
    const run_request &request = current.machine.request();
    const common::run_key key = request.key;
    m_ends.push_back({request.pipelineName, request.key.team, current.machine.metDeadline(),
                      current.machine.callsByStage(), current.machine.pipeline()});
    const auto [first, last] = m_byKey.equal_range(key);
    m_byKey.erase(std::find_if(first, last, [&](const auto &item) { return item.second == id; }));
    m_runs.erase(found);
    forEachRunOfKey(
        key, [&](run &machine) { machine.onJoinedRunEnded(at); }, at);
}

void run_table::onCallerGone(run_id id, common::moment at)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        return;
    }
    found->second.machine.onCallerGone(at);
    update(id, at);
}

bool run_table::onText(const common::call_id &id, std::string_view text, common::moment at)
{
    const auto found = m_byCall.find(id);
    if (found == m_byCall.end()) {
        return false;
    }
    const run_id owner = found->second;
    m_runs.at(owner).machine.onText(id, text, at);
    update(owner, at);
    return true;
}

bool run_table::onCallEnded(const common::call_id &id, const call_end &ended, common::moment at)
{
    const auto found = m_byCall.find(id);
    if (found == m_byCall.end()) {
        return false;
    }
    const run_id owner = found->second;
    m_byCall.erase(found);
    m_runs.at(owner).machine.onCallEnded(id, ended, at);
    update(owner, at);
    return true;
}

template <typename Event> void run_table::forEachRunOfKey(const common::run_key &key, Event event, common::moment at)
{
    std::vector<run_id> ids;
    const auto [first, last] = m_byKey.equal_range(key);
    std::for_each(first, last, [&](const auto &item) { ids.push_back(item.second); });
    for (const run_id id : ids) {
        const auto found = m_runs.find(id);
        if (found != m_runs.end()) {
            event(found->second.machine);
            update(id, at);
        }
    }
}

bool run_table::resume(const common::run_key &key, const ledger::run_view &view,
                       const configuration::snapshot_ptr &configuration, common::moment at)
{
    auto resumed = run::resume(m_environment, key, view, configuration, at);
    if (!resumed) {
        return false;
    }
    const run_id id = ++m_lastId;
    insert(id, std::move(*resumed));
    update(id, at);
    return true;
}

void run_table::onLedgerEvents(const std::vector<ledger::event> &events,
                               const configuration::snapshot_ptr &configuration, common::moment at)
{
    for (const ledger::event &event : events) {
        if (const auto *taken = std::get_if<ledger::run_taken>(&event)) {
            resume(taken->run, taken->view, configuration, at);
            continue;
        }
        forEachRunOfKey(
            keyOf(event), [&](run &machine) { machine.onLedgerEvent(event, at); }, at);
        if (std::holds_alternative<ledger::run_changed>(event)) {
            onRunChanged(keyOf(event), configuration, at);
        }
    }
}

void run_table::onRunChanged(const common::run_key &key, const configuration::snapshot_ptr &configuration,
                             common::moment at)
{
    const ledger::run_view view = m_environment.ledger.find(key, at.wall);
    const bool isOwnedHere = view.owner == m_environment.incarnation;
    // An operator or a later status query has settled the stage, so the run can continue.
    if (isOwnedHere && view.standing == ledger::run_standing::between_stages && !hasRun(key)) {
        resume(key, view, configuration, at);
    }
}

void run_table::retryUnknownRuns(const configuration::snapshot_ptr &configuration, common::moment at)
{
    for (const common::run_key &key : m_environment.ledger.unknownRuns()) {
        const ledger::run_view view = m_environment.ledger.find(key, at.wall);
        if (view.owner == m_environment.incarnation && !hasRun(key)) {
            resume(key, view, configuration, at);
        }
    }
}

void run_table::pollAdmission(common::moment at)
{
    for (const admission::queue_event &event : m_admission.poll(at.now)) {
        const auto found = m_byTicket.find(event.id);
        if (found == m_byTicket.end()) {
            continue;
        }
        const run_id id = found->second;
        entry &current = m_runs.at(id);
        current.queued = false;
        if (event.admitted) {
            current.machine.start(at);
        } else {
            current.isTicketOpen = false;
            m_byTicket.erase(found);
            current.machine.refuseAdmission(refusalText(event.reason), event.retryAfter, at);
        }
        update(id, at);
    }
}

void run_table::onTimer(common::moment at)
{
    pollAdmission(at);
    std::vector<run_id> due;
    for (auto item = m_wakeUps.begin(); item != m_wakeUps.end() && item->first <= at.now; ++item) {
        due.push_back(item->second);
    }
    for (const run_id id : due) {
        const auto found = m_runs.find(id);
        if (found != m_runs.end()) {
            found->second.machine.onTimer(at);
            update(id, at);
        }
    }
}

common::instant run_table::nextWakeUp() const
{
    const common::instant own = m_wakeUps.empty() ? common::instant::max() : m_wakeUps.begin()->first;
    return std::min(own, m_admission.nextWakeUp());
}

std::vector<table_action> run_table::takeActions()
{
    return std::exchange(m_actions, {});
}

std::vector<run_end> run_table::takeEnds()
{
    return std::exchange(m_ends, {});
}

} // namespace masticlever::runs
