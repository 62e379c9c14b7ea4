#include "soak-fleet.h"

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <utility>

namespace masticlever::soak
{

namespace
{

constexpr int basePort = 23000;

} // namespace

soak_fleet::soak_fleet(QString program, std::size_t count, const std::string &storeAddress)
    : m_program(std::move(program))
{
    const std::string network = "127." + std::to_string(1 + ::getpid() % 250) + ".200.";
    const auto at = [&](std::size_t index, int offset) {
        return network + std::to_string(index + 1) + ":" + std::to_string(basePort + offset);
    };
    for (std::size_t i = 0; i < count; ++i) {
        daemon added;
        added.front = at(i, 0);
        added.settings = m_folder.filePath(QStringLiteral("front-%1.ini").arg(i + 1));
        added.log = m_folder.filePath(QStringLiteral("front-%1.log").arg(i + 1));
        std::ofstream(added.settings.toStdString())
            << "[instance]\nname=front-" << i + 1 << "\ndata_centre=west\n[listen]\nfront=" << at(i, 0)
            << "\nready=" << at(i, 1) << "\ngossip=" << at(i, 3) << "\nhomes=" << at(i, 4)
            << "\n[fleet]\ncontacts=" << at(0, 0) << "," << at(1, 0) << "\nport=" << basePort + 3
            << "\nkey=a key for the fleet of the soak\n[store]\naddress=" << storeAddress
            << "\n[retries]\nratio=0.2\nslack=100\nwindow_s=10\n[stop]\nlimit_s=8\n";
        m_daemons.push_back(std::move(added));
    }
    for (std::size_t i = 0; i < count; ++i) {
        restart(i);
    }
}

soak_fleet::~soak_fleet()
{
    for (daemon &one : m_daemons) {
        one.process->disconnect();
        one.process->kill();
        one.process->waitForFinished();
    }
}

void soak_fleet::restart(std::size_t index)
{
    daemon &one = m_daemons[index];
    if (isRunning(index)) {
        return;
    }
    one.isStopped = false;
    one.isEnding = false;
    one.process = std::make_unique<QProcess>();
    one.process->setStandardOutputFile(one.log, QIODevice::Append);
    one.process->setStandardErrorFile(one.log, QIODevice::Append);
    QObject::connect(one.process.get(), &QProcess::finished, one.process.get(),
                     [this, index] { m_crashes += m_daemons[index].isEnding ? 0 : 1; });
    one.process->start(m_program, {QStringLiteral("--frontend"), QStringLiteral("--config"), one.settings});
    one.process->waitForStarted();
}

bool soak_fleet::isRunning(std::size_t index) const
{
    const daemon &one = m_daemons[index];
    return one.process && one.process->state() != QProcess::NotRunning;
}

void soak_fleet::signal(std::size_t index, int number)
{
    daemon &one = m_daemons[index];
    if (!isRunning(index) || (one.isStopped && number == SIGTERM)) {
        return;
    }
    one.isStopped = number == SIGSTOP || (one.isStopped && number != SIGCONT);
    one.isEnding = one.isEnding || number == SIGTERM || number == SIGKILL;
    ::kill(static_cast<pid_t>(one.process->processId()), number);
}

} // namespace masticlever::soak
