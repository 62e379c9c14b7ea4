#pragma once

#include <QProcess>
#include <QTemporaryDir>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Runs the real daemons as child processes. Signals are only sent to processes that the fleet started, by their ids.

namespace masticlever::soak
{

class soak_fleet
{
public:
    /// \p program is the path of the daemon, \p storeAddress the store address in its settings.
    soak_fleet(QString program, std::size_t count, const std::string &storeAddress);
    ~soak_fleet();

    std::size_t size() const { return m_daemons.size(); }
    const std::string &frontAddressOf(std::size_t index) const { return m_daemons[index].front; }
    void signal(std::size_t index, int number);
    bool isRunning(std::size_t index) const;
    /// Starts a daemon again if its process has ended.
    void restart(std::size_t index);
    /// Number of processes that ended without a signal from the fleet.
    std::size_t crashes() const { return m_crashes; }

private:
    struct daemon {
        std::string front;
        QString settings;
        QString log;
        std::unique_ptr<QProcess> process;
        bool isStopped = false;
        bool isTerminating = false; ///< SIGTERM or SIGKILL was sent
    };

    QString m_program;
    QTemporaryDir m_folder;
    std::vector<daemon> m_daemons;
    std::size_t m_crashes = 0;
};

} // namespace masticlever::soak
