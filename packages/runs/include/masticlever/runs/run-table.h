#pragma once

#include <masticlever/admission/admission.h>
#include <masticlever/runs/run.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// All runs of one instance. Passes new requests through admission, and dispatches ledger events and endpoint answers
/// to their runs.

namespace masticlever::runs
{

using run_id = std::uint64_t;

/// An action and the run that requested it.
struct table_action {
    run_id run = 0;
    action what;
};

/// Share of a team in admission.
struct team_terms {
    double weight = 1;
    std::size_t limit = 64; ///< requests in flight per instance
};

/// Summary of a finished run, for metrics.
struct run_end {
    std::string pipeline;
    std::string team;
    bool metDeadline = false;
    std::vector<std::uint32_t> callsByStage;
    configuration::pipeline_spec spec;
};

class run_table
{
public:
    run_table(run_environment environment, admission::controller &admission);

    run_id submit(run_request request, const configuration::snapshot_ptr &configuration,
                  const configuration::pipeline_spec &pipeline, const team_terms &terms, common::moment at);
    void onCallerGone(run_id id, common::moment at);
    /// Returns false when no call with this id is in flight; the caller must discard the text. The same holds for
    /// onCallEnded().
    bool onText(const common::call_id &id, std::string_view text, common::moment at);
    bool onCallEnded(const common::call_id &id, const call_end &ended, common::moment at);
    /// Dispatches the ledger's events to their runs; run_taken resumes a run on this instance.
    void onLedgerEvents(const std::vector<ledger::event> &events, const configuration::snapshot_ptr &configuration,
                        common::moment at);
    /// Queries the endpoints again for the runs of this instance whose outcome is unknown.
    void retryUnknownRuns(const configuration::snapshot_ptr &configuration, common::moment at);
    void onTimer(common::moment at);

    /// Refuses new requests; those in progress continue.
    void stopAccepting() { m_stopping = true; }

    common::instant nextWakeUp() const;
    /// Number of unfinished runs.
    std::size_t size() const { return m_runs.size(); }
    /// Whether this instance has an unfinished run with this key.
    bool hasRun(const common::run_key &key) const { return m_byKey.contains(key); }
    std::vector<table_action> takeActions();
    /// Runs that finished since the last call.
    std::vector<run_end> takeEnds();

private:
    struct entry {
        run machine;
        admission::ticket ticket = 0;
        bool queued = false;
        bool isTicketOpen = false;
    };

    /// Collects the actions of a run, reschedules its wake-up and removes it when it is done.
    void update(run_id id, common::moment at);
    void finish(run_id id, common::moment at);
    void insert(run_id id, run machine);
    void onRunChanged(const common::run_key &key, const configuration::snapshot_ptr &configuration, common::moment at);
    void closeTicket(entry &current, common::moment at);
    void pollAdmission(common::moment at);
    template <typename Event> void forEachRunOfKey(const common::run_key &key, Event event, common::moment at);
    bool resume(const common::run_key &key, const ledger::run_view &view,
                const configuration::snapshot_ptr &configuration, common::moment at);

    run_environment m_environment;
    admission::controller &m_admission;
    std::map<run_id, entry> m_runs;
    std::multimap<common::run_key, run_id> m_byKey;
    std::map<common::call_id, run_id> m_byCall;
    std::unordered_map<admission::ticket, run_id> m_byTicket;
    std::multimap<common::instant, run_id> m_wakeUps;
    std::unordered_map<run_id, common::instant> m_wakeUpByRun;
    std::vector<table_action> m_actions;
    std::vector<run_end> m_ends;
    run_id m_lastId = 0;
    bool m_stopping = false;
};

} // namespace masticlever::runs
