#include "soak-fleet.h"

#include <sys/resource.h>
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

soak_fleet::soak_fleet(QString program, std::size_t count, const std::string &storeAddress,
                       const std::string &instanceSettings, std::size_t descriptorLimit)
    : m_program(std::move(program)), m_descriptorLimit(descriptorLimit)
{
    m_network = reserveNetwork();
    for (std::size_t i = 0; i < count; ++i) {
        daemon added;
        added.front = addressOf(i, daemon_port::front);
        added.settings = m_folder.filePath(QStringLiteral("front-%1.ini").arg(i + 1));
        added.log = m_folder.filePath(QStringLiteral("front-%1.log").arg(i + 1));
        std::ofstream(added.settings.toStdString())
            << "[instance]\nname=front-" << i + 1 << "\ndata_centre=west\n"
            << instanceSettings << "[listen]\nfront=" << added.front << "\nready=" << addressOf(i, daemon_port::ready)
            << "\nmetrics=" << addressOf(i, daemon_port::metrics) << "\ngossip=" << addressOf(i, daemon_port::gossip)
            << "\nhomes=" << addressOf(i, daemon_port::homes)
            << "\n[fleet]\ncontacts=" << addressOf(0, daemon_port::front) << "," << addressOf(1, daemon_port::front)
            << "\nport=" << basePort + 3 << "\nkey=a key for the fleet of the soak\n[store]\naddress=" << storeAddress
            << "\n[retries]\nratio=0.2\nslack=100\nwindow_s=10\n[stop]\nlimit_s=8\n";
        m_daemons.push_back(std::move(added));
    }
    for (std::size_t i = 0; i < count; ++i) {
        restart(i);
    }
}

std::string soak_fleet::addressOf(std::size_t index, daemon_port port) const
{
    return m_network + std::to_string(index + 1) + ":" + std::to_string(basePort + static_cast<int>(port));
}

/// Returns the first three octets of a network that no other soak uses, and keeps it for the life of this one.
std::string soak_fleet::reserveNetwork()
{
    constexpr int networks = 250;
    for (int i = 0; i < networks; ++i) {
        const std::string network = "127." + std::to_string(1 + (::getpid() + i) % networks) + ".200.";
        auto reservation = std::make_unique<net::listener>([](int descriptor) { ::close(descriptor); });
        if (reservation->listen(net::parseAddress(network + "250:" + std::to_string(basePort)).value(), 1)) {
            m_reservation = std::move(reservation);
            return network;
        }
    }
    throw std::runtime_error("all networks are in use by other soaks");
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
                     [this, index](int code, QProcess::ExitStatus status) { onFinished(index, code, status); });
    if (m_descriptorLimit > 0) {
        target.process->setChildProcessModifier([limit = m_descriptorLimit] {
            const rlimit files{limit, limit};
            ::setrlimit(RLIMIT_NOFILE, &files);
        });
    }
    target.lastSignal = 0;
    target.startedAt = std::chrono::steady_clock::now();
    target.process->start(m_program, {QStringLiteral("--frontend"), QStringLiteral("--config"), target.settings});
    target.process->waitForStarted();
}

void soak_fleet::onFinished(std::size_t index, int code, QProcess::ExitStatus status)
{
    const daemon &target = m_daemons[index];
    if (target.isTerminating) {
        return;
    }
    const auto ageOf = [](std::chrono::steady_clock::time_point time) {
        const auto age = std::chrono::steady_clock::now() - time;
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count()) + " ms";
    };
    std::string text = "process " + std::to_string(index + 1) + " ended "
        + (status == QProcess::CrashExit ? "by signal " : "with code ") + std::to_string(code) + ", "
        + ageOf(target.startedAt) + " after its start";
    if (target.lastSignal != 0) {
        text += ", " + ageOf(target.signalledAt) + " after it was sent signal " + std::to_string(target.lastSignal);
    }
    m_crashes.push_back(std::move(text));
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
    target.lastSignal = number;
    target.signalledAt = std::chrono::steady_clock::now();
    ::kill(static_cast<pid_t>(target.process->processId()), number);
}

} // namespace masticlever::soak
