#pragma once

#include "run-names.h"

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
/// Three instances, callers, an endpoint and a log that fail in a random order which a seed fixes.

namespace masticlever::ledger::test
{

using namespace std::chrono_literals;
using common::instant;
using common::wall_time;

/// A fault put into the instances' conduct or the log's delivery, which the assertions must notice.
enum class mutant {
    none,
    no_read_back, ///< sends when its append has ended
    epoch_not_checked, ///< every replica takes each entry for one of the present epoch
    others_void, ///< a taker voids the claim of the owner it has replaced
    negative_status_voids, ///< "not known" of a status query is taken for "not run"
    refusal_not_recorded, ///< "not run" is said without a record of it
    grant_after_timeout, ///< an own claim that lands late is sent
};

/// Names the call of a stage; also its result.
inline std::string callName(const run_key &run, std::uint32_t stage)
{
    return run.key + "/" + std::to_string(stage);
}

struct submission {
    run_key run;
    instant submittedAt;
};

enum class job_phase { waiting, claiming, refusing, following, ended };

/// One copy of a submission at one instance.
struct job {
    std::size_t submission = 0;
    run_key run;
    instant arrivedAt;
    instant claimAt; ///< earlier stages take until then
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

struct slot {
    std::string incarnation;
    std::optional<run_ledger> ledger;
    std::chrono::milliseconds skew{0};
    instant pausedUntil;
    instant cutUntil; ///< cannot reach the log
    std::vector<std::pair<instant, std::size_t>> inbox; ///< copies of submissions on their way
    std::vector<job> jobs;
    std::vector<grant> grants; ///< claims granted, calls not sent yet
    std::vector<endpoint_call> calls;
    std::optional<append_call> append;
    std::unordered_set<run_key> claiming; ///< runs with a later stage's claim under way
    std::map<instant, bool> reachHistory;
};

/// What the worlds of a loop have met: a loop that meets too little proves nothing.
struct tally {
    int sends = 0;
    int refusals = 0; ///< "not run" was said after a recorded refusal
    int certainRefusals = 0; ///< "not run" was said while the log was down
    int taken = 0;
    int unknown = 0; ///< at rest
    int voided = 0;
};

class fault_world
{
public:
    fault_world(std::uint64_t seed, mutant fault);

    /// Runs the faults, then heals everything and lets the instances come to rest. Returns the first violation.
    std::string run();
    const tally &seen() const { return m_seen; }

private:
    static constexpr int slotCount = 3;
    static constexpr int lastStage = 1;
    static constexpr int faultySteps = 200;
    static constexpr int healedSteps = 400;
    static constexpr common::duration step = 100ms;
    static constexpr common::duration largestPause = 15s;

    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    common::duration upTo(common::duration most) { return common::duration(m_random() % most.count()); }
    wall_time wallOf(const slot &s) const { return m_wall + s.skew; }
    bool isPaused(const slot &s) const { return m_now < s.pausedUntil; }
    void violate(const std::string &what);

    void start(slot &s);
    void breakSomething();
    void submit();
    void turn(slot &s);
    void readLog(slot &s);
    void receiveCopies(slot &s);
    void learnReach(slot &s);
    void landLate();
    void beginAppend(slot &s);
    void endAppend(slot &s);
    void handle(slot &s, const event &e);
    void sendGranted(slot &s);
    void endCalls(slot &s);
    void advance(slot &s, job &j);
    void claimFirst(slot &s, job &j);
    void workOnOwned(slot &s);
    void resolveStarted(slot &s, const run_key &run, const run_view &view);
    void takeOver(slot &s);
    void sayNotRun(job &j);
    void checkRest();
    std::string mutated(const slot &s, std::string payload) const;
    void grantFromPayload(slot &s, const std::string &payload);
    bool isBusy(const slot &s, const run_key &run, std::uint32_t stage) const;

    std::mt19937_64 m_random;
    std::uint64_t m_calm = 0; ///< the higher, the rarer the faults
    mutant m_mutant;
    instant m_now{10s};
    wall_time m_wall{1790000000000ms};
    std::vector<platform::log_record> m_log;
    std::vector<std::pair<instant, std::string>> m_late;
    instant m_outageUntil;
    bool m_isHealed = false;
    int m_incarnations = 0;
    std::vector<slot> m_slots;
    std::vector<submission> m_submissions;
    std::vector<run_key> m_runs;
    std::map<std::string, int> m_sends; ///< by callName()
    std::set<std::string> m_executed; ///< by callName()
    std::unordered_map<run_key, instant> m_notRunSaid;
    std::string m_violation;
    tally m_seen;
};

} // namespace masticlever::ledger::test
