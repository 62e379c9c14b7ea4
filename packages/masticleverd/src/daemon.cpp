#include "daemon.h"

#include "signal-pipe.h"

#include <masticlever/common/errors.h>
#include <masticlever/gateway/problem.h>
#include <masticlever/platform/http-platform.h>
#include <masticlever/telemetry/events.h>
#include <masticlever/telemetry/tracing.h>

#include <QCoreApplication>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <map>
#include <utility>

namespace masticlever::masticleverd
{

namespace
{

using telemetry::event;
using telemetry::logEvent;

constexpr std::chrono::milliseconds membershipInterval{200}; ///< below half of ledger_options::peerNotice

routing::policy_kind policyOf(const std::string &name)
{
    static const std::map<std::string, routing::policy_kind> kinds{
        {"random", routing::policy_kind::random},
        {"round_robin", routing::policy_kind::round_robin},
        {"least_in_flight", routing::policy_kind::least_in_flight},
        {"two_choices", routing::policy_kind::two_choices},
        {"two_choices_aged", routing::policy_kind::two_choices_aged},
        {"prefix_affinity", routing::policy_kind::prefix_affinity},
    };
    return kinds.at(name);
}

} // namespace

daemon::daemon(settings::daemon_settings settings)
    : m_settings(std::move(settings)), m_incarnation(makeIncarnation(m_settings.name, m_random)),
      m_log(platform::makeHttpLogService(m_settings.platformUrl, m_settings.name)),
      m_list(platform::makeHttpInstanceList(m_settings.platformUrl, m_settings.name))
{
    buildHosts();
    m_callers = std::make_unique<gateway::caller_api>(
        *this, gateway::caller_options{.bodyLimitBytes = m_settings.bodyLimitBytes});
    m_operators = std::make_unique<gateway::operator_api>(
        *this, gateway::operator_options{m_settings.readTokenDigests, m_settings.changeTokenDigests});
    m_server = std::make_unique<gateway::http_server>(
        gateway::server_options{.address = m_settings.gateway,
                                .certificateFile = m_settings.certificateFile,
                                .privateKeyFile = m_settings.privateKeyFile,
                                .bodyLimitBytes = m_settings.bodyLimitBytes,
                                .callerMemoryBytes = m_settings.callerMemoryMegabytes << 20,
                                .idleTimeout = m_settings.idleTimeout},
        [this](gateway::exchange &exchange) { handle(exchange); });
    connect(&m_secondTimer, &QTimer::timeout, this, &daemon::onSecondTimer);
    connect(&m_membershipTimer, &QTimer::timeout, this, &daemon::onMembershipTimer);
}

daemon::~daemon() = default;

void daemon::buildHosts()
{
    membership::instance_notice self;
    self.name = m_settings.name;
    self.incarnation = m_incarnation;
    self.dataCentre = m_settings.dataCentre;
    m_membership = std::make_unique<membership_host>(*m_list, m_settings, self, [this] { onMembershipChanged(); });
    m_configuration = std::make_unique<configuration_host>(
        *m_log, configuration::snapshot_writer_options{.records = m_settings.snapshotRecords},
        [this] { return m_membership->rank(); }, [this] { onConfigurationChanged(); });
    ledger::ledger_options ledgerOptions;
    ledgerOptions.incarnation = m_incarnation;
    ledgerOptions.claimTimeout = m_settings.claimTimeout;
    ledgerOptions.window = m_settings.ledgerWindow;
    m_ledger = std::make_unique<ledger_host>(*m_log, ledgerOptions, [this] { m_runs->pump(); });
    buildPeers();
    buildRuns();
}

void daemon::buildPeers()
{
    peers::peer_settings peerSettings;
    peerSettings.listenAddress = m_settings.peers.toString();
    peerSettings.key = m_settings.peersKey;
    peerSettings.gossip.interval = m_settings.heartbeatInterval;
    peers::peer_handlers handlers;
    handlers.recordsFrom = [this](platform::log_offset from, std::size_t limit) { return recordsForPeer(from, limit); };
    handlers.onRecords = [this](const platform::log_batch &batch) { return onPeerRecords(batch); };
    handlers.onNews = [this] { onMembershipChanged(); };
    handlers.onSuspects = [this](const std::vector<std::string> &endpoints) {
        for (const std::string &name : endpoints) {
            m_runs->router().onPeerSuspects(name, currentMoment().now);
        }
    };
    handlers.onRefused = [](std::error_code reason, std::uint64_t count) {
        logEvent(event::peer_message_refused, {{"reason", std::string_view(reason.message())}, {"count", count}});
    };
    m_peers
        = std::make_unique<peers::peer_service>(std::move(peerSettings), m_membership->table(), std::move(handlers));
}

common::result<platform::log_batch> daemon::recordsForPeer(platform::log_offset from, std::size_t limit) const
{
    const configuration::replayer &replayed = m_configuration->replayer();
    if (auto batch = replayed.recordsFrom(from, limit)) {
        return *batch;
    }
    if (!replayed.isReady() || replayed.current()->offset < from) {
        return make_error_code(common::error::unavailable);
    }
    // The records are no longer retained: send the whole state instead, as one record without an offset.
    platform::log_batch batch;
    batch.records.push_back({.payload = replayed.encodeSnapshot()});
    return batch;
}

platform::log_offset daemon::onPeerRecords(const platform::log_batch &batch)
{
    const bool isState = batch.records.size() == 1 && batch.records.front().offset == 0;
    if (isState) {
        m_configuration->onPeerState(batch.records.front().payload);
    } else {
        m_configuration->onPeerRecords(batch);
    }
    return configuration()->offset;
}

void daemon::buildRuns()
{
    run_host_options runOptions;
    runOptions.incarnation = m_incarnation;
    runOptions.router.policy = policyOf(m_settings.routingPolicy);
    runOptions.router.instanceName = m_settings.name;
    runOptions.router.subsetSize = m_settings.subsetSize;
    runOptions.capacityLimit = m_settings.capacity;
    runOptions.admission.queueLimit = m_settings.queueLimit;
    auto exporter = telemetry::makeSpanExporter({.url = m_settings.traceCollectorUrl},
                                                {m_settings.name, m_incarnation, m_settings.dataCentre});
    m_runs = std::make_unique<run_host>(std::move(runOptions), m_ledger->runLedger(), m_random, std::move(exporter),
                                        m_registry, [this] { m_ledger->sendAppends(); });
    m_membership->setLeavingHandler([this](const membership::endpoint_notice &notice) { onEndpointLeaving(notice); });
    m_runs->setReportHandler([this](const calls::endpoint_report &report) {
        // Every answer of a leaving endpoint says that it leaves; notify the peers only once.
        if (report.leaving && !m_membership->table().isEndpointLeaving(report.address)) {
            onEndpointLeaving({report.address, report.incarnation});
        }
    });
}

void daemon::onEndpointLeaving(const membership::endpoint_notice &notice)
{
    m_membership->onEndpointLeaving(notice);
    m_peers->announceEndpointLeaving(notice);
}

std::string daemon::start()
{
    std::string startError = m_server->start();
    if (!startError.empty()) {
        return startError;
    }
    const auto peerPort = m_peers->listen();
    if (!peerPort) {
        return m_settings.peers.toString() + ": " + peerPort.error().message();
    }
    const std::string address = m_settings.gateway.host + ':' + std::to_string(m_server->port());
    std::printf("listening %s\n", address.c_str());
    std::fflush(stdout);
    logEvent(event::started,
             {{"instance", std::string_view(m_settings.name)},
              {"incarnation", std::string_view(m_incarnation)},
              {"address", std::string_view(address)}});
    watchSignals();
    m_membership->start(address, m_settings.peers.host + ':' + std::to_string(peerPort.value()));
    m_configuration->start();
    m_ledger->start();
    m_secondTimer.start(std::chrono::seconds(1));
    m_membershipTimer.start(membershipInterval);
    return {};
}

void daemon::watchSignals()
{
    masticleverd::watchSignals(this, [this](int number) { onSignal(number); });
}

void daemon::onSignal(int number)
{
    if (number != SIGHUP) {
        beginDrain();
        return;
    }
    const std::string reloadError = m_server->reloadCertificate();
    if (reloadError.empty()) {
        logEvent(event::certificate_reloaded);
    } else {
        logEvent(event::certificate_invalid, {{"fault", std::string_view(reloadError)}});
    }
}

void daemon::handle(gateway::exchange &exchange)
{
    const auto &path = exchange.request().path;
    const bool isProbe = path.size() == 1 && (path[0] == "healthz" || path[0] == "readyz" || path[0] == "metrics");
    if (isProbe) {
        handleProbe(exchange);
        return;
    }
    if (!m_callers->handle(exchange) && !m_operators->handle(exchange)) {
        gateway::answerProblem(exchange,
                               {.kind = gateway::problem_kind::not_found, .detail = "docs/API.md lists the paths"});
    }
}

void daemon::handleProbe(gateway::exchange &exchange)
{
    const std::string &probe = exchange.request().path[0];
    if (probe == "healthz") {
        exchange.answer(200, "text/plain", "alive\n");
        return;
    }
    if (probe == "readyz") {
        const bool isDraining = m_drainStartedAt != common::instant::max();
        const bool isUp = isReady() && m_ledger->runLedger().isReady(currentMoment().now) && !isDraining;
        exchange.answer(isUp ? 200 : 503, "text/plain", isUp ? "ready\n" : (isDraining ? "leaving\n" : "not ready\n"));
        return;
    }
    if (!m_operators->authorize(exchange, false)) {
        return;
    }
    updateGauges();
    exchange.answer(200, "text/plain; version=0.0.4", m_registry.exposition());
}

runs::run_id daemon::submit(gateway::submission submission, std::shared_ptr<gateway::answer_sink> sink)
{
    return m_runs->submit(std::move(submission), std::move(sink));
}

gateway::run_status daemon::findRun(const common::run_key &key) const
{
    const ledger::run_view view = m_ledger->runLedger().find(key, currentMoment().wall);
    switch (view.standing) {
    case ledger::run_standing::finished:
        return {gateway::run_state::finished, runs::answerJson(view.answer)};
    case ledger::run_standing::started:
    case ledger::run_standing::between_stages:
        return {view.unknown ? gateway::run_state::unknown : gateway::run_state::running, {}};
    case ledger::run_standing::expired:
        return {gateway::run_state::expired, {}};
    case ledger::run_standing::absent:
        break;
    }
    return {m_runs->hasRun(key) ? gateway::run_state::running : gateway::run_state::none, {}};
}

void daemon::submitChange(const configuration::change &change, change_handler done)
{
    m_configuration->submit(change, std::move(done));
}

configuration::change_outcome daemon::checkChange(const configuration::change &change) const
{
    return m_configuration->check(change);
}

std::optional<configuration::change_view> daemon::findChange(const std::string &id) const
{
    return m_configuration->find(id);
}

std::vector<gateway::instance_status> daemon::instances() const
{
    std::vector<gateway::instance_status> all;
    for (const membership::instance_notice &instance : m_membership->table().liveInstances(currentMoment().now)) {
        all.push_back({instance.name, instance.incarnation, instance.dataCentre,
                       m_membership->addressOf(instance.incarnation), instance.leaving, instance.logReachable,
                       instance.configurationOffset});
    }
    return all;
}

std::vector<gateway::doubtful_run> daemon::doubtfulRuns() const
{
    std::vector<gateway::doubtful_run> all;
    for (const common::run_key &key : m_ledger->runLedger().unknownRuns()) {
        const ledger::run_view view = m_ledger->runLedger().find(key, currentMoment().wall);
        const runs::stage_label label = runs::claimedStage(view);
        all.push_back({key, view.pipeline, label.name, view.owner, view.changedAt, label.hasStatusQuery});
    }
    return all;
}

gateway::settle_outcome daemon::settleRun(const common::run_key &key, const std::string &resultJson)
{
    const common::moment at = currentMoment();
    const ledger::run_view view = m_ledger->runLedger().find(key, at.wall);
    if (!m_ledger->runLedger().isLogReachable()) {
        return gateway::settle_outcome::log_unreachable;
    }
    if (view.standing != ledger::run_standing::started || !view.unknown) {
        return gateway::settle_outcome::not_in_doubt;
    }
    m_ledger->runLedger().settle(key, view.stage, resultJson, at.now);
    logEvent(event::run_settled, {{"team", std::string_view(key.team)}, {"run", std::string_view(key.key)}});
    m_runs->pump();
    return gateway::settle_outcome::accepted;
}

void daemon::onConfigurationChanged()
{
    m_runs->setConfiguration(configuration());
    m_peers->setState(m_ledger->runLedger().isLogReachable(), configuration()->offset);
    onMembershipChanged();
    m_operators->onConfigurationChanged();
    if (isReady() && !std::exchange(m_wasReady, true)) {
        logEvent(event::ready, {{"offset", configuration()->offset}});
    }
}

void daemon::onMembershipChanged()
{
    for (const auto &[name, endpoint] : configuration()->endpoints) {
        const std::string &address = endpoint.spec.address;
        m_runs->router().setLeaving(address, m_membership->table().isEndpointLeaving(address));
    }
    m_ledger->runLedger().setPeerReachesLog(m_membership->table().isLogReachableByPeer(currentMoment().now));
}

void daemon::onMembershipTimer()
{
    onMembershipChanged();
    auto suspects = m_runs->runMaintenance(m_membership->liveIncarnations().size());
    if (!suspects.empty()) {
        m_peers->announceSuspects(std::move(suspects));
    }
}

void daemon::onSecondTimer()
{
    m_peers->setState(m_ledger->runLedger().isLogReachable(), configuration()->offset);
    if (m_membership->canDetectLostInstances()) {
        m_ledger->takeOverOrphanedRuns(m_membership->liveIncarnations(), m_membership->activeIncarnations(),
                                       m_incarnation);
    }
    m_runs->retryUnknownRuns();
    m_runs->probeEndpoints();
    m_ledger->limitAppendRate(m_membership->liveIncarnations().size());
    const std::uint64_t spansLost = m_runs->spansLost();
    if (spansLost > std::exchange(m_spansLost, spansLost)) {
        logEvent(event::spans_lost, {{"total", spansLost}});
    }
    finishDrain();
}

void daemon::beginDrain()
{
    if (m_drainStartedAt != common::instant::max()) {
        return;
    }
    m_drainStartedAt = currentMoment().now;
    logEvent(event::drain_started, {{"runs", static_cast<std::uint64_t>(m_runs->runsInProgress())}});
    m_membership->beginLeaving();
    m_peers->announceLeaving();
}

void daemon::finishDrain()
{
    if (m_drainStartedAt == common::instant::max()) {
        return;
    }
    const common::duration drained = currentMoment().now - m_drainStartedAt;
    if (drained < m_settings.drainNotice) {
        return;
    }
    m_runs->stopAccepting();
    const bool isIdle
        = m_runs->runsInProgress() == 0 && m_server->openExchanges() == 0 && m_ledger->runLedger().isIdle();
    if (isIdle || drained > m_settings.drainLimit) {
        logEvent(event::drain_finished, {{"runs", static_cast<std::uint64_t>(m_runs->runsInProgress())}});
        QCoreApplication::quit();
    }
}

} // namespace masticlever::masticleverd
