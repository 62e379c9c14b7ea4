#include "run-host.h"

#include "clock.h"

#include <masticlever/calls/http-call-client.h>
#include <masticlever/routing/capacity.h>
#include <masticlever/telemetry/events.h>

#include <QByteArray>
#include <QString>
#include <QTcpSocket>

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace masticlever::masticleverd
{

namespace
{

using telemetry::event;
using telemetry::logEvent;

constexpr std::chrono::milliseconds probeTimeout{500};

void logLedgerEvent(const ledger::event &ledgerEvent)
{
    if (const auto *taken = std::get_if<ledger::run_taken>(&ledgerEvent)) {
        logEvent(event::run_taken,
                 {{"team", std::string_view(taken->run.team)}, {"run", std::string_view(taken->run.key)}});
    } else if (const auto *unavailable = std::get_if<ledger::claim_unavailable>(&ledgerEvent)) {
        logEvent(event::claim_given_up,
                 {{"team", std::string_view(unavailable->run.team)}, {"run", std::string_view(unavailable->run.key)}});
    }
}

} // namespace

run_host::run_host(run_host_options options, ledger::run_ledger &ledger, common::random_source &random,
                   std::unique_ptr<telemetry::span_exporter> exporter, telemetry::metric_registry &registry,
                   std::function<void()> onLedgerWork)
    : m_options(std::move(options)), m_ledger(ledger), m_router(m_options.router), m_admission(m_options.admission),
      m_callIds(m_options.incarnation),
      m_table({m_router, ledger, m_planner, m_callIds, random, m_options.incarnation}, m_admission),
      m_client(calls::makeHttpCallClient(*this)), m_traces(std::move(exporter), random), m_metrics(registry),
      m_onLedgerWork(std::move(onLedgerWork)), m_configuration(std::make_shared<configuration::snapshot>())
{
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer);
    connect(&m_timer, &QTimer::timeout, this, [this] {
        m_table.onTimer(currentMoment());
        pump();
    });
}

run_host::~run_host() = default;

void run_host::setReportHandler(std::function<void(const calls::endpoint_report &)> handler)
{
    m_onReport = std::move(handler);
}

runs::run_id run_host::submit(gateway::submission submission, std::shared_ptr<gateway::answer_sink> sink)
{
    const common::moment at = currentMoment();
    caller newCaller{std::move(sink), submission.request.pipelineName, submission.request.key.team, at.now};
    const std::string pipeline = newCaller.pipeline;
    const runs::run_id id = m_table.submit(std::move(submission.request), submission.configuration,
                                           *submission.pipeline, submission.terms, at);
    m_callers.emplace(id, std::move(newCaller));
    m_traces.onRequest(id, pipeline, submission.traceparent);
    pump();
    return id;
}

void run_host::onCallerGone(runs::run_id id)
{
    if (m_callers.erase(id) > 0) {
        m_traces.onRequestEnded(id, runs::disposition::failed);
    }
    m_table.onCallerGone(id, currentMoment());
    pump();
}

void run_host::setConfiguration(const configuration::snapshot_ptr &current)
{
    if (m_configuration == current) {
        return;
    }
    m_configuration = current;
    m_router.update(*current, currentMoment().now);
    m_endpointNames.clear();
    for (const auto &[name, endpoint] : current->endpoints) {
        m_endpointNames.emplace(endpoint.spec.address, name);
    }
}

void run_host::pump()
{
    if (std::exchange(m_isPumping, true)) {
        return;
    }
    for (;;) {
        const auto events = m_ledger.takeEvents();
        std::for_each(events.begin(), events.end(), logLedgerEvent);
        m_table.onLedgerEvents(events, m_configuration, currentMoment());
        auto actions = m_table.takeActions();
        if (events.empty() && actions.empty()) {
            break;
        }
        for (runs::table_action &action : actions) {
            perform(action);
        }
    }
    for (const runs::run_end &ended : m_table.takeEnds()) {
        m_metrics.onEnd(ended);
    }
    m_isPumping = false;
    m_onLedgerWork();
    armTimer();
}

void run_host::perform(runs::table_action &action)
{
    if (auto *call = std::get_if<runs::send_call>(&action.what)) {
        const std::string traceparent = m_traces.onCall(action.run, call->id, call->stageName, call->endpoint);
        m_client->send(*call, traceparent);
    } else if (auto *query = std::get_if<runs::query_status>(&action.what)) {
        m_client->query(*query);
    } else if (auto *cancelled = std::get_if<runs::cancel_call>(&action.what)) {
        m_client->cancel(cancelled->id);
        m_traces.onCallEnded(cancelled->id, false);
    } else if (auto *text = std::get_if<runs::stream_text>(&action.what)) {
        const auto found = m_callers.find(action.run);
        if (found != m_callers.end()) {
            caller &waiting = found->second;
            if (!std::exchange(waiting.hasText, true)) {
                m_metrics.onFirstText(waiting.pipeline, currentMoment().now - waiting.arrivedAt);
            }
            waiting.sink->onText(text->text);
        }
    } else if (auto *reply = std::get_if<runs::reply>(&action.what)) {
        deliverReply(action.run, *reply);
    }
}

void run_host::deliverReply(runs::run_id id, const runs::reply &reply)
{
    const auto found = m_callers.find(id);
    if (found == m_callers.end()) {
        return;
    }
    const caller waiting = std::move(found->second);
    m_callers.erase(found);
    m_metrics.onReply(waiting.pipeline, waiting.team, reply.outcome, currentMoment().now - waiting.arrivedAt);
    m_traces.onRequestEnded(id, reply.outcome);
    if (reply.outcome == runs::disposition::unknown) {
        logEvent(event::run_unknown,
                 {{"team", std::string_view(waiting.team)}, {"pipeline", std::string_view(waiting.pipeline)}});
    }
    waiting.sink->onReply(reply);
}

void run_host::retryUnknownRuns()
{
    m_table.retryUnknownRuns(m_configuration, currentMoment());
    pump();
}

std::vector<std::string> run_host::runMaintenance(std::size_t liveInstances)
{
    const common::instant now = currentMoment().now;
    double share = 0;
    for (const auto &[name, pipeline] : m_configuration->pipelines) {
        const auto fleet = routing::capacityOf(name, pipeline.spec, m_planner.estimates(), m_router, now);
        share = std::max(share, routing::instanceCapacity(fleet, liveInstances));
    }
    if (share > 0) {
        const auto capacity = static_cast<std::size_t>(std::ceil(share));
        m_admission.setCapacity(std::min(capacity, m_options.capacityLimit));
    }
    m_table.onTimer(currentMoment());
    pump();
    std::vector<std::string> suspects = m_router.takeSuspects(now);
    for (const std::string &name : suspects) {
        if (m_loggedEjections.insert(name).second) {
            logEvent(event::endpoint_ejected, {{"endpoint", std::string_view(name)}});
        }
    }
    return suspects;
}

void run_host::probeEndpoints()
{
    for (const routing::candidate &endpoint : m_router.dueProbes(currentMoment().now)) {
        probe(endpoint);
    }
}

void run_host::probe(const routing::candidate &endpoint)
{
    const std::size_t colon = endpoint.address.rfind(':');
    const QString host = QString::fromStdString(endpoint.address.substr(0, colon));
    const quint16 port = QByteArray::fromStdString(endpoint.address.substr(colon + 1)).toUShort();
    auto *socket = new QTcpSocket(this);
    const auto finish = [this, socket, name = endpoint.name](bool answered) {
        socket->disconnect(this);
        socket->abort();
        socket->deleteLater();
        m_router.onProbed(name, answered, currentMoment().now);
        if (answered && m_loggedEjections.erase(name) > 0) {
            logEvent(event::endpoint_back, {{"endpoint", std::string_view(name)}});
        }
    };
    connect(socket, &QTcpSocket::connected, this, [finish] { finish(true); });
    connect(socket, &QTcpSocket::errorOccurred, this, [finish] { finish(false); });
    QTimer::singleShot(probeTimeout, socket, [finish] { finish(false); });
    socket->connectToHost(host, port);
}

void run_host::armTimer()
{
    const common::instant next = m_table.nextWakeUp();
    if (next == common::instant::max()) {
        m_timer.stop();
        return;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next - currentMoment().now);
    m_timer.start(std::max(wait, std::chrono::milliseconds(0)));
}

void run_host::onCallText(const common::call_id &id, std::string_view text)
{
    if (!m_table.onText(id, text, currentMoment())) {
        m_metrics.onUnmatchedAnswer();
    }
    pump();
}

void run_host::onCallEnded(const common::call_id &id, const runs::call_end &ended)
{
    m_traces.onCallEnded(id, ended.status == runs::call_status::answered);
    if (!m_table.onCallEnded(id, ended, currentMoment())) {
        m_metrics.onUnmatchedAnswer();
    }
    pump();
}

void run_host::onEndpointReport(const calls::endpoint_report &report)
{
    const auto name = m_endpointNames.find(report.address);
    if (report.hasLoad && name != m_endpointNames.end()) {
        m_router.onLoadReport(name->second, report.load, report.age, currentMoment().now);
    }
    if (m_onReport) {
        m_onReport(report);
    }
}

void run_host::onAnswerDropped(calls::drop_reason reason)
{
    m_metrics.onDropped(reason);
    logEvent(event::answer_dropped, {{"reason", calls::toString(reason)}});
}

} // namespace masticlever::masticleverd
