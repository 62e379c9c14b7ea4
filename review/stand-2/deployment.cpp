#include "deployment.h"

#include "../../tests/site/site-caller.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QFile>
#include <QProcessEnvironment>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>

namespace masticlever::review
{

namespace
{

constexpr int frontPort = 24100;
constexpr int readyPort = 24101;
constexpr int controlPort = 24102;
constexpr int gossipPort = 24103;
constexpr int homePort = 24104;
constexpr int reservationPort = 24109;
constexpr int networks = 240;

} // namespace

bool runUntil(const std::function<bool()> &isDone, int timeoutMs)
{
    QElapsedTimer timer;
    timer.start();
    while (!isDone()) {
        if (timer.elapsed() >= timeoutMs) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents, 2);
    }
    return true;
}

void runFor(int milliseconds)
{
    runUntil([] { return false; }, milliseconds);
}

deployment::deployment(const QString &root, std::size_t count, const std::string &storeAddress, int memoryMegabytes)
    : m_root(root)
{
    const std::string network = reserveNetwork();
    const auto at
        = [&](std::size_t index, int port) { return network + std::to_string(index + 1) + ":" + std::to_string(port); };
    std::string contacts;
    for (std::size_t i = 0; i < std::min<std::size_t>(count, 3); ++i) {
        contacts += (i == 0 ? "" : ",") + at(i, controlPort);
    }
    for (std::size_t i = 0; i < count; ++i) {
        daemon added;
        added.front = at(i, frontPort);
        added.ready = at(i, readyPort);
        added.settings = m_folder.filePath(QStringLiteral("front-%1.ini").arg(i + 1));
        added.log = m_folder.filePath(QStringLiteral("front-%1.log").arg(i + 1));
        std::ofstream(added.settings.toStdString())
            << "[instance]\nname=front-" << i + 1 << "\ndata_centre=zone-" << i + 1 << "\nmemory_mb=" << memoryMegabytes
            << "\ncore_share=0.17\ncore_speed=1\nlink_mbps=700.0\n[listen]\nfront=" << added.front
            << "\nready=" << added.ready << "\nmetrics=" << at(i, controlPort) << "\ngossip=" << at(i, gossipPort)
            << "\nhomes=" << at(i, homePort) << "\n[fleet]\ncontacts=" << contacts << "\nport=" << gossipPort
            << "\nkey=masticlever/" << storeAddress << "\n[store]\naddress=" << storeAddress
            << "\n[retries]\nratio=0.2\nslack=104\nwindow_s=10\n[stop]\nlimit_s=8\n[evacuation]\nlimit_ms=\n";
        m_daemons.push_back(std::move(added));
    }
    for (daemon &target : m_daemons) {
        start(target);
    }
}

deployment::~deployment()
{
    for (daemon &target : m_daemons) {
        target.process->kill();
        target.process->waitForFinished();
    }
}

/// Returns the first three octets of a loopback network that no other trial uses.
std::string deployment::reserveNetwork()
{
    for (int i = 0; i < networks; ++i) {
        const std::string network = "127." + std::to_string(10 + (::getpid() + i) % networks) + ".48.";
        auto reservation = std::make_unique<net::listener>([](int descriptor) { ::close(descriptor); });
        if (reservation->listen(net::parseAddress(network + "250:" + std::to_string(reservationPort)).value(), 1)) {
            m_reservation = std::move(reservation);
            return network;
        }
    }
    throw std::runtime_error("no free loopback network");
}

void deployment::start(daemon &target) const
{
    target.process = std::make_unique<QProcess>();
    QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
    environment.insert(QStringLiteral("MASTICLEVER_SETTINGS"), target.settings);
    target.process->setProcessEnvironment(environment);
    target.process->setWorkingDirectory(m_root);
    target.process->setStandardOutputFile(target.log, QIODevice::Append);
    target.process->setStandardErrorFile(target.log, QIODevice::Append);
    target.process->start(m_root + QStringLiteral("/target/bin/masticleverd"), {QStringLiteral("--frontend")});
    target.process->waitForStarted();
}

bool deployment::isReady(std::size_t index) const
{
    constexpr int checkTimeoutMs = 1000;
    site::site_caller check(m_daemons[index].ready);
    check.send("GET /masticlever/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    runUntil([&] { return check.completeAnswers > 0 || check.isClosed; }, checkTimeoutMs);
    return check.completeAnswers > 0 && check.heads[0].status == 200;
}

bool deployment::waitUntilReady(int timeoutMs) const
{
    QElapsedTimer timer;
    timer.start();
    for (std::size_t i = 0; i < m_daemons.size();) {
        if (isReady(i)) {
            ++i;
        } else if (timer.elapsed() >= timeoutMs) {
            return false;
        } else {
            runFor(100);
        }
    }
    return true;
}

bool deployment::isRunning(std::size_t index) const
{
    return m_daemons[index].process->state() != QProcess::NotRunning;
}

std::string deployment::endOf(std::size_t index) const
{
    if (isRunning(index)) {
        return {};
    }
    const QProcess &process = *m_daemons[index].process;
    return (process.exitStatus() == QProcess::CrashExit ? "by signal " : "with code ")
        + std::to_string(process.exitCode());
}

void deployment::signal(std::size_t index, int number) const
{
    ::kill(static_cast<pid_t>(m_daemons[index].process->processId()), number);
}

std::string deployment::logOf(std::size_t index) const
{
    QFile file(m_daemons[index].log);
    return file.open(QIODevice::ReadOnly) ? file.readAll().toStdString() : std::string();
}

} // namespace masticlever::review
