#pragma once

#include "log-follower.h"

#include <masticlever/common/run-key.h>
#include <masticlever/ledger/ledger.h>
#include <masticlever/platform/log-service.h>

#include <QObject>
#include <QTimer>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Hosts the ledger: its log, its appends and the runs of lost owners.

namespace masticlever::masticleverd
{

class ledger_host : public QObject
{
public:
    /// \p onActivity is called after every event from the log.
    ledger_host(platform::log_service &service, ledger::ledger_options options, std::function<void()> onActivity);

    void start() { m_follower.start(); }
    ledger::run_ledger &core() { return m_ledger; }
    const ledger::run_ledger &core() const { return m_ledger; }

    /// Sends the appends that the ledger has asked for.
    void pumpAppends();
    /// Keeps this instance's appends within its share of the log's budget; called once a second.
    void pace(std::size_t liveInstances);
    /// Takes the unfinished runs whose owner is not among \p live, where this instance is their home among \p staying.
    void takeOrphans(const std::vector<std::string> &live, const std::vector<std::string> &staying,
                     std::string_view self);

private:
    void logProgress();
    void armTimer();

    platform::log_service &m_service;
    ledger::run_ledger m_ledger;
    std::function<void()> m_onActivity;
    log_follower m_follower;
    QTimer m_timer;
    std::uint64_t m_appendsBefore = 0; ///< at the last pace()
    bool m_paced = false;
    bool m_caughtUp = false;
};

/// The incarnation among \p live that is home to \p run, by rendezvous hashing. \p live is not empty.
const std::string &homeOf(const common::run_key &run, const std::vector<std::string> &live);

} // namespace masticlever::masticleverd
