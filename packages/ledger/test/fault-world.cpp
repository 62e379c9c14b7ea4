#include "fault-world.h"

#include "detail/entry.h"

#include <masticlever/common/errors.h>

namespace masticlever::ledger::test
{

namespace
{

constexpr auto largestTransit = 1500ms;

} // namespace

fault_world::fault_world(std::uint64_t seed, mutant fault) : m_random(seed), m_mutant(fault), m_slots(slotCount)
{
    m_calm = 30 + m_random() % 200;
    for (slot &s : m_slots) {
        s.skew = std::chrono::milliseconds(static_cast<int>(m_random() % 600) - 300);
        start(s);
    }
}

void fault_world::violate(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what;
    }
}

void fault_world::start(slot &s)
{
    const auto skew = s.skew;
    s = slot();
    s.skew = skew;
    s.incarnation = "i" + std::to_string(++m_incarnations);
    ledger_options options;
    options.incarnation = s.incarnation;
    options.entriesPerRecord = 1 + m_random() % 4;
    s.ledger.emplace(options);
}

void fault_world::submit()
{
    const bool isRepeat = !m_runs.empty() && chance(40);
    if (!isRepeat) {
        const auto callerSkew = std::chrono::milliseconds(static_cast<int>(m_random() % 600) - 300);
        m_runs.push_back(runNamed("team", static_cast<unsigned>(m_runs.size()), m_wall + callerSkew));
    }
    m_submissions.push_back({isRepeat ? m_runs[m_random() % m_runs.size()] : m_runs.back(), m_now});
    const int copies = chance(30) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        slot &s = m_slots[m_random() % m_slots.size()];
        if (!s.ledger->isReady(m_now)) {
            continue;
        }
        s.inbox.emplace_back(m_now + upTo(i == 0 ? 50ms : largestTransit), m_submissions.size() - 1);
    }
}

void fault_world::breakSomething()
{
    slot &s = m_slots[m_random() % m_slots.size()];
    switch (m_random() % m_calm) {
    case 0:
        s.pausedUntil = m_now + upTo(largestPause);
        break;
    case 1:
        start(s);
        break;
    case 2:
        m_outageUntil = m_now + upTo(8s);
        break;
    case 3:
        s.cutUntil = m_now + upTo(8s);
        break;
    case 4:
        s.pausedUntil = m_now + upTo(4s);
        start(m_slots[m_random() % m_slots.size()]);
        break;
    default:
        break;
    }
}

void fault_world::landLate()
{
    for (auto &[at, payload] : m_late) {
        if (at <= m_now) {
            m_log.push_back({m_log.size() + 1, m_wall, payload});
        }
    }
    std::erase_if(m_late, [&](const auto &late) { return late.first <= m_now; });
}

void fault_world::beginAppend(slot &s)
{
    for (append_action &action : s.ledger->takeAppends(m_now)) {
        append_call call{action.id, action.payload, platform::log_offset(0), m_now + upTo(m_isHealed ? 50ms : 400ms)};
        const bool isDown = m_now < m_outageUntil || m_now < s.cutUntil;
        const auto dice = m_isHealed ? 99 : m_random() % 100;
        if (isDown && dice < 80) {
            call.outcome = make_error_code(common::error::unavailable);
        } else if (isDown || dice < 8) {
            call.outcome = make_error_code(common::error::lost_answer);
            m_late.emplace_back(m_now + upTo(dice < 4 ? 1s : 12s), action.payload);
        } else if (dice < 12) {
            call.outcome = make_error_code(common::error::lost_answer);
        } else {
            m_log.push_back({m_log.size() + 1, m_wall, action.payload});
            call.outcome = platform::log_offset(m_log.size());
            if (dice < 17) {
                m_late.emplace_back(m_now + upTo(9s), action.payload);
            }
        }
        s.append = call;
    }
}

std::string fault_world::mutated(const slot &s, std::string payload) const
{
    if (m_mutant != mutant::epoch_not_checked) {
        return payload;
    }
    auto entries = detail::decodeRecord(payload);
    std::vector<std::string> encoded;
    for (auto &e : entries.value()) {
        const epoch present = s.ledger->find(detail::runOf(e), m_wall).at;
        if (auto *claim = std::get_if<detail::claim_entry>(&e)) {
            claim->expected = present;
            claim->waited = 0ms;
        } else if (auto *refusal = std::get_if<detail::refuse_entry>(&e)) {
            refusal->expected = present;
            refusal->hold = 0ms;
        }
        encoded.push_back(detail::encodeEntry(e));
    }
    return detail::encodeRecord(encoded);
}

void fault_world::readLog(slot &s)
{
    const bool isDown = m_now < m_outageUntil || m_now < s.cutUntil;
    if (isDown) {
        s.ledger->onReadFailed(m_now, wallOf(s));
        return;
    }
    platform::log_batch batch{1, m_log.size() + 1, {}};
    const std::size_t most = m_isHealed ? 100 : 1 + m_random() % 8;
    for (std::size_t i = s.ledger->nextOffset() - 1; i < m_log.size() && batch.records.size() < most; ++i) {
        batch.records.push_back(m_log[i]);
        batch.records.back().payload = mutated(s, m_log[i].payload);
        if (m_mutant == mutant::epoch_not_checked) {
            break;
        }
    }
    s.ledger->onRecords(batch, m_now, wallOf(s));
}

void fault_world::checkRest()
{
    const run_ledger &first = *m_slots.front().ledger;
    for (slot &s : m_slots) {
        readLog(s);
        m_seen.voided += static_cast<int>(s.ledger->counters().voidedClaims);
    }
    for (const slot &s : m_slots) {
        if (s.ledger->nextOffset() != first.nextOffset() || s.ledger->stateDigest() != first.stateDigest()) {
            violate("replicas differ");
        }
    }
    m_seen.unknown = static_cast<int>(first.unknownRuns().size());
    for (const run_key &run : m_runs) {
        const run_view view = first.find(run, m_wall);
        const bool isOpen = view.standing == run_standing::started || view.standing == run_standing::between_stages;
        if (isOpen && !view.unknown) {
            violate("accepted, but neither finished nor unknown: " + run.key);
        }
        if (view.standing == run_standing::absent && m_sends.contains(callName(run, 0))) {
            violate("sent, but absent from the ledger: " + run.key);
        }
    }
}

std::string fault_world::run()
{
    for (int i = 0; i < faultySteps + healedSteps && m_violation.empty(); ++i) {
        m_isHealed = i >= faultySteps;
        m_now += step;
        m_wall += std::chrono::duration_cast<std::chrono::milliseconds>(step);
        if (!m_isHealed && chance(8)) {
            submit();
        }
        if (!m_isHealed) {
            breakSomething();
        }
        landLate();
        for (slot &s : m_slots) {
            if (m_isHealed || !isPaused(s)) {
                turn(s);
            }
        }
    }
    checkRest();
    return m_violation;
}

} // namespace masticlever::ledger::test
