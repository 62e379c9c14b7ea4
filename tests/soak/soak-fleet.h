#pragma once

#include <QProcess>
#include <QTemporaryDir>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

/// \file
/// The real daemons as processes of their own. Only processes that the fleet started are signalled, by their ids.

namespace masticlever::soak
{

class soak_fleet
{
public:
    /// \p program is the daemon; \p storeAddress what it is told of the store.
    soak_fleet(QString program, std::size_t count, const std::string &storeAddress);
    ~soak_fleet();

    std::size_t size() const { return m_daemons.size(); }
    const std::string &frontOf(std::size_t index) const { return m_daemons[index].front; }
    void signal(std::size_t index, int number);
    bool isRunning(std::size_t index) const;
    /// Starts a daemon whose process has ended; its life before is forgotten.
    void restart(std::size_t index);
    /// Processes that ended by themselves.
    std::size_t crashes() const { return m_crashes; }

private:
    struct daemon {
        std::string front;
        QString settings;
        QString log;
        std::unique_ptr<QProcess> process;
        bool isStopped = false;
        bool isEnding = false; ///< a signal that ends it was sent
    };

    QString m_program;
    QTemporaryDir m_folder;
    std::vector<daemon> m_daemons;
    std::size_t m_crashes = 0;
};

} // namespace masticlever::soak
