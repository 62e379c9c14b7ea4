#pragma once

#include "fake-endpoint.h"
#include "simulator.h"

#include <masticlever/admission/admission.h>
#include <masticlever/ledger/ledger.h>
#include <masticlever/routing/router.h>
#include <masticlever/runs/learned-planner.h>
#include <masticlever/runs/run-table.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// \file
/// One entry instance: the daemon's decision objects behind a shell on the virtual clock.

namespace masticlever::policy_bench
{

class entry_instance;

/// The platform's log: appends take effect and reach every reader after fixed delays.
class fake_log
{
public:
    explicit fake_log(simulator &clock) : m_clock(clock) { }

    void addReader(entry_instance &reader) { m_readers.push_back(&reader); }
    void append(entry_instance &writer, const ledger::append_action &action);
    /// Tells the readers that the log can be reached.
    void keepAlive();

private:
    simulator &m_clock;
    std::vector<entry_instance *> m_readers;
    platform::log_offset m_end = 1;
};

using endpoint_map = std::map<std::string, std::unique_ptr<fake_endpoint>>;

struct caller {
    std::function<void()> onText;
    std::function<void(const runs::reply &)> onReply;
};

struct instance_options {
    std::string name;
    std::size_t fleetSize = 1;
    std::uint64_t seed = 0;
    common::duration hop{};
    routing::router_options routing;
};

class entry_instance
{
public:
    entry_instance(simulator &clock, fake_log &log, endpoint_map &endpoints, configuration::snapshot_ptr configuration,
                   const instance_options &options);

    void submit(runs::run_request request, caller from);
    void onAppended(std::uint64_t id, platform::log_offset offset);
    void onBatch(const platform::log_batch &batch);
    /// The instance is lost with its data centre: it hears and does nothing any more.
    void stop() { m_stopped = true; }
    /// Where the names of endpoints go that this instance suspects.
    void setPeers(std::function<void(const std::string &)> tellPeers) { m_tellPeers = std::move(tellPeers); }
    void onPeerSuspects(const std::string &endpoint) { m_router.onPeerSuspects(endpoint, m_clock.now()); }
    /// Membership has noticed how many instances are live.
    void setFleetSize(std::size_t instances) { m_options.fleetSize = instances; }
    bool isStopped() const { return m_stopped; }
    /// Calls of ended runs by stage name since the last resetCalls().
    const std::map<std::string, std::size_t> &callsByStage() const { return m_calls; }
    /// Least number of calls that the answered ones of these runs needed.
    std::size_t neededCalls() const { return m_neededCalls; }
    void resetCalls()
    {
        m_calls.clear();
        m_neededCalls = 0;
    }

private:
    void pump();
    void perform(runs::table_action &action);
    void send(const runs::send_call &call);
    void query(const runs::query_status &query);
    void countEnds();
    void armTimer();
    void adjustCapacity();
    void probe();
    call_replies repliesFor(const runs::send_call &call);

    simulator &m_clock;
    fake_log &m_log;
    endpoint_map &m_endpoints;
    configuration::snapshot_ptr m_configuration;
    instance_options m_options;
    seeded_random m_random;
    common::call_id_source m_callIds;
    routing::router m_router;
    admission::controller m_admission;
    ledger::run_ledger m_ledger;
    runs::learned_planner m_planner;
    runs::run_table m_runs;
    std::map<runs::run_id, caller> m_callers;
    std::map<std::string, std::size_t> m_calls;
    std::function<void(const std::string &)> m_tellPeers;
    std::size_t m_neededCalls = 0;
    common::instant m_timerAt = common::instant::max();
    bool m_stopped = false;
};

} // namespace masticlever::policy_bench
