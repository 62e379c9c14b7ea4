#pragma once

#include "../../tests/site/site-store.h"

#include <masticlever/net/stream-socket.h>

#include <QProcess>
#include <QString>
#include <QTemporaryDir>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Daemons of a small deployment: started with the command of the deploy file, on loopback addresses, with settings
/// files as the template of the deploy file gives them.

namespace masticlever::review
{

/// Runs the event loop until \p isDone returns true; returns false after \p timeoutMs.
bool runUntil(const std::function<bool()> &isDone, int timeoutMs);
void runFor(int milliseconds);

class deployment
{
public:
    /// Starts \p count daemons, each in its own zone. \p root is the root of the repository.
    deployment(const QString &root, std::size_t count, const std::string &storeAddress, int memoryMegabytes = 182);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    /// Waits until all daemons answer their readiness checks with 200.
    bool waitUntilReady(int timeoutMs) const;
    bool isReady(std::size_t index) const;
    bool isRunning(std::size_t index) const;
    /// Starts a daemon again whose process has ended.
    void restart(std::size_t index) { start(m_daemons[index]); }
    /// How the process ended; empty while it runs.
    std::string endOf(std::size_t index) const;
    void signal(std::size_t index, int number) const;
    const std::string &frontOf(std::size_t index) const { return m_daemons[index].front; }
    const std::string &readyOf(std::size_t index) const { return m_daemons[index].ready; }
    qint64 processOf(std::size_t index) const { return m_daemons[index].process->processId(); }
    std::size_t size() const { return m_daemons.size(); }
    /// What the daemon wrote to its log so far.
    std::string logOf(std::size_t index) const;

private:
    struct daemon {
        std::string front;
        std::string ready;
        QString settings;
        QString log;
        std::unique_ptr<QProcess> process;
    };

    std::string reserveNetwork();
    void start(daemon &target) const;

    QString m_root;
    QTemporaryDir m_folder;
    std::unique_ptr<net::listener> m_reservation;
    std::vector<daemon> m_daemons;
};

} // namespace masticlever::review
