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
    for (daemon &target : m_daemons) {
        target.process->disconnect();
        target.process->kill();
        target.process->waitForFinished();
    }
}

void soak_fleet::restart(std::size_t index)
{
    daemon &target = m_daemons[index];
    if (isRunning(index)) {
        return;
    }
    target.isStopped = false;
    target.isTerminating = false;
    target.process = std::make_unique<QProcess>();
    target.process->setStandardOutputFile(target.log, QIODevice::Append);
    target.process->setStandardErrorFile(target.log, QIODevice::Append);
    QObject::connect(target.process.get(), &QProcess::finished, target.process.get(),
                     [this, index] { m_crashes += m_daemons[index].isTerminating ? 0 : 1; });
    target.process->start(m_program, {QStringLiteral("--frontend"), QStringLiteral("--config"), target.settings});
    target.process->waitForStarted();
}

bool soak_fleet::isRunning(std::size_t index) const
{
    const daemon &target = m_daemons[index];
    return target.process && target.process->state() != QProcess::NotRunning;
}

void soak_fleet::signal(std::size_t index, int number)
{
    daemon &target = m_daemons[index];
    if (!isRunning(index) || (target.isStopped && number == SIGTERM)) {
        return;
    }
    target.isStopped = number == SIGSTOP || (target.isStopped && number != SIGCONT);
    target.isTerminating = target.isTerminating || number == SIGTERM || number == SIGKILL;
    ::kill(static_cast<pid_t>(target.process->processId()), number);
}

} // namespace masticlever::soak
