#include "fault-simulation.h"

#include "detail/entry.h"

#include <masticlever/common/errors.h>

namespace masticlever::ledger::test
{

namespace
{

constexpr auto maxTransit = 1500ms;

} // namespace

fault_simulation::fault_simulation(std::uint64_t seed, mutant fault)
    : m_random(seed), m_mutant(fault), m_instances(instanceCount)
{
    m_faultRarity = 30 + m_random() % 200;
    for (simulated_instance &instance : m_instances) {
        instance.skew = std::chrono::milliseconds(static_cast<int>(m_random() % 600) - 300);
        start(instance);
    }
}

void fault_simulation::violate(const std::string &what)
{
    if (m_violation.empty()) {
        m_violation = what;
    }
}

void fault_simulation::start(simulated_instance &instance)
{
    const auto skew = instance.skew;
    instance = simulated_instance();
    instance.skew = skew;
    instance.incarnation = "i" + std::to_string(++m_incarnations);
    ledger_options options;
    options.incarnation = instance.incarnation;
    options.maxEntriesPerRecord = 1 + m_random() % 4;
    instance.ledger.emplace(options);
}

void fault_simulation::submit()
{
    const bool isRepeat = !m_runs.empty() && chance(40);
    if (!isRepeat) {
        const auto callerSkew = std::chrono::milliseconds(static_cast<int>(m_random() % 600) - 300);
        m_runs.push_back(makeRunKey("team", static_cast<unsigned>(m_runs.size()), m_wall + callerSkew));
    }
    m_submissions.push_back({isRepeat ? m_runs[m_random() % m_runs.size()] : m_runs.back(), m_now});
    const int copies = chance(30) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        simulated_instance &instance = m_instances[m_random() % m_instances.size()];
        if (!instance.ledger->isReady(m_now)) {
            continue;
        }
        instance.inbox.emplace_back(m_now + upTo(i == 0 ? 50ms : maxTransit), m_submissions.size() - 1);
    }
}

void fault_simulation::injectFault()
{
    simulated_instance &instance = m_instances[m_random() % m_instances.size()];
    switch (m_random() % m_faultRarity) {
    case 0:
        instance.pausedUntil = m_now + upTo(maxPause);
        break;
    case 1:
        start(instance);
        break;
    case 2:
        m_outageUntil = m_now + upTo(8s);
        break;
    case 3:
        instance.partitionedUntil = m_now + upTo(8s);
        break;
    case 4:
        instance.pausedUntil = m_now + upTo(4s);
        start(m_instances[m_random() % m_instances.size()]);
        break;
    default:
        break;
    }
}

void fault_simulation::appendDelayed()
{
    for (auto &[at, payload] : m_delayedAppends) {
        if (at <= m_now) {
            m_log.push_back({m_log.size() + 1, m_wall, payload});
        }
    }
    std::erase_if(m_delayedAppends, [&](const auto &delayed) { return delayed.first <= m_now; });
}

void fault_simulation::beginAppend(simulated_instance &instance)
{
    for (append_action &action : instance.ledger->takeAppends(m_now)) {
        append_call call{action.id, action.payload, platform::log_offset(0), m_now + upTo(m_isHealed ? 50ms : 400ms)};
        const bool isDown = m_now < m_outageUntil || m_now < instance.partitionedUntil;
        const auto roll = m_isHealed ? 99 : m_random() % 100;
        if (isDown && roll < 80) {
            call.outcome = make_error_code(common::error::unavailable);
        } else if (isDown || roll < 8) {
            call.outcome = make_error_code(common::error::lost_answer);
            m_delayedAppends.emplace_back(m_now + upTo(roll < 4 ? 1s : 12s), action.payload);
        } else if (roll < 12) {
            call.outcome = make_error_code(common::error::lost_answer);
        } else {
            m_log.push_back({m_log.size() + 1, m_wall, action.payload});
            call.outcome = platform::log_offset(m_log.size());
            if (roll < 17) {
                m_delayedAppends.emplace_back(m_now + upTo(9s), action.payload);
            }
        }
        instance.append = call;
    }
}

std::string fault_simulation::mutatedPayload(const simulated_instance &instance, std::string payload) const
{
    if (m_mutant != mutant::epoch_not_checked) {
        return payload;
    }
    auto entries = detail::decodeRecord(payload);
    std::vector<std::string> encoded;
    for (auto &e : entries.value()) {
        const epoch current = instance.ledger->find(detail::runOf(e), m_wall).at;
        if (auto *claim = std::get_if<detail::claim_entry>(&e)) {
            claim->expected = current;
            claim->waited = 0ms;
        } else if (auto *refusal = std::get_if<detail::refuse_entry>(&e)) {
            refusal->expected = current;
            refusal->hold = 0ms;
        }
        encoded.push_back(detail::encodeEntry(e));
    }
    return detail::encodeRecord(encoded);
}

void fault_simulation::readLog(simulated_instance &instance)
{
    const bool isDown = m_now < m_outageUntil || m_now < instance.partitionedUntil;
    if (isDown) {
        instance.ledger->onReadFailed(m_now, wallOf(instance));
        return;
    }
    platform::log_batch batch{1, m_log.size() + 1, {}};
    const std::size_t limit = m_isHealed ? 100 : 1 + m_random() % 8;
    for (std::size_t i = instance.ledger->nextOffset() - 1; i < m_log.size() && batch.records.size() < limit; ++i) {
        batch.records.push_back(m_log[i]);
        batch.records.back().payload = mutatedPayload(instance, m_log[i].payload);
        if (m_mutant == mutant::epoch_not_checked) {
            break;
        }
    }
    instance.ledger->onRecords(batch, m_now, wallOf(instance));
}

void fault_simulation::checkFinalState()
{
    const run_ledger &first = *m_instances.front().ledger;
    for (simulated_instance &instance : m_instances) {
        readLog(instance);
        m_coverage.voided += static_cast<int>(instance.ledger->counters().voidedClaims);
    }
    for (const simulated_instance &instance : m_instances) {
        if (instance.ledger->nextOffset() != first.nextOffset()
            || instance.ledger->stateDigest() != first.stateDigest()) {
            violate("replicas differ");
        }
    }
    m_coverage.unknown = static_cast<int>(first.unknownRuns().size());
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

std::string fault_simulation::run()
{
    for (int i = 0; i < faultySteps + healedSteps && m_violation.empty(); ++i) {
        m_isHealed = i >= faultySteps;
        m_now += step;
        m_wall += std::chrono::duration_cast<std::chrono::milliseconds>(step);
        if (!m_isHealed && chance(8)) {
            submit();
        }
        if (!m_isHealed) {
            injectFault();
        }
        appendDelayed();
        for (simulated_instance &instance : m_instances) {
            if (m_isHealed || !isPaused(instance)) {
                stepInstance(instance);
            }
        }
    }
    checkFinalState();
    return m_violation;
}

} // namespace masticlever::ledger::test
