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
/// Connects the ledger to the log service and takes over the runs of lost instances.

namespace masticlever::masticleverd
{

class ledger_host : public QObject
{
public:
    /// \p onActivity is called after each read, append result or timer that the ledger has processed.
    ledger_host(platform::log_service &service, ledger::ledger_options options, std::function<void()> onActivity);

    void start() { m_follower.start(); }
    ledger::run_ledger &runLedger() { return m_ledger; }
    const ledger::run_ledger &runLedger() const { return m_ledger; }

    /// Sends the appends that the ledger has queued.
    void sendAppends();
    /// Limits this instance's appends to its share of the fleet's append budget; call once per second.
    void limitAppendRate(std::size_t liveInstances);
    /// Takes over the unfinished runs whose owner is not among \p live and whose new owner among \p active is \p self.
    void takeOverOrphanedRuns(const std::vector<std::string> &live, const std::vector<std::string> &active,
                              std::string_view self);

private:
    void logProgress();
    void armTimer();

    platform::log_service &m_service;
    ledger::run_ledger m_ledger;
    std::function<void()> m_onActivity;
    log_follower m_follower;
    QTimer m_timer;
    std::uint64_t m_lastAppendCount = 0; ///< appends in total at the last limitAppendRate()
    bool m_isRateLimited = false;
    bool m_caughtUp = false;
};

/// Selects the incarnation among \p live that takes over \p run, by rendezvous hashing. \p live must not be empty.
const std::string &newOwnerOf(const common::run_key &run, const std::vector<std::string> &live);

} // namespace masticlever::masticleverd
