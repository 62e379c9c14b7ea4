#include "soak-fleet.h"

#include "site-caller.h"
#include "site-configuration.h"
#include "site-endpoint.h"
#include "site-store.h"

#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QDir>
#include <QElapsedTimer>
#include <QEventLoop>

#include <fstream>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Callers that ignore the limits, against a daemon process. Guards against a process that runs out of memory or file
/// descriptors. Checks no times and no share of served requests.

using namespace masticlever;
using site::site_caller;
using site::site_endpoint;

namespace
{

constexpr std::size_t memoryMegabytes = 112;
constexpr std::size_t memoryBound = memoryMegabytes * 1000 * 1000; ///< of the largest resident size of the process
constexpr std::size_t descriptorLimit = 256;
constexpr std::size_t descriptorBound = 224; ///< the rest is for endpoints and other instances
constexpr std::size_t bodyLimit = 4194304;
constexpr std::size_t bodyCallers = 60; ///< with a body of the limit each, more than twice the memory
constexpr std::size_t pipeliningCallers = 8;
constexpr std::size_t idleCallers = 400;
constexpr int answerTimeoutMs = 30000;
const std::string key = "Host: site.example\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 4000\r\n";

std::string demoWithFullBodies()
{
    std::string text = site::demoConfiguration();
    const std::string lowered = "\"max_body_bytes\":65536";
    text.replace(text.find(lowered), lowered.size(), "\"max_body_bytes\":" + std::to_string(bodyLimit));
    return text;
}

class crowd_fixture
{
public:
    crowd_fixture()
        : m_desk("desk-1", site_endpoint::kind::plain, "desk", "west"),
          m_model("model-1", site_endpoint::kind::model, "model", "west"),
          m_encoder("encode-1", site_endpoint::kind::stage, "encode", "west"),
          m_ranker("rank-1", site_endpoint::kind::stage, "rank", "west"), m_storeAddress(m_store.start()),
          m_fleet(QCoreApplication::applicationDirPath() + QStringLiteral("/masticleverd"), 1, m_storeAddress,
                  "memory_mb=" + std::to_string(memoryMegabytes) + "\n", descriptorLimit)
    {
        m_store.put("keyed.op", "config", demoWithFullBodies());
        for (site_endpoint *endpoint : {&m_desk, &m_model, &m_encoder, &m_ranker}) {
            endpoint->start();
            m_store.put("keyed.servers", endpoint->id(), endpoint->registration());
        }
        REQUIRE(isServed());
    }

    site_caller &addCaller()
    {
        m_callers.push_back(std::make_unique<site_caller>(m_fleet.frontAddressOf(0)));
        return *m_callers.back();
    }

    void run(int milliseconds)
    {
        QElapsedTimer timer;
        timer.start();
        while (timer.elapsed() < milliseconds) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        }
    }

    void checkProcess()
    {
        for (const std::string &crash : m_fleet.crashes()) {
            FAIL_CHECK(crash);
        }
        REQUIRE(m_fleet.isRunning(0));
        CHECK(peakMemory() < memoryBound);
        CHECK(descriptors() < descriptorBound);
        CHECK(isServed());
        CHECK(m_fleet.crashes().empty());
    }

private:
    /// Whether one of a well-behaved caller's requests is answered, each of which is one ordinary request.
    bool isServed()
    {
        QElapsedTimer timer;
        timer.start();
        while (timer.elapsed() < answerTimeoutMs && m_fleet.isRunning(0)) {
            site_caller caller(m_fleet.frontAddressOf(0));
            caller.send("POST /safe/ HTTP/1.1\r\nRequest-Id: ordinary\r\n" + key + "Content-Length: 2\r\n\r\nhi");
            while (timer.elapsed() < answerTimeoutMs && caller.completeAnswers == 0 && !caller.isClosed) {
                run(5);
            }
            if (caller.completeAnswers > 0 && caller.heads[0].status == 200) {
                return true;
            }
            run(100);
        }
        return false;
    }

    std::string procFile(const char *name) const
    {
        return "/proc/" + std::to_string(m_fleet.processId(0)) + "/" + name;
    }

    std::size_t peakMemory() const
    {
        std::ifstream status(procFile("status"));
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6)) * 1024;
            }
        }
        return memoryBound;
    }

    std::size_t descriptors() const
    {
        return QDir(QString::fromStdString(procFile("fd")))
            .entryList(QDir::NoDotAndDotDot | QDir::AllEntries | QDir::System)
            .size();
    }

    int m_argumentCount = 1;
    char m_name[25] = "misbehaving-callers-test";
    char *m_arguments[2] = {m_name, nullptr};
    QCoreApplication m_application{m_argumentCount, m_arguments};
    site::site_store m_store;
    site_endpoint m_desk;
    site_endpoint m_model;
    site_endpoint m_encoder;
    site_endpoint m_ranker;
    std::string m_storeAddress;
    soak::soak_fleet m_fleet;
    std::vector<std::unique_ptr<site_caller>> m_callers;
};

} // namespace

TEST_CASE("A process survives bodies of legal size that stall before their end", "[stalling]")
{
    crowd_fixture crowd;
    const std::string body(bodyLimit - 1, 'x');
    std::vector<site_caller *> callers;
    for (std::size_t i = 0; i < bodyCallers; ++i) {
        callers.push_back(&crowd.addCaller());
        callers.back()->send("POST /safe/ HTTP/1.1\r\nRequest-Id: s" + std::to_string(i) + "\r\n" + key
                             + "Content-Length: " + std::to_string(bodyLimit) + "\r\n\r\n");
    }
    crowd.run(300);
    for (site_caller *caller : callers) {
        caller->send(body);
    }
    crowd.run(3000);
    crowd.checkProcess();
}

TEST_CASE("A process survives chunked bodies that stall before their end", "[chunked]")
{
    crowd_fixture crowd;
    const std::string chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
    for (std::size_t i = 0; i < bodyCallers; ++i) {
        site_caller &caller = crowd.addCaller();
        caller.send("POST /safe/ HTTP/1.1\r\nRequest-Id: c" + std::to_string(i) + "\r\n" + key
                    + "Transfer-Encoding: chunked\r\n\r\n");
        for (std::size_t sent = 0; sent < bodyLimit; sent += 65536) {
            caller.send(chunk);
        }
    }
    crowd.run(3000);
    crowd.checkProcess();
}

TEST_CASE("A process survives pipelined requests whose answers are not read", "[unread]")
{
    crowd_fixture crowd;
    const std::string request
        = "POST /safe/ HTTP/1.1\r\nRequest-Id: " + std::string(3500, 'u') + "\r\n" + key + "Content-Length: 0\r\n\r\n";
    std::vector<site_caller *> callers;
    for (std::size_t i = 0; i < pipeliningCallers; ++i) {
        callers.push_back(&crowd.addCaller());
    }
    crowd.run(300);
    for (site_caller *caller : callers) {
        caller->setReading(false);
        for (std::size_t sent = 0; sent < 4096; ++sent) {
            caller->send(request);
        }
    }
    crowd.run(10000);
    crowd.checkProcess();
}

TEST_CASE("A process survives requests with extremely many stage pieces", "[pieces]")
{
    crowd_fixture crowd;
    site_caller &caller = crowd.addCaller();
    caller.send("POST /chat/ HTTP/1.1\r\nRequest-Id: p\r\n" + key
                + "Pieces: 100000000,1\r\nPiece-Key: lot\r\nContent-Length: 2\r\n\r\nhi");
    crowd.run(2000);
    crowd.checkProcess();
    REQUIRE(caller.heads.size() == 1);
    CHECK(caller.heads[0].status == 400);
}

TEST_CASE("A process keeps file descriptors for endpoints and instances", "[connections]")
{
    crowd_fixture crowd;
    for (std::size_t i = 0; i < idleCallers; ++i) {
        crowd.addCaller();
    }
    crowd.run(1000);
    crowd.checkProcess();
}
