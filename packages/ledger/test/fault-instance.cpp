#include "fault-world.h"

#include "detail/entry.h"

#include <array>
#include <functional>

namespace masticlever::ledger::test
{

namespace
{

constexpr auto largestNotice = 1s;

std::string voidOf(const run_key &run, const std::string &nonce)
{
    detail::refuse_entry e;
    e.run = run;
    e.owner = nonce.substr(0, nonce.find('#'));
    e.nonce = nonce;
    e.until = wall_time(1800000000000ms);
    return detail::encodeRecord({detail::encodeEntry(e)});
}

} // namespace

void fault_world::endAppend(slot &s)
{
    if (!s.append || m_now < s.append->endsAt) {
        return;
    }
    const append_call call = *s.append;
    s.append.reset();
    s.ledger->onAppendEnded(call.id, call.outcome, m_now);
    if (m_mutant == mutant::no_read_back && call.outcome) {
        grantFromPayload(s, call.payload);
    }
}

void fault_world::grantFromPayload(slot &s, const std::string &payload)
{
    const auto entries = detail::decodeRecord(payload);
    for (const auto &e : entries.value()) {
        if (const auto *claim = std::get_if<detail::claim_entry>(&e)) {
            s.grants.push_back({claim->run, claim->stage});
        }
    }
}

void fault_world::learnReach(slot &s)
{
    s.reachHistory[m_now] = s.ledger->isLogReachable();
    const instant heard = m_now - upTo(largestNotice);
    bool anyReaches = false;
    for (const slot &peer : m_slots) {
        if (&peer == &s || peer.reachHistory.empty()) {
            continue;
        }
        const auto next = peer.reachHistory.upper_bound(heard);
        anyReaches = anyReaches || (next != peer.reachHistory.begin() && std::prev(next)->second);
    }
    s.ledger->setPeerReachesLog(anyReaches);
}

void fault_world::receiveCopies(slot &s)
{
    std::erase_if(s.inbox, [&](const auto &copy) {
        if (copy.first > m_now) {
            return false;
        }
        const run_key &run = m_submissions[copy.second].run;
        const epoch at = s.ledger->find(run, wallOf(s)).at;
        s.jobs.push_back({copy.second, run, m_now, m_now + upTo(2s), at, job_phase::waiting});
        return true;
    });
}

void fault_world::sayNotRun(job &j)
{
    j.phase = job_phase::ended;
    m_notRunSaid[j.run] = m_now;
    if (m_sends.contains(callName(j.run, 0))) {
        violate("not run was said of a run that was sent: " + j.run.key);
    }
}

void fault_world::claimFirst(slot &s, job &j)
{
    const run_standing standing = s.ledger->find(j.run, wallOf(s)).standing;
    if (standing != run_standing::absent) {
        j.phase = job_phase::following;
        return;
    }
    if (!s.ledger->isLogReachable()) {
        if (s.ledger->isAbsenceCertain(common::keyTime(j.run.key), m_now)) {
            ++m_seen.certainRefusals;
            sayNotRun(j);
        }
        j.phase = job_phase::ended;
        return;
    }
    if (m_now >= j.claimAt) {
        j.phase = job_phase::claiming;
        s.ledger->claim({j.run, "digest", "orders", 0, "position", j.expected, j.arrivedAt}, m_now);
    }
}

void fault_world::advance(slot &s, job &j)
{
    if (j.phase == job_phase::waiting) {
        claimFirst(s, j);
    }
    const bool isAbsent = s.ledger->find(j.run, wallOf(s)).standing == run_standing::absent;
    if (j.phase == job_phase::following && isAbsent) {
        j.phase = job_phase::refusing;
        s.ledger->refuse(j.run, m_now);
    }
}

void fault_world::handle(slot &s, const event &e)
{
    if (const auto *granted = std::get_if<claim_granted>(&e)) {
        s.grants.push_back({granted->run, granted->stage});
        s.claiming.erase(granted->run);
    }
    const auto *lost = std::get_if<claim_lost>(&e);
    const auto *unavailable = std::get_if<claim_unavailable>(&e);
    const auto *refused = std::get_if<refusal_recorded>(&e);
    const run_key *ended = lost ? &lost->run : unavailable ? &unavailable->run : nullptr;
    if (ended) {
        s.claiming.erase(*ended);
    }
    for (job &j : s.jobs) {
        if (refused && refused->run == j.run && j.phase == job_phase::refusing) {
            ++m_seen.refusals;
            sayNotRun(j);
        }
        if (!ended || *ended != j.run) {
            continue;
        }
        const bool isCertain = unavailable && unavailable->certain;
        if (j.phase == job_phase::claiming && (isCertain || m_mutant == mutant::refusal_not_recorded)) {
            sayNotRun(j);
        } else if (j.phase == job_phase::claiming) {
            j.phase = job_phase::following;
        } else if (j.phase == job_phase::refusing) {
            j.phase = lost ? job_phase::following : job_phase::ended;
        }
    }
    const auto *taken = std::get_if<run_taken>(&e);
    m_seen.taken += taken ? 1 : 0;
    if (taken && m_mutant == mutant::others_void && taken->view.standing == run_standing::started) {
        m_log.push_back({m_log.size() + 1, m_wall, voidOf(taken->run, taken->view.nonce)});
    }
}

void fault_world::sendGranted(slot &s)
{
    for (const grant &g : s.grants) {
        ++m_seen.sends;
        if (++m_sends[callName(g.run, g.stage)] > 1) {
            violate("sent twice: " + g.run.key + " stage " + std::to_string(g.stage));
        }
        const auto said = m_notRunSaid.find(g.run);
        const auto mine = std::find_if(s.jobs.begin(), s.jobs.end(), [&](const job &j) {
            return j.run == g.run && (j.phase == job_phase::claiming || j.phase == job_phase::following);
        });
        const bool isAskedAgain = mine != s.jobs.end() && said != m_notRunSaid.end()
            && m_submissions[mine->submission].submittedAt >= said->second;
        if (g.stage == 0 && said != m_notRunSaid.end() && !isAskedAgain) {
            violate("sent after not run was said: " + g.run.key);
        }
        const bool isReceived = m_isHealed || chance(90);
        if (isReceived) {
            m_executed.insert(callName(g.run, g.stage));
        }
        const bool isAnswerLost = !isReceived || (!m_isHealed && chance(15));
        s.calls.push_back({g.run, g.stage, m_now + upTo(2s), isAnswerLost});
    }
    s.grants.clear();
}

void fault_world::endCalls(slot &s)
{
    for (const endpoint_call &call : s.calls) {
        if (call.endsAt > m_now) {
            continue;
        }
        if (call.isAnswerLost) {
            s.ledger->markUnknown(call.run, m_now);
            continue;
        }
        const bool isLast = call.stage == lastStage;
        s.ledger->finishStage(call.run, call.stage, callName(call.run, call.stage), isLast ? "answer" : "", m_now);
    }
    std::erase_if(s.calls, [&](const endpoint_call &call) { return call.endsAt <= m_now; });
}

bool fault_world::isBusy(const slot &s, const run_key &run, std::uint32_t stage) const
{
    const auto isIt = [&](const auto &item) { return item.run == run && item.stage == stage; };
    return std::any_of(s.grants.begin(), s.grants.end(), isIt) || std::any_of(s.calls.begin(), s.calls.end(), isIt);
}

void fault_world::resolveStarted(slot &s, const run_key &run, const run_view &view)
{
    if (isBusy(s, run, view.stage) || !chance(30)) {
        return;
    }
    if (m_executed.contains(callName(run, view.stage))) {
        s.ledger->settle(run, view.stage, callName(run, view.stage), m_now);
        return;
    }
    if (m_mutant == mutant::grant_after_timeout && view.nonce.starts_with(s.incarnation + '#')) {
        s.grants.push_back({run, view.stage});
        return;
    }
    if (m_mutant == mutant::negative_status_voids) {
        m_log.push_back({m_log.size() + 1, m_wall, voidOf(run, view.nonce)});
        return;
    }
    s.ledger->markUnknown(run, m_now);
}

void fault_world::workOnOwned(slot &s)
{
    for (const run_key &run : m_runs) {
        const run_view view = s.ledger->find(run, wallOf(s));
        if (view.owner != s.incarnation) {
            continue;
        }
        if (view.standing == run_standing::started) {
            resolveStarted(s, run, view);
        }
        if (view.standing != run_standing::between_stages || s.claiming.contains(run)) {
            continue;
        }
        if (view.stage == lastStage) {
            s.ledger->finishRun(run, "answer", m_now);
            continue;
        }
        s.claiming.insert(run);
        s.ledger->claim({run, "digest", "orders", view.stage + 1, "position", view.at}, m_now);
    }
}

void fault_world::takeOver(slot &s)
{
    std::vector<std::string> live;
    for (const slot &peer : m_slots) {
        const bool isSuspected = isPaused(peer) && chance(50);
        if (!isSuspected) {
            live.push_back(peer.incarnation);
        }
    }
    for (const run_key &run : s.ledger->unfinishedRunsOf(live)) {
        if (chance(20)) {
            s.ledger->take(run, m_now);
        }
    }
}

void fault_world::turn(slot &s)
{
    const std::array<std::function<void()>, 9> steps{
        [&] { learnReach(s); },
        [&] { readLog(s); },
        [&] { receiveCopies(s); },
        [&] { endAppend(s); },
        [&] {
            s.ledger->onTimer(m_now);
            for (const event &e : s.ledger->takeEvents()) {
                handle(s, e);
            }
        },
        [&] { sendGranted(s); },
        [&] { endCalls(s); },
        [&] {
            for (job &j : s.jobs) {
                advance(s, j);
            }
            workOnOwned(s);
            takeOver(s);
        },
        [&] { beginAppend(s); },
    };
    for (const auto &act : steps) {
        if (!m_isHealed && m_random() % (m_calm * 16) == 0) {
            s.pausedUntil = m_now + upTo(largestPause);
            return;
        }
        if (!m_isHealed && m_random() % (m_calm * 32) == 0) {
            start(s);
            return;
        }
        act();
    }
}

} // namespace masticlever::ledger::test
