#pragma once

#include "run-keys.h"

#include <masticlever/ledger/ledger.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

/// \file
/// Simulation of three instances, callers, an endpoint and a log, with random faults that a seed determines.

namespace masticlever::ledger::test
{

using namespace std::chrono_literals;
using common::instant;
using common::wall_time;

/// A defect in the instances' behaviour or in the log's delivery that the assertions must detect.
enum class mutant {
    none,
    no_read_back, ///< sends the call as soon as the append has ended
    epoch_not_checked, ///< replicas treat each entry as one of the current epoch
    others_void, ///< an instance that takes a run voids the claim of the former owner
    negative_status_voids, ///< a status query's "not known" is treated as "not run"
    refusal_not_recorded, ///< "not run" is answered without a recorded refusal
    grant_after_timeout, ///< the call of an own claim that takes effect late is sent
};

/// Identifies the call of a stage; also used as its result.
inline std::string callName(const run_key &run, std::uint32_t stage)
{
    return run.key + "/" + std::to_string(stage);
}

struct submission {
    run_key run;
    instant submittedAt;
};

enum class job_phase { waiting, claiming, refusing, following, ended };

/// A copy of a submission at an instance.
struct job {
    std::size_t submission = 0;
    run_key run;
    instant arrivedAt;
    instant claimAt; ///< time at which the earlier, repeatable stages end
    epoch expected = 0;
    job_phase phase = job_phase::waiting;
};

struct endpoint_call {
    run_key run;
    std::uint32_t stage = 0;
    instant endsAt;
    bool isAnswerLost = false;
};

struct append_call {
    std::uint64_t id = 0;
    std::string payload;
    common::result<platform::log_offset> outcome = platform::log_offset(0);
    instant endsAt;
};

struct grant {
    run_key run;
    std::uint32_t stage = 0;
};

struct simulated_instance {
    std::string incarnation;
    std::optional<run_ledger> ledger;
    std::chrono::milliseconds skew{0};
    instant pausedUntil;
    instant partitionedUntil; ///< until then it cannot reach the log
    std::vector<std::pair<instant, std::size_t>> inbox; ///< arrival times of copies of submissions in transit
    std::vector<job> jobs;
    std::vector<grant> grants; ///< granted claims whose calls are not sent yet
    std::vector<endpoint_call> calls;
    std::optional<append_call> append;
    std::unordered_set<run_key> claiming; ///< runs with a claim of a later stage in progress
    std::map<instant, bool> reachableHistory;
};

/// Counts of the situations that the simulations reached; without them, passing assertions prove nothing.
struct coverage_counts {
    int sends = 0;
    int refusals = 0; ///< "not run" was answered after a recorded refusal
    int certainRefusals = 0; ///< "not run" was answered while the log was unreachable
    int taken = 0;
    int unknown = 0; ///< at the end of the simulation
    int voided = 0;
};

class fault_simulation
{
public:
    fault_simulation(std::uint64_t seed, mutant fault);

    /// Simulates a time with faults, then one without until all work has ended. Returns the first violation, or an
    /// empty string.
    std::string run();
    const coverage_counts &coverage() const { return m_coverage; }

private:
    static constexpr int instanceCount = 3;
    static constexpr int lastStage = 1;
    static constexpr int faultySteps = 200;
    static constexpr int healedSteps = 400;
    static constexpr common::duration step = 100ms;
    static constexpr common::duration maxPause = 15s;

    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    common::duration upTo(common::duration limit) { return common::duration(m_random() % limit.count()); }
    wall_time wallOf(const simulated_instance &instance) const { return m_wall + instance.skew; }
    bool isPaused(const simulated_instance &instance) const { return m_now < instance.pausedUntil; }
    void violate(const std::string &what);

    void start(simulated_instance &instance);
    void injectFault();
    void submit();
    void stepInstance(simulated_instance &instance);
    void readLog(simulated_instance &instance);
    void receiveCopies(simulated_instance &instance);
    void updatePeerReports(simulated_instance &instance);
    void appendDelayed();
    void beginAppend(simulated_instance &instance);
    void endAppend(simulated_instance &instance);
    void handle(simulated_instance &instance, const event &e);
    void sendGranted(simulated_instance &instance);
    void endCalls(simulated_instance &instance);
    void advance(simulated_instance &instance, job &j);
    void claimFirstStage(simulated_instance &instance, job &j);
    void advanceOwnedRuns(simulated_instance &instance);
    void resolveStarted(simulated_instance &instance, const run_key &run, const run_view &view);
    void takeOver(simulated_instance &instance);
    void answerNotRun(job &j);
    void checkFinalState();
    std::string mutatedPayload(const simulated_instance &instance, std::string payload) const;
    void grantFromPayload(simulated_instance &instance, const std::string &payload);
    bool isBusy(const simulated_instance &instance, const run_key &run, std::uint32_t stage) const;

    std::mt19937_64 m_random;
    std::uint64_t m_faultRarity = 0; ///< faults are less frequent with a higher value
    mutant m_mutant;
    instant m_now{10s};
    wall_time m_wall{1790000000000ms};
    std::vector<platform::log_record> m_log;
    std::vector<std::pair<instant, std::string>> m_delayedAppends;
    instant m_outageUntil;
    bool m_isHealed = false;
    int m_incarnations = 0;
    std::vector<simulated_instance> m_instances;
    std::vector<submission> m_submissions;
    std::vector<run_key> m_runs;
    std::map<std::string, int> m_sends; ///< by callName()
    std::set<std::string> m_executed; ///< by callName()
    std::unordered_map<run_key, instant> m_notRunAnswers;
    std::string m_violation;
    coverage_counts m_coverage;
};

} // namespace masticlever::ledger::test
