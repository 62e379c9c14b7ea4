#pragma once

#include <masticlever/net/stream-socket.h>

#include <QProcess>
#include <QTemporaryDir>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Runs the real daemons as child processes. Signals are only sent to processes that the fleet started, by their ids.

namespace masticlever::soak
{

/// Ports of a daemon, as offsets to its first one.
enum class daemon_port { front = 0, ready = 1, metrics = 2, gossip = 3, homes = 4 };

class soak_fleet
{
public:
    /// \p program is the path of the daemon, \p storeAddress the store address in its settings, \p instanceSettings
    /// more lines of the section [instance]. The processes may open \p descriptorLimit files each; 0: as many as this
    /// one.
    soak_fleet(QString program, std::size_t count, const std::string &storeAddress,
               const std::string &instanceSettings = {}, std::size_t descriptorLimit = 0);
    ~soak_fleet();

    std::size_t size() const { return m_daemons.size(); }
    const std::string &frontAddressOf(std::size_t index) const { return m_daemons[index].front; }
    std::string addressOf(std::size_t index, daemon_port port) const;
    void signal(std::size_t index, int number);
    bool isRunning(std::size_t index) const;
    qint64 processId(std::size_t index) const { return m_daemons[index].process->processId(); }
    /// Starts a daemon again if its process has ended.
    void restart(std::size_t index);
    /// Descriptions of the processes that ended although the fleet did not end them.
    const std::vector<std::string> &crashes() const { return m_crashes; }

private:
    struct daemon {
        std::string front;
        QString settings;
        QString log;
        std::unique_ptr<QProcess> process;
        bool isStopped = false;
        bool isTerminating = false; ///< SIGTERM or SIGKILL was sent
        int lastSignal = 0; ///< since its start; 0: none
        std::chrono::steady_clock::time_point startedAt;
        std::chrono::steady_clock::time_point signalledAt; ///< time of the last signal
    };

    std::string reserveNetwork();
    void onFinished(std::size_t index, int code, QProcess::ExitStatus status);

    std::string m_network; ///< first three octets of the addresses
    QString m_program;
    std::size_t m_descriptorLimit;
    std::unique_ptr<net::listener> m_reservation;
    QTemporaryDir m_folder;
    std::vector<daemon> m_daemons;
    std::vector<std::string> m_crashes;
};

} // namespace masticlever::soak
