#pragma once

#include "../../tests/site/site-store.h"
#include "record.h"

#include <QProcess>
#include <QTemporaryDir>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// A small deployment: a store and daemons that run as processes with the command and the settings template of the
/// deploy file, on loopback addresses.

namespace review
{

/// Handles events until \p condition holds or \p limit has passed; returns whether it holds.
bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit);
/// Handles events for \p time.
void pause(std::chrono::milliseconds time);

struct daemon_limits {
    int memoryMb = 182;
    int graceSeconds = 8;
};

class deployment
{
public:
    /// \p root is the folder of the repository, whose target/ the deploy file's build has filled.
    deployment(std::string root, record &log, std::size_t daemons, const std::string &configuration,
               daemon_limits limits = {});
    ~deployment();

    masticlever::site::site_store store;

    std::size_t size() const { return m_daemons.size(); }
    const std::string &front(std::size_t daemon) const { return m_daemons[daemon].front; }
    qint64 processId(std::size_t daemon) const { return m_daemons[daemon].process->processId(); }
    bool isRunning(std::size_t daemon) const;
    /// The most memory that the process has had resident, as the kernel states it.
    std::string peakMemory(std::size_t daemon) const;
    /// Memory that the process has resident now, in bytes; 0 if it is not running.
    std::size_t residentBytes(std::size_t daemon) const;
    void start(std::size_t daemon);
    void signal(std::size_t daemon, int number);
    /// Waits until all daemons answer that they are ready.
    bool waitReady();
    int readyStatus(std::size_t daemon) const;
    /// Writes the configuration and records that it was acknowledged.
    void configure(const std::string &text);

private:
    struct daemon {
        std::string ip;
        std::string front;
        std::string ready;
        std::string settingsFile;
        std::unique_ptr<QProcess> process;
    };

    std::string renderSettings(const daemon &target, std::size_t index) const;

    std::string m_root;
    record &m_log;
    daemon_limits m_limits;
    std::string m_storeAddress;
    QTemporaryDir m_folder;
    std::vector<daemon> m_daemons;
};

} // namespace review
