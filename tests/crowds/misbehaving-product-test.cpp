#include "crowd.h"
#include "fleet.h"
#include "scenario.h"
#include "watched-run.h"

#include <catch2/catch.hpp>

#include <QElapsedTimer>

#include <sys/resource.h>

#include <cstdio>
#include <memory>
#include <string>

/// \file
/// Callers that ignore the limits, at the product's own interface and at the port for other instances.

using namespace masticlever;
using namespace masticlever::process;
using namespace Qt::Literals::StringLiterals;
using crowds::crowd;
using crowds::process_usage;
using crowds::transmission;

namespace
{

constexpr std::size_t memoryBound = std::size_t{112} * 1000 * 1000; ///< resident and received but not yet read
constexpr std::size_t descriptorLimit = 256;
constexpr std::size_t descriptorBound = 224; ///< the rest is for endpoints and other instances
constexpr std::size_t bodyLimit = 4194304;
constexpr std::size_t connections = 140;
constexpr int crowdMilliseconds = 8000;
const std::string peersAddress = "127.0.0.1:23990";

/// Limits the descriptors of programs that are started during its life.
class descriptor_limit
{
public:
    descriptor_limit()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        const rlimit lowered{descriptorLimit, m_former.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_limit() { ::setrlimit(RLIMIT_NOFILE, &m_former); }
    descriptor_limit(const descriptor_limit &) = delete;
    descriptor_limit &operator=(const descriptor_limit &) = delete;

private:
    rlimit m_former{};
};

std::unique_ptr<fleet> startFleet()
{
    const descriptor_limit lowered;
    return adviceFleet(1)
        .setting(u"peers/address"_s, QString::fromStdString(peersAddress))
        .setting(u"gateway/body_limit_bytes"_s, QString::number(bodyLimit))
        .start();
}

class product_fixture
{
public:
    product_fixture() : m_fleet(startFleet()), m_usage(m_fleet->daemon(0).processId()) { REQUIRE(isServed()); }

    std::string callerAddress() const { return m_fleet->daemon(0).address().toStdString(); }
    void connect(std::size_t count, transmission sent) { m_crowd.add(count, callerAddress(), std::move(sent)); }
    void connectToPeers(std::size_t count, transmission sent) { m_crowd.add(count, peersAddress, std::move(sent)); }

    void run(int milliseconds) { crowds::runWatched(m_crowd, m_usage, milliseconds); }

    void checkProcess()
    {
        REQUIRE(m_fleet->daemon(0).isRunning());
        CHECK(isServed());
        std::printf("resident %zu, with unread bytes %zu, descriptors %zu\n", m_usage.peakResident(),
                    m_usage.peakHeld(), m_usage.peakDescriptors());
        CHECK(m_usage.peakResident() < memoryBound);
        CHECK(m_usage.peakHeld() < memoryBound);
        CHECK(m_usage.peakDescriptors() < descriptorBound);
        CHECK(m_fleet->daemon(0).isRunning());
    }

private:
    /// Whether one ordinary request is answered, of which each has a new connection.
    bool isServed()
    {
        return waitUntil(
            [&] {
                const auto call = m_fleet->send(0, u"advice"_s, request(u"lot"_s));
                QElapsedTimer timer;
                timer.start();
                while (!call->isDone() && timer.elapsed() < 3000) {
                    run(5);
                }
                return call->isComplete() && call->status() == 200;
            },
            std::chrono::milliseconds(30000));
    }

    std::unique_ptr<fleet> m_fleet;
    process_usage m_usage;
    crowd m_crowd;
};

std::string bodyHead(const std::string &framing)
{
    return "POST /v1/pipelines/advice/runs HTTP/1.1\r\nHost: product.example\r\nAuthorization: Bearer "
        + teamToken.toStdString() + "\r\n" + framing + "\r\n\r\n";
}

} // namespace

TEST_CASE("The product's interface survives bodies that ignore the limits", "[product-bodies]")
{
    product_fixture product;
    const std::string block(65536, 'x');

    SECTION("of legal size that stop one byte short")
    {
        product.connect(connections,
                        {.opening = bodyHead("Content-Length: " + std::to_string(bodyLimit)),
                         .repeated = block,
                         .repeatedBytes = bodyLimit - 1});
        product.run(crowdMilliseconds);
        product.checkProcess();
    }
    SECTION("announced and sent far over the limit")
    {
        product.connect(
            connections,
            {.opening = bodyHead("Content-Length: 1000000000"), .repeated = block, .repeatedBytes = 1000000000});
        product.run(crowdMilliseconds);
        product.checkProcess();
    }
    SECTION("in chunks without end")
    {
        product.connect(connections,
                        {.opening = bodyHead("Transfer-Encoding: chunked"),
                         .repeated = "10000\r\n" + block + "\r\n",
                         .repeatedBytes = 1u << 30});
        product.run(crowdMilliseconds);
        product.checkProcess();
    }
    SECTION("of legal size and whole, but without meaning")
    {
        product.connect(
            connections,
            {.repeated = bodyHead("Content-Length: " + std::to_string(bodyLimit)) + std::string(bodyLimit, 'x'),
             .repeatedBytes = std::size_t{20} * bodyLimit});
        product.run(crowdMilliseconds);
        product.checkProcess();
    }
}

TEST_CASE("The product's interface survives requests sent ahead of answers that are not read", "[product-unread]")
{
    product_fixture product;
    const std::string path = GENERATE("/healthz", "/v1/runs/none", "/metrics");
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: product.example\r\n\r\n";
    product.connect(connections, {.repeated = request, .repeatedBytes = std::size_t{40000} * request.size()});
    product.run(crowdMilliseconds);
    product.checkProcess();
}

TEST_CASE("The product's interface keeps file descriptors for endpoints and instances", "[product-connections]")
{
    product_fixture product;
    product.connect(400, {.opening = "GET /healthz HTTP/1.1\r\n"});
    product.run(2000);
    product.checkProcess();
}

TEST_CASE("The product survives strangers at the port for other instances", "[product-strangers]")
{
    product_fixture product;
    const std::string block(65536, 'x');

    SECTION("that send without end")
    {
        product.connectToPeers(connections, {.repeated = block, .repeatedBytes = 1u << 30, .isReconnecting = true});
        product.run(crowdMilliseconds / 2);
        product.checkProcess();
    }
    SECTION("that announce a message of legal length and do not complete it")
    {
        product.connectToPeers(connections, {.opening = std::string("\0\0\1\0", 4)});
        product.run(crowdMilliseconds / 4);
        product.checkProcess();
    }
}
