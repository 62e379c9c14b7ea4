#pragma once

#include <QByteArray>
#include <QProcess>
#include <QString>
#include <QStringList>

#include <chrono>
#include <functional>
#include <optional>

/// \file
/// A program under test: started on a free port, signalled by its process id, ended with the test.

namespace masticlever::process
{

/// Deadline of conditions that are sure to come true on a slow machine too.
constexpr std::chrono::milliseconds generousLimit{20'000};

/// Runs the event loop until \p condition holds; false when it doesn't within \p limit.
bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = generousLimit);

/// Runs the event loop for \p time: only for proving that something does not happen.
void letPass(std::chrono::milliseconds time);

class program
{
public:
    /// \p name is a program of this build.
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
    /// Waits for the end; nothing when it doesn't end, -1 after a crash.
    std::optional<int> waitForExit(std::chrono::milliseconds limit = generousLimit);

    /// Standard output and error up to now.
    const QByteArray &output() const { return m_output; }

private:
    void signal(int number);
    void onOutput();

    QProcess m_process;
    QByteArray m_output;
    QString m_address;
};

} // namespace masticlever::process
