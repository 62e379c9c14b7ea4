#pragma once

#include <QByteArray>
#include <QProcess>
#include <QString>
#include <QStringList>

#include <chrono>
#include <functional>
#include <optional>

/// \file
/// A program under test: started on a free port, signalled by its process id, and killed at the end of the test.

namespace masticlever::process
{

/// Timeout for conditions that must become true; long enough for slow machines.
constexpr std::chrono::milliseconds defaultTimeout{20'000};

/// Runs the event loop until \p condition holds; returns false when it doesn't within \p timeout.
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout = defaultTimeout);

/// Runs the event loop for \p time. Only for checking that something does not happen.
void runEventLoopFor(std::chrono::milliseconds time);

class program
{
public:
    /// \p name is a program of this build, in the folder of the test program.
    program(const QString &name, const QStringList &arguments);
    program(const program &) = delete;
    program &operator=(const program &) = delete;
    ~program();

    /// Waits for the line "listening IP:PORT".
    bool waitUntilListening();
    /// "IP:PORT"; empty before it listens.
    QString address() const { return m_address; }

    void kill(); ///< SIGKILL, and waits for the end
    void stop(); ///< SIGSTOP
    void resume(); ///< SIGCONT
    void terminate(); ///< SIGTERM
    bool isRunning() const;
    qint64 processId() const { return m_process.processId(); }
    /// Waits for the exit code; -1 after a crash, no value after the timeout.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout = defaultTimeout);

    /// Standard output and error so far.
    const QByteArray &output() const { return m_output; }

private:
    void signal(int number);
    void onOutput();

    QProcess m_process;
    QByteArray m_output;
    QString m_address;
};

} // namespace masticlever::process
