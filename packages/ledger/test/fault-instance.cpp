#include "fault-simulation.h"

#include "detail/entry.h"

#include <array>
#include <functional>

namespace masticlever::ledger::test
{

namespace
{

constexpr auto maxReportAge = 1s;

std::string voidRecord(const run_key &run, const std::string &nonce)
{
    detail::refuse_entry e;
    e.run = run;
    e.owner = nonce.substr(0, nonce.find('#'));
    e.nonce = nonce;
    e.until = wall_time(1800000000000ms);
    return detail::encodeRecord({detail::encodeEntry(e)});
}

} // namespace

void fault_simulation::endAppend(simulated_instance &instance)
{
    if (!instance.append || m_now < instance.append->endsAt) {
        return;
    }
    const append_call call = *instance.append;
    instance.append.reset();
    instance.ledger->onAppendEnded(call.id, call.outcome, m_now);
    if (m_mutant == mutant::no_read_back && call.outcome) {
        grantFromPayload(instance, call.payload);
    }
}

void fault_simulation::grantFromPayload(simulated_instance &instance, const std::string &payload)
{
    const auto entries = detail::decodeRecord(payload);
    for (const auto &e : entries.value()) {
        if (const auto *claim = std::get_if<detail::claim_entry>(&e)) {
            instance.grants.push_back({claim->run, claim->stage});
        }
    }
}

void fault_simulation::updatePeerReports(simulated_instance &instance)
{
    instance.reachableHistory[m_now] = instance.ledger->isLogReachable();
    const instant reportedAt = m_now - upTo(maxReportAge);
    bool anyReaches = false;
    for (const simulated_instance &peer : m_instances) {
        if (&peer == &instance || peer.reachableHistory.empty()) {
            continue;
        }
        const auto next = peer.reachableHistory.upper_bound(reportedAt);
        anyReaches = anyReaches || (next != peer.reachableHistory.begin() && std::prev(next)->second);
    }
    instance.ledger->setPeerReachesLog(anyReaches);
}

void fault_simulation::receiveCopies(simulated_instance &instance)
{
    std::erase_if(instance.inbox, [&](const auto &copy) {
        if (copy.first > m_now) {
            return false;
        }
        const run_key &run = m_submissions[copy.second].run;
        const epoch at = instance.ledger->find(run, wallOf(instance)).at;
        instance.jobs.push_back({copy.second, run, m_now, m_now + upTo(2s), at, job_phase::waiting});
        return true;
    });
}

void fault_simulation::answerNotRun(job &j)
{
    j.phase = job_phase::ended;
    m_notRunAnswers[j.run] = m_now;
    if (m_sends.contains(callName(j.run, 0))) {
        violate("reported as not run, but was sent: " + j.run.key);
    }
}

void fault_simulation::claimFirstStage(simulated_instance &instance, job &j)
{
    const run_standing standing = instance.ledger->find(j.run, wallOf(instance)).standing;
    if (standing != run_standing::absent) {
        j.phase = job_phase::following;
        return;
    }
    if (!instance.ledger->isLogReachable()) {
        if (instance.ledger->isAbsenceCertain(common::keyTime(j.run.key), m_now)) {
            ++m_coverage.certainRefusals;
            answerNotRun(j);
        }
        j.phase = job_phase::ended;
        return;
    }
    if (m_now >= j.claimAt) {
        j.phase = job_phase::claiming;
        instance.ledger->claim({j.run, "digest", "orders", 0, "position", j.expected, j.arrivedAt}, m_now);
    }
}

void fault_simulation::advance(simulated_instance &instance, job &j)
{
    if (j.phase == job_phase::waiting) {
        claimFirstStage(instance, j);
    }
    const bool isAbsent = instance.ledger->find(j.run, wallOf(instance)).standing == run_standing::absent;
    if (j.phase == job_phase::following && isAbsent) {
        j.phase = job_phase::refusing;
        instance.ledger->refuse(j.run, m_now);
    }
}

void fault_simulation::handle(simulated_instance &instance, const event &e)
{
    if (const auto *granted = std::get_if<claim_granted>(&e)) {
        instance.grants.push_back({granted->run, granted->stage});
        instance.claiming.erase(granted->run);
    }
    const auto *lost = std::get_if<claim_lost>(&e);
    const auto *unavailable = std::get_if<claim_unavailable>(&e);
    const auto *refused = std::get_if<refusal_recorded>(&e);
    const run_key *ended = lost ? &lost->run : unavailable ? &unavailable->run : nullptr;
    if (ended) {
        instance.claiming.erase(*ended);
    }
    for (job &j : instance.jobs) {
        if (refused && refused->run == j.run && j.phase == job_phase::refusing) {
            ++m_coverage.refusals;
            answerNotRun(j);
        }
        if (!ended || *ended != j.run) {
            continue;
        }
        const bool isCertain = unavailable && unavailable->certain;
        if (j.phase == job_phase::claiming && (isCertain || m_mutant == mutant::refusal_not_recorded)) {
            answerNotRun(j);
        } else if (j.phase == job_phase::claiming) {
            j.phase = job_phase::following;
        } else if (j.phase == job_phase::refusing) {
            j.phase = lost ? job_phase::following : job_phase::ended;
        }
    }
    const auto *taken = std::get_if<run_taken>(&e);
    m_coverage.taken += taken ? 1 : 0;
    if (taken && m_mutant == mutant::others_void && taken->view.standing == run_standing::started) {
        m_log.push_back({m_log.size() + 1, m_wall, voidRecord(taken->run, taken->view.nonce)});
    }
}

void fault_simulation::sendGranted(simulated_instance &instance)
{
    for (const grant &g : instance.grants) {
        ++m_coverage.sends;
        if (++m_sends[callName(g.run, g.stage)] > 1) {
            violate("sent twice: " + g.run.key + " stage " + std::to_string(g.stage));
        }
        const auto notRunAt = m_notRunAnswers.find(g.run);
        const auto ownJob = std::find_if(instance.jobs.begin(), instance.jobs.end(), [&](const job &j) {
            return j.run == g.run && (j.phase == job_phase::claiming || j.phase == job_phase::following);
        });
        const bool isAskedAgain = ownJob != instance.jobs.end() && notRunAt != m_notRunAnswers.end()
            && m_submissions[ownJob->submission].submittedAt >= notRunAt->second;
        if (g.stage == 0 && notRunAt != m_notRunAnswers.end() && !isAskedAgain) {
            violate("sent after it was reported as not run: " + g.run.key);
        }
        const bool isReceived = m_isHealed || chance(90);
        if (isReceived) {
            m_executed.insert(callName(g.run, g.stage));
        }
        const bool isAnswerLost = !isReceived || (!m_isHealed && chance(15));
        instance.calls.push_back({g.run, g.stage, m_now + upTo(2s), isAnswerLost});
    }
    instance.grants.clear();
}

void fault_simulation::endCalls(simulated_instance &instance)
{
    for (const endpoint_call &call : instance.calls) {
        if (call.endsAt > m_now) {
            continue;
        }
        if (call.isAnswerLost) {
            instance.ledger->markUnknown(call.run, m_now);
            continue;
        }
        const bool isLast = call.stage == lastStage;
        instance.ledger->finishStage(call.run, call.stage, callName(call.run, call.stage), isLast ? "answer" : "",
                                     m_now);
    }
    std::erase_if(instance.calls, [&](const endpoint_call &call) { return call.endsAt <= m_now; });
}

bool fault_simulation::isBusy(const simulated_instance &instance, const run_key &run, std::uint32_t stage) const
{
    const auto matches = [&](const auto &item) { return item.run == run && item.stage == stage; };
    return std::any_of(instance.grants.begin(), instance.grants.end(), matches)
        || std::any_of(instance.calls.begin(), instance.calls.end(), matches);
}

void fault_simulation::resolveStarted(simulated_instance &instance, const run_key &run, const run_view &view)
{
    if (isBusy(instance, run, view.stage) || !chance(30)) {
        return;
    }
    if (m_executed.contains(callName(run, view.stage))) {
        instance.ledger->settle(run, view.stage, callName(run, view.stage), m_now);
        return;
    }
    if (m_mutant == mutant::grant_after_timeout && view.nonce.starts_with(instance.incarnation + '#')) {
        instance.grants.push_back({run, view.stage});
        return;
    }
    if (m_mutant == mutant::negative_status_voids) {
        m_log.push_back({m_log.size() + 1, m_wall, voidRecord(run, view.nonce)});
        return;
    }
    instance.ledger->markUnknown(run, m_now);
}

void fault_simulation::advanceOwnedRuns(simulated_instance &instance)
{
    for (const run_key &run : m_runs) {
        const run_view view = instance.ledger->find(run, wallOf(instance));
        if (view.owner != instance.incarnation) {
            continue;
        }
        if (view.standing == run_standing::started) {
            resolveStarted(instance, run, view);
        }
        if (view.standing != run_standing::between_stages || instance.claiming.contains(run)) {
            continue;
        }
        if (view.stage == lastStage) {
            instance.ledger->finishRun(run, "answer", m_now);
            continue;
        }
        instance.claiming.insert(run);
        instance.ledger->claim({run, "digest", "orders", view.stage + 1, "position", view.at}, m_now);
    }
}

void fault_simulation::takeOver(simulated_instance &instance)
{
    std::vector<std::string> live;
    for (const simulated_instance &peer : m_instances) {
        const bool isSuspected = isPaused(peer) && chance(50);
        if (!isSuspected) {
            live.push_back(peer.incarnation);
        }
    }
    for (const run_key &run : instance.ledger->unfinishedRunsOf(live)) {
        if (chance(20)) {
            instance.ledger->take(run, m_now);
        }
    }
}

void fault_simulation::stepInstance(simulated_instance &instance)
{
    const std::array<std::function<void()>, 9> steps{
        [&] { updatePeerReports(instance); },
        [&] { readLog(instance); },
        [&] { receiveCopies(instance); },
        [&] { endAppend(instance); },
        [&] {
            instance.ledger->onTimer(m_now);
            for (const event &e : instance.ledger->takeEvents()) {
                handle(instance, e);
            }
        },
        [&] { sendGranted(instance); },
        [&] { endCalls(instance); },
        [&] {
            for (job &j : instance.jobs) {
                advance(instance, j);
            }
            advanceOwnedRuns(instance);
            takeOver(instance);
        },
        [&] { beginAppend(instance); },
    };
    for (const auto &act : steps) {
        if (!m_isHealed && m_random() % (m_faultRarity * 16) == 0) {
            instance.pausedUntil = m_now + upTo(maxPause);
            return;
        }
        if (!m_isHealed && m_random() % (m_faultRarity * 32) == 0) {
            start(instance);
            return;
        }
        act();
    }
}

} // namespace masticlever::ledger::test
