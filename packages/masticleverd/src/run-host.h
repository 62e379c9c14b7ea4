#pragma once

#include "run-metrics.h"
#include "trace-recorder.h"

#include <masticlever/admission/admission.h>
#include <masticlever/calls/call-client.h>
#include <masticlever/gateway/caller-api.h>
#include <masticlever/ledger/ledger.h>
#include <masticlever/routing/router.h>
#include <masticlever/runs/learned-planner.h>
#include <masticlever/runs/run-table.h>

#include <QObject>
#include <QTimer>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// Executes the actions of the run table: sends calls, passes answers and ledger events to runs, replies to callers.

namespace masticlever::masticleverd
{

struct run_host_options {
    std::string incarnation;
    routing::router_options router;
    admission::admission_options admission;
    std::size_t capacityLimit = 256; ///< maximum requests in flight, even if the pools have more capacity
};

class run_host : public QObject, public calls::call_observer
{
public:
    /// \p onLedgerWork is called when the ledger may have queued appends.
    run_host(run_host_options options, ledger::run_ledger &ledger, common::random_source &random,
             std::unique_ptr<telemetry::span_exporter> exporter, telemetry::metric_registry &registry,
             std::function<void()> onLedgerWork);
    ~run_host() override;

    runs::run_id submit(gateway::submission submission, std::shared_ptr<gateway::answer_sink> sink);
    void onCallerGone(runs::run_id id);
    /// Updates the router and the endpoint names if \p current differs from the configuration in use.
    void setConfiguration(const configuration::snapshot_ptr &current);
    /// Passes ledger events to the runs and performs their actions until there are none left.
    void pump();
    void retryUnknownRuns();
    /// Probes ejected endpoints whose ejection time has expired with a TCP connection, so that no request is risked.
    void probeEndpoints();
    /// Sets the admission capacity to this instance's share of the pools, which \p liveInstances divide among
    /// themselves. Returns ejected or unresponsive endpoints, each at most once a second.
    std::vector<std::string> runMaintenance(std::size_t liveInstances);
    void stopAccepting() { m_table.stopAccepting(); }

    bool hasRun(const common::run_key &key) const { return m_table.hasRun(key); }
    std::size_t runsInProgress() const { return m_table.size(); }
    std::size_t inFlight() const { return m_admission.inFlight(); }
    std::size_t queued() const { return m_admission.queued(); }
    std::uint64_t spansLost() const { return m_traces.lost(); }
    routing::router &router() { return m_router; }
    /// \p handler is called with the load and state that endpoints report in their answers.
    void setReportHandler(std::function<void(const calls::endpoint_report &)> handler);

    void onCallText(const common::call_id &id, std::string_view text) override;
    void onCallEnded(const common::call_id &id, const runs::call_end &ended) override;
    void onEndpointReport(const calls::endpoint_report &report) override;
    void onAnswerDropped(calls::drop_reason reason) override;

private:
    struct caller {
        std::shared_ptr<gateway::answer_sink> sink;
        std::string pipeline;
        std::string team;
        common::instant arrivedAt;
        bool hasText = false;
    };

    void perform(runs::table_action &action);
    void deliverReply(runs::run_id id, const runs::reply &reply);
    void probe(const routing::candidate &endpoint);
    void armTimer();

    run_host_options m_options;
    ledger::run_ledger &m_ledger;
    routing::router m_router;
    admission::controller m_admission;
    runs::learned_planner m_planner;
    common::call_id_source m_callIds;
    runs::run_table m_table;
    std::unique_ptr<calls::call_client> m_client;
    trace_recorder m_traces;
    run_metrics m_metrics;
    std::function<void()> m_onLedgerWork;
    std::function<void(const calls::endpoint_report &)> m_onReport;
    configuration::snapshot_ptr m_configuration;
    std::unordered_map<std::string, std::string> m_endpointNames; ///< by address
    std::unordered_map<runs::run_id, caller> m_callers;
    std::set<std::string> m_loggedEjections; ///< endpoints whose ejection was logged and that are not back yet
    QTimer m_timer;
    bool m_isPumping = false;
};

} // namespace masticlever::masticleverd
