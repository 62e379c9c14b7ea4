#pragma once

#include "clock.h"
#include "configuration-host.h"
#include "ledger-host.h"
#include "membership-host.h"
#include "run-host.h"

#include <masticlever/gateway/caller-api.h>
#include <masticlever/gateway/http-server.h>
#include <masticlever/gateway/operator-api.h>
#include <masticlever/peers/peer-service.h>
#include <masticlever/settings/settings.h>
#include <masticlever/telemetry/metrics.h>

#include <QObject>
#include <QTimer>

#include <memory>
#include <string>

/// \file
/// The daemon process of one entry instance: owns all its components and connects them.

namespace masticlever::masticleverd
{

class daemon : public QObject, public gateway::caller_service, public gateway::operator_service
{
public:
    explicit daemon(settings::daemon_settings settings);
    ~daemon() override;

    /// Returns an empty string on success, otherwise why the daemon cannot start.
    std::string start();

    // caller_service
    common::moment now() const override { return currentMoment(); }
    bool isReady() const override { return m_configuration->isReady(); }
    configuration::snapshot_ptr configuration() const override { return m_configuration->current(); }
    runs::run_id submit(gateway::submission submission, std::shared_ptr<gateway::answer_sink> sink) override;
    void onCallerGone(runs::run_id id) override { m_runs->onCallerGone(id); }
    gateway::run_status findRun(const common::run_key &key) const override;
    std::string makeKey() override { return makeUuid7(currentMoment().wall, m_random); }

    // operator_service
    void submitChange(const configuration::change &change, change_handler done) override;
    configuration::change_outcome checkChange(const configuration::change &change) const override;
    std::optional<configuration::change_view> findChange(const std::string &id) const override;
    std::vector<gateway::instance_status> instances() const override;
    const std::string &instanceName() const override { return m_settings.name; }
    bool isSecure() const override { return !m_settings.certificateFile.empty(); }
    void beginDrain() override;
    std::vector<gateway::doubtful_run> doubtfulRuns() const override;
    gateway::settle_outcome settleRun(const common::run_key &key, const std::string &resultJson) override;
    std::string makeChangeId() override { return makeKey(); }

private:
    void buildHosts();
    void buildPeers();
    void buildRuns();
    void handle(gateway::exchange &exchange);
    void handleProbe(gateway::exchange &exchange);
    void updateGauges();
    void onConfigurationChanged();
    void onMembershipChanged();
    void onEndpointLeaving(const membership::endpoint_notice &notice);
    void onMembershipTimer();
    void onSecondTimer();
    void finishDrain();
    common::result<platform::log_batch> recordsForPeer(platform::log_offset from, std::size_t limit) const;
    platform::log_offset onPeerRecords(const platform::log_batch &batch);
    void watchSignals();
    void onSignal(int number);

    settings::daemon_settings m_settings;
    system_random m_random;
    std::string m_incarnation;
    telemetry::metric_registry m_registry;
    std::unique_ptr<platform::log_service> m_log;
    std::unique_ptr<platform::instance_list> m_list;
    std::unique_ptr<membership_host> m_membership;
    std::unique_ptr<configuration_host> m_configuration;
    std::unique_ptr<peers::peer_service> m_peers;
    std::unique_ptr<ledger_host> m_ledger;
    std::unique_ptr<run_host> m_runs;
    std::unique_ptr<gateway::caller_api> m_callers;
    std::unique_ptr<gateway::operator_api> m_operators;
    std::unique_ptr<gateway::http_server> m_server;
    QTimer m_secondTimer;
    QTimer m_membershipTimer;
    common::instant m_drainStartedAt = common::instant::max();
    std::uint64_t m_spansLost = 0; ///< value in the last log line
    bool m_wasReady = false;
};

} // namespace masticlever::masticleverd
