#include "deployment.h"

#include "../../tests/site/site-caller.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QProcessEnvironment>

#include <unistd.h>

#include <csignal>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace review
{

namespace
{

constexpr int frontPort = 18625;
constexpr int readyPort = 18621;
constexpr int controlPort = 18628;
constexpr int firstFleetPort = 17740;
constexpr int secondFleetPort = 17755;
constexpr std::chrono::seconds startLimit{20};

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool isFree(const std::string &address)
{
    namespace net = masticlever::net;
    net::listener probe([](int descriptor) { ::close(descriptor); });
    return probe.listen(net::parseAddress(address).value(), 1).has_value();
}

/// First three octets of a loopback network whose ports are free.
std::string findNetwork()
{
    constexpr int networks = 200;
    for (int i = 0; i < networks; ++i) {
        const std::string network = "127." + std::to_string(20 + (::getpid() + i) % networks) + ".90.";
        if (isFree(network + "1:" + std::to_string(frontPort))) {
            return network;
        }
    }
    throw std::runtime_error("no free loopback network");
}

} // namespace

bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
        ::usleep(500);
    }
    return true;
}

void pause(std::chrono::milliseconds time)
{
    waitFor([] { return false; }, time);
}

deployment::deployment(std::string root, record &log, std::size_t daemons, const std::string &configuration,
                       daemon_limits limits)
    : m_root(std::move(root)), m_log(log), m_limits(limits), m_storeAddress(store.start())
{
    configure(configuration);
    const std::string network = findNetwork();
    for (std::size_t i = 0; i < daemons; ++i) {
        daemon added;
        added.ip = network + std::to_string(i + 1);
        added.front = added.ip + ":" + std::to_string(frontPort);
        added.ready = added.ip + ":" + std::to_string(readyPort);
        added.settingsFile = m_folder.filePath(QStringLiteral("front-%1").arg(i + 1)).toStdString();
        m_daemons.push_back(std::move(added));
    }
    for (std::size_t i = 0; i < daemons; ++i) {
        std::ofstream(m_daemons[i].settingsFile) << renderSettings(m_daemons[i], i);
        start(i);
    }
}

deployment::~deployment()
{
    for (daemon &target : m_daemons) {
        if (target.process) {
            target.process->kill();
            target.process->waitForFinished();
        }
    }
}

/// Fills the placeholders of the settings template as the platform does.
std::string deployment::renderSettings(const daemon &target, std::size_t index) const
{
    std::string seeds;
    for (const daemon &seed : m_daemons) {
        seeds += (seeds.empty() ? "" : ",") + seed.ip + ":" + std::to_string(controlPort);
    }
    const std::map<std::string, std::string> values{
        {"node", "front-west-" + std::to_string(index + 1)},
        {"zone", "west"},
        {"ip", target.ip},
        {"seeds", seeds},
        {"limits.memory_mb", std::to_string(m_limits.memoryMb)},
        {"limits.cpu_share", "0.17"},
        {"limits.cpus", "1"},
        {"limits.link_mbps", "700.0"},
        {"listen.front", target.front},
        {"listen.ready", target.ready},
        {"listen.control", target.ip + ":" + std::to_string(controlPort)},
        {"port_range.0", std::to_string(firstFleetPort)},
        {"port_range.1", std::to_string(secondFleetPort)},
        {"platform.addr", m_storeAddress},
        {"bounds.retry_ratio", "0.2"},
        {"bounds.retry_slack", "104"},
        {"bounds.retry_window_s", "10"},
        {"bounds.grace_s", std::to_string(m_limits.graceSeconds)},
    };
    std::string text = readFile(m_root + "/platform/settings.ini.in");
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
        const std::size_t end = text.find("}}", at);
        const auto found = values.find(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, found == values.end() ? std::string() : found->second);
    }
    return text;
}

bool deployment::isRunning(std::size_t index) const
{
    const daemon &target = m_daemons[index];
    return target.process && target.process->state() != QProcess::NotRunning;
}

std::string deployment::peakMemory(std::size_t index) const
{
    std::ifstream status("/proc/" + std::to_string(processId(index)) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return line.substr(line.find_first_of("0123456789"));
        }
    }
    return "unknown";
}

std::size_t deployment::residentBytes(std::size_t index) const
{
    if (!isRunning(index)) {
        return 0;
    }
    std::ifstream file("/proc/" + std::to_string(processId(index)) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

void deployment::start(std::size_t index)
{
    daemon &target = m_daemons[index];
    target.process = std::make_unique<QProcess>();
    QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
    environment.insert(QStringLiteral("MASTICLEVER_SETTINGS"), QString::fromStdString(target.settingsFile));
    target.process->setProcessEnvironment(environment);
    target.process->setWorkingDirectory(QString::fromStdString(m_root));
    const QString log = QString::fromStdString(target.settingsFile + ".log");
    target.process->setStandardOutputFile(log, QIODevice::Append);
    target.process->setStandardErrorFile(log, QIODevice::Append);
    target.process->start(QString::fromStdString(m_root + "/target/bin/masticleverd"), {QStringLiteral("--frontend")});
    if (!target.process->waitForStarted()) {
        throw std::runtime_error("target/bin/masticleverd does not start; build it with the deploy file's command");
    }
    m_log.add("daemon " + std::to_string(index + 1) + " started at " + target.front);
}

void deployment::signal(std::size_t index, int number)
{
    if (isRunning(index)) {
        m_log.add("signal " + std::to_string(number) + " to daemon " + std::to_string(index + 1));
        ::kill(static_cast<pid_t>(processId(index)), number);
    }
}

int deployment::readyStatus(std::size_t index) const
{
    masticlever::site::site_caller caller(m_daemons[index].ready);
    caller.send("GET /masticlever/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    waitFor([&] { return caller.completeAnswers > 0 || caller.isClosed; }, std::chrono::seconds(1));
    return caller.completeAnswers == 0 ? 0 : caller.heads.front().status;
}

bool deployment::waitReady()
{
    return waitFor(
        [this] {
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                if (readyStatus(i) != 200) {
                    return false;
                }
            }
            return true;
        },
        startLimit);
}

void deployment::configure(const std::string &text)
{
    store.put("keyed.op", "config", text);
    m_log.add("the store has acknowledged a configuration");
}

} // namespace review
