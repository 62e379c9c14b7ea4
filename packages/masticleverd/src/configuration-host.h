#pragma once

#include "log-follower.h"

#include <masticlever/configuration/change-tracker.h>
#include <masticlever/configuration/replay.h>
#include <masticlever/configuration/snapshot-writer.h>
#include <masticlever/gateway/operator-api.h>
#include <masticlever/platform/log-service.h>

#include <QObject>
#include <QTimer>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// \file
/// Connects the replay of the configuration log, operators' changes and snapshot writing to the log service.

namespace masticlever::masticleverd
{

class configuration_host : public QObject
{
public:
    using changed_handler = std::function<void()>;

    /// \p rank returns this instance's position among the live instances that are not leaving, starting at 0.
    configuration_host(platform::log_service &service, configuration::snapshot_writer_options snapshots,
                       std::function<std::size_t()> rank, changed_handler onChanged);

    void start() { m_follower.start(); }

    configuration::snapshot_ptr current() const { return m_replayer.current(); }
    bool isReady() const { return m_replayer.isReady(); }
    bool isLogReachable() const { return m_follower.isReachable(); }
    const configuration::replayer &replayer() const { return m_replayer; }

    void submit(const configuration::change &change, gateway::operator_service::change_handler done);
    configuration::change_outcome check(const configuration::change &change) const { return m_replayer.check(change); }
    std::optional<configuration::change_view> find(const std::string &id) const;

    /// Applies log records received from a peer.
    void onPeerRecords(const platform::log_batch &batch);
    /// Applies a complete encoded snapshot received from a peer.
    void onPeerState(const std::string &encodedSnapshot);

private:
    void onBatch(const platform::log_batch &batch);
    void afterReplay(configuration::replay_state state);
    void pump();
    void pollSnapshot();
    void answerEndedChanges();

    platform::log_service &m_service;
    configuration::replayer m_replayer;
    configuration::change_tracker m_tracker{{}};
    configuration::snapshot_writer m_snapshots;
    std::function<std::size_t()> m_rank;
    changed_handler m_onChanged;
    log_follower m_follower;
    QTimer m_timer;
    std::multimap<std::string, gateway::operator_service::change_handler> m_waiting; ///< by change id
    std::uint64_t m_appliedOffset = 0;
    std::uint64_t m_divergences = 0;
    configuration::replay_state m_lastState = configuration::replay_state::current;
};

} // namespace masticlever::masticleverd
