#include "loopback-proxy.h"
#include "soak-fleet.h"

#include "site-caller.h"
#include "site-configuration.h"
#include "site-endpoint.h"
#include "site-store.h"

#include <QCommandLineParser>
#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

#include <csignal>
#include <cstdio>
#include <functional>
#include <limits>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// \file
/// Randomized soak: real daemons, stand-ins of the platform, faults from outside in overlapping series, and the
/// promises checked from what callers and endpoints see. A seed repeats the series of faults and requests.

using namespace masticlever;
using namespace masticlever::soak;
using site::endpoint_behaviour;
using site::site_caller;
using site::site_endpoint;
using site::site_store;

namespace
{

constexpr int startLimit = 20000; ///< ms until all daemons serve
constexpr int healLimit = 15000; ///< ms after the last fault until all daemons serve
constexpr int settleLimit = 9000; ///< ms for requests under way to end: more than their deadline
constexpr std::size_t streamEvents = 6;

/// One request and what its caller has seen of it.
struct observed_request {
    std::string id;
    std::string kind;
    std::size_t daemon = 0;
    std::unique_ptr<site_caller> caller;
    bool isReported = false;
};

class soak_run
{
public:
    soak_run(const QString &program, std::uint32_t seed, std::size_t daemons, QString planted)
        : m_random(seed), m_planted(std::move(planted)), m_storeProxy(m_store.start()),
          m_fleet(program, daemons, m_storeProxy.listen())
    {
        m_store.put("keyed.op", "config", site::demoConfiguration());
        using kind = site_endpoint::kind;
        for (int i = 0; i < 3; ++i) {
            addEndpoint("d" + std::to_string(i), kind::plain, "desk");
            addEndpoint("m" + std::to_string(i), kind::model, "model");
        }
        for (int i = 0; i < 2; ++i) {
            addEndpoint("e" + std::to_string(i), kind::stage, "encode");
            addEndpoint("r" + std::to_string(i), kind::stage, "rank");
        }
    }

    /// The number of broken promises.
    std::size_t play(int milliseconds)
    {
        if (!untilAllServe(startLimit)) {
            report("liveness", "not all daemons serve after the start");
            return m_broken;
        }
        QElapsedTimer timer;
        timer.start();
        qint64 nextFault = 0;
        qint64 nextRequest = 0;
        while (timer.elapsed() < milliseconds) {
            if (timer.elapsed() >= nextFault) {
                disturb();
                nextFault = timer.elapsed() + pick(50, 500);
            }
            if (timer.elapsed() >= nextRequest) {
                ask();
                nextRequest = timer.elapsed() + pick(5, 40);
            }
            turn();
            heal(timer.elapsed());
            m_now = timer.elapsed();
        }
        heal(std::numeric_limits<qint64>::max());
        if (!untilAllServe(healLimit)) {
            report("liveness", "not all daemons serve after the faults");
        }
        timer.restart();
        while (timer.elapsed() < settleLimit && anyOpen()) {
            turn();
        }
        check();
        return m_broken;
    }

    std::size_t requests() const { return m_requests.size(); }
    std::size_t served() const { return m_served; }
    std::size_t faults() const { return m_faults; }

private:
    void addEndpoint(const std::string &id, site_endpoint::kind kind, const std::string &service)
    {
        auto endpoint = std::make_unique<site_endpoint>(id, kind, service, "west");
        endpoint->behaviour.events = streamEvents;
        endpoint->behaviour.gap = std::chrono::milliseconds(10);
        auto proxy = std::make_unique<loopback_proxy>(endpoint->start());
        endpoint->setPublicAddress(proxy->listen());
        m_store.put("keyed.servers", id, endpoint->registration());
        m_endpoints.push_back(std::move(endpoint));
        m_proxies.push_back(std::move(proxy));
    }

    int pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }
    std::size_t pickIndex(std::size_t size) { return static_cast<std::size_t>(pick(0, static_cast<int>(size) - 1)); }

    void turn() { QCoreApplication::processEvents(QEventLoop::AllEvents, 5); }

    void later(int after, std::function<void()> undo) { m_undo.emplace_back(m_now + after, std::move(undo)); }

    void heal(qint64 now)
    {
        for (std::size_t i = 0; i < m_undo.size();) {
            if (m_undo[i].first <= now) {
                const auto undo = std::move(m_undo[i].second);
                m_undo.erase(m_undo.begin() + static_cast<std::ptrdiff_t>(i));
                undo();
            } else {
                ++i;
            }
        }
    }

    void disturb()
    {
        ++m_faults;
        switch (pick(0, 3)) {
        case 0:
            disturbLink(*m_proxies[pickIndex(m_proxies.size())]);
            break;
        case 1:
            disturbEndpoint(*m_endpoints[pickIndex(m_endpoints.size())]);
            break;
        case 2:
            disturbStore();
            break;
        default:
            disturbDaemon(pickIndex(m_fleet.size()));
        }
    }

    void disturbLink(loopback_proxy &proxy)
    {
        if (pick(0, 3) == 0) {
            proxy.resetAll();
            return;
        }
        proxy.setState(static_cast<link_state>(pick(1, 4)));
        later(pick(200, 1500), [&proxy] { proxy.setState(link_state::open); });
    }

    void disturbEndpoint(site_endpoint &endpoint)
    {
        endpoint.behaviour.kind = static_cast<endpoint_behaviour::fault>(pick(1, 12));
        endpoint.behaviour.times = static_cast<std::size_t>(pick(1, 8));
        later(pick(200, 1500), [&endpoint] { endpoint.behaviour.kind = endpoint_behaviour::fault::none; });
    }

    void disturbStore()
    {
        if (pick(0, 2) == 0) {
            disturbLink(m_storeProxy);
            return;
        }
        m_store.setState(static_cast<site_store::state>(pick(1, 6)));
        later(pick(300, 2500), [this] { m_store.setState(site_store::state::up); });
        if (pick(0, 3) == 0) {
            m_store.compact("keyed.servers");
            m_store.compact("keyed.op");
        }
    }

    void disturbDaemon(std::size_t index)
    {
        switch (pick(0, 3)) {
        case 0:
            m_fleet.signal(index, SIGKILL);
            break;
        case 1:
            m_fleet.signal(index, SIGTERM);
            break;
        case 2:
            m_fleet.signal(index, SIGHUP);
            return;
        default:
            m_fleet.signal(index, SIGSTOP);
            later(pick(200, 2500), [this, index] { m_fleet.signal(index, SIGCONT); });
            return;
        }
        later(pick(300, 2000), [this, index] { m_fleet.restart(index); });
    }

    std::string text(const observed_request &request)
    {
        const bool isSafe = request.kind == "safe";
        const std::string stages = request.kind == "chat"
            ? "Pieces: 1,2\r\nPiece-Key: k\r\nPrompt-Prefix: p:9," + request.id + ":9\r\n"
            : "";
        const std::string body = isSafe ? "" : "body of " + request.id;
        return (isSafe ? "GET /" : "POST /") + request.kind + "/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: "
            + request.id + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n" + stages
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void ask()
    {
        static const char *const kinds[] = {"safe", "order", "chat"};
        observed_request request;
        request.id = "q" + std::to_string(m_requests.size());
        request.kind = kinds[pick(0, 2)];
        request.daemon = pickIndex(m_fleet.size());
        request.caller = std::make_unique<site_caller>(m_fleet.frontOf(request.daemon));
        if (m_planted == QStringLiteral("refused")) {
            for (const auto &endpoint : m_endpoints) {
                endpoint->behaviour.kind = endpoint_behaviour::fault::reset_after_reading;
            }
        }
        request.caller->send(text(request));
        if (m_planted == QStringLiteral("twice") && request.kind == "order") {
            m_extra.push_back(std::make_unique<site_caller>(m_fleet.frontOf(0)));
            m_extra.back()->send(text(request));
        }
        if (pick(0, 15) == 0) {
            site_caller *leaver = request.caller.get();
            later(pick(1, 100), [leaver] { leaver->leave(); });
        }
        m_requests.push_back(std::move(request));
    }

    bool anyOpen() const
    {
        for (const observed_request &request : m_requests) {
            if (request.caller->whole == 0 && !request.caller->isClosed) {
                return true;
            }
        }
        return false;
    }

    bool untilAllServe(int limit)
    {
        QElapsedTimer timer;
        timer.start();
        for (std::size_t i = 0; i < m_fleet.size(); ++i) {
            bool isServed = false;
            while (!isServed && timer.elapsed() < limit) {
                m_fleet.restart(i);
                observed_request probe{"probe" + std::to_string(++m_probes), "chat", i, {}, false};
                probe.caller = std::make_unique<site_caller>(m_fleet.frontOf(i));
                probe.caller->send(text(probe));
                QElapsedTimer wait;
                wait.start();
                while (wait.elapsed() < 1500 && probe.caller->whole == 0 && !probe.caller->isClosed) {
                    turn();
                }
                isServed = probe.caller->whole > 0 && probe.caller->heads[0].status == 200;
            }
            if (!isServed) {
                return false;
            }
        }
        return true;
    }

    void report(const std::string &promise, const std::string &what)
    {
        ++m_broken;
        std::printf("BROKEN %s: %s\n", promise.c_str(), what.c_str());
    }

    int runsOf(const std::string &id)
    {
        int runs = 0;
        for (const auto &endpoint : m_endpoints) {
            const auto found = endpoint->runs.find(id);
            runs += found == endpoint->runs.end() ? 0 : found->second;
        }
        return runs;
    }

    void check()
    {
        std::size_t known = 0;
        for (const observed_request &request : m_requests) {
            checkRequest(request);
        }
        for (const auto &endpoint : m_endpoints) {
            known += endpoint->badCalls;
        }
        if (known > 0) {
            report("unasked", std::to_string(known) + " calls that no caller asked for or without their inputs");
        }
        if (m_fleet.crashes() > 0) {
            report("crash", std::to_string(m_fleet.crashes()) + " processes ended by themselves");
        }
    }

    void checkRequest(const observed_request &request)
    {
        const site_caller &seen = *request.caller;
        const int runs = runsOf(request.id);
        if (request.kind == "order" && runs > 1) {
            report("at most once", request.id + " ran " + std::to_string(runs) + " times");
        }
        if (seen.heads.empty()) {
            return;
        }
        int status = seen.heads[0].status;
        if (m_planted == QStringLiteral("refused") && (status == 502 || status == 504)) {
            status = 503;
        }
        if (request.kind == "order" && (status == 503 || status == 429) && runs > 0) {
            report("not run", request.id + " was refused and has run");
        }
        if (status != 200) {
            return;
        }
        if (seen.heads[0].find("Server-Signature") == nullptr) {
            report("whole answer", request.id + " has no digest");
        }
        checkBody(request, seen);
    }

    void checkBody(const observed_request &request, const site_caller &seen)
    {
        std::string expected = "answer to " + request.id;
        if (request.kind == "chat") {
            expected.clear();
            for (std::size_t i = 1; i <= streamEvents; ++i) {
                const std::string number = std::to_string(i);
                expected += "id: " + number + "\ndata: event " + number + "\n\n";
            }
        }
        std::string body = seen.bodies[0];
        if (m_planted == QStringLiteral("order") && body.size() > expected.size() / 2) {
            body.erase(0, 3);
        }
        const bool isRight = seen.whole > 0 ? body == expected : expected.starts_with(body);
        if (!isRight) {
            report("whole answer", request.id + " got another body than its own");
        }
        m_served += seen.whole > 0 ? 1 : 0;
    }

    std::mt19937 m_random;
    QString m_planted;
    site_store m_store;
    loopback_proxy m_storeProxy;
    soak_fleet m_fleet;
    std::vector<std::unique_ptr<site_endpoint>> m_endpoints;
    std::vector<std::unique_ptr<loopback_proxy>> m_proxies;
    std::vector<observed_request> m_requests;
    std::vector<std::unique_ptr<site_caller>> m_extra;
    std::vector<std::pair<qint64, std::function<void()>>> m_undo;
    qint64 m_now = 0;
    std::size_t m_probes = 0;
    std::size_t m_served = 0;
    std::size_t m_faults = 0;
    std::size_t m_broken = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    QCommandLineParser parser;
    parser.addHelpOption();
    parser.addOption(
        {QStringLiteral("seed"), QStringLiteral("Seed of the series."), QStringLiteral("N"), QStringLiteral("1")});
    parser.addOption(
        {QStringLiteral("seconds"), QStringLiteral("Length of the series."), QStringLiteral("N"), QStringLiteral("6")});
    parser.addOption(
        {QStringLiteral("daemons"), QStringLiteral("Their number."), QStringLiteral("N"), QStringLiteral("4")});
    parser.addOption({QStringLiteral("plant"), QStringLiteral("Plant a fault: twice, refused, order."),
                      QStringLiteral("NAME"), QString()});
    parser.process(application);
    const auto seed = parser.value(QStringLiteral("seed")).toUInt();
    soak_run run(QCoreApplication::applicationDirPath() + QStringLiteral("/masticleverd"), seed,
                 parser.value(QStringLiteral("daemons")).toUInt(), parser.value(QStringLiteral("plant")));
    const std::size_t broken = run.play(parser.value(QStringLiteral("seconds")).toInt() * 1000);
    std::printf("seed %u: %zu requests, %zu served, %zu faults, %zu broken\n", seed, run.requests(), run.served(),
                run.faults(), broken);
    return broken == 0 ? 0 : 1;
}
