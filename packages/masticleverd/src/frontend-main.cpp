#include "frontend-main.h"

#include "clock.h"

#include <masticlever/frontend/frontend-daemon.h>
#include <masticlever/telemetry/events.h>
#include <platform/platform-protocol.h>

#include <QCoreApplication>
#include <QDateTime>
#include <QFileInfo>
#include <QSocketNotifier>
#include <QTimer>

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <variant>

namespace masticlever::masticleverd
{

namespace
{

using telemetry::event;
using telemetry::logEvent;

constexpr int settingsErrorExit = 2;
constexpr int startErrorExit = 1;
constexpr std::chrono::seconds fileCheckInterval{1}; ///< detects changes of the settings file without a signal

/// Blocks the signals that the event loop handles and returns a descriptor that reports them.
int openSignalDescriptor()
{
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGTERM);
    sigaddset(&handled, SIGINT);
    sigaddset(&handled, SIGHUP);
    sigprocmask(SIG_BLOCK, &handled, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return ::signalfd(-1, &handled, SFD_NONBLOCK | SFD_CLOEXEC);
}

class settings_file
{
public:
    explicit settings_file(const std::string &path) : m_path(path), m_changedAt(changedAt()) { }

    bool hasChanged()
    {
        const QDateTime now = changedAt();
        const bool isChanged = now != m_changedAt;
        m_changedAt = now;
        return isChanged;
    }

    void reload(frontend::frontend_daemon &daemon)
    {
        const auto read = frontend::readFrontendSettings(m_path);
        if (const auto *error = std::get_if<frontend::frontend_settings_error>(&read)) {
            logEvent(event::settings_reloaded, {{"outcome", "invalid"}, {"problem", std::string_view(error->message)}});
            return;
        }
        daemon.reload(std::get<frontend::frontend_settings>(read));
        logEvent(event::settings_reloaded, {{"outcome", "applied"}});
    }

private:
    QDateTime changedAt() const { return QFileInfo(QString::fromStdString(m_path)).lastModified(); }

    std::string m_path;
    QDateTime m_changedAt;
};

} // namespace

int runFrontend(int argc, char **argv, const std::string &settingsFile, bool checkOnly)
{
    const int signals = openSignalDescriptor();
    const auto read = frontend::readFrontendSettings(settingsFile);
    if (const auto *error = std::get_if<frontend::frontend_settings_error>(&read)) {
        std::fprintf(stderr, "%s\n", error->message.c_str());
        return settingsErrorExit;
    }
    const auto &loaded = std::get<frontend::frontend_settings>(read);
    if (checkOnly) {
        std::printf("%s: good\n", settingsFile.c_str());
        return 0;
    }
    if (const auto level = telemetry::parseLogLevel(loaded.logLevel)) {
        telemetry::setLogLevel(level.value());
    }
    const QCoreApplication application(argc, argv);
    const platform::platform_protocol protocol;
    system_random random;
    frontend::frontend_daemon daemon(loaded, protocol, random, makeIncarnation(loaded.name, random));
    const std::string startError = daemon.start();
    if (!startError.empty()) {
        std::fprintf(stderr, "masticleverd: %s\n", startError.c_str());
        return startErrorExit;
    }
    settings_file file(settingsFile);
    QSocketNotifier signalNotifier(signals, QSocketNotifier::Read);
    QObject::connect(&signalNotifier, &QSocketNotifier::activated, &signalNotifier, [&] {
        signalfd_siginfo info{};
        while (::read(signals, &info, sizeof(info)) == sizeof(info)) {
            if (info.ssi_signo == SIGHUP) {
                file.hasChanged();
                file.reload(daemon);
            } else {
                daemon.stop();
            }
        }
    });
    QTimer fileCheck;
    QObject::connect(&fileCheck, &QTimer::timeout, &fileCheck, [&] {
        if (file.hasChanged()) {
            file.reload(daemon);
        }
    });
    fileCheck.start(fileCheckInterval);
    return QCoreApplication::exec();
}

} // namespace masticlever::masticleverd
