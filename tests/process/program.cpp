#include "program.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QRegularExpression>
#include <QThread>

#include <csignal>
#include <sys/prctl.h>

namespace masticlever::process
{

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    constexpr int stepMs = 10;
    QElapsedTimer timer;
    timer.start();
    while (!condition()) {
        if (timer.elapsed() > timeout.count()) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents, stepMs);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
        QThread::msleep(1);
    }
    return true;
}

void runEventLoopFor(std::chrono::milliseconds time)
{
    waitUntil([] { return false; }, time);
}

program::program(const QString &name, const QStringList &arguments)
{
    m_process.setProcessChannelMode(QProcess::MergedChannels);
    m_process.setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
    QObject::connect(&m_process, &QProcess::readyRead, &m_process, [this] { onOutput(); });
    m_process.start(QCoreApplication::applicationDirPath() + QLatin1Char('/') + name, arguments);
}

program::~program()
{
    kill();
}

bool program::waitUntilListening()
{
    return waitUntil([this] { return !m_address.isEmpty() || m_process.state() == QProcess::NotRunning; })
        && !m_address.isEmpty();
}

void program::onOutput()
{
    m_output += m_process.readAll();
    static const QRegularExpression line(QStringLiteral("listening (\\d+\\.\\d+\\.\\d+\\.\\d+:\\d+)\\s"));
    const auto match = line.match(QString::fromUtf8(m_output));
    if (m_address.isEmpty() && match.hasMatch()) {
        m_address = match.captured(1);
    }
}

void program::signal(int number)
{
    if (m_process.processId() > 0) {
        ::kill(static_cast<pid_t>(m_process.processId()), number);
    }
}

void program::kill()
{
    signal(SIGKILL);
    m_process.waitForFinished();
}

void program::stop()
{
    signal(SIGSTOP);
}

void program::resume()
{
    signal(SIGCONT);
}

void program::terminate()
{
    signal(SIGTERM);
}

bool program::isRunning() const
{
    return m_process.state() != QProcess::NotRunning;
}

std::optional<int> program::waitForExit(std::chrono::milliseconds timeout)
{
    if (!waitUntil([this] { return !isRunning(); }, timeout)) {
        return std::nullopt;
    }
    return m_process.exitStatus() == QProcess::NormalExit ? m_process.exitCode() : -1;
}

} // namespace masticlever::process
