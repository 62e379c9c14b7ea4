#include "crowd-fixture.h"

#include <catch2/catch.hpp>

#include <string>

/// \file
/// The same for the ports that are not for callers: readiness checks, metrics, and the two for other instances. Whoever
/// reaches them must not end the process either.

using namespace masticlever;
using crowds::crowd_fixture;
using crowds::port;

namespace
{

constexpr std::size_t connections = 140;
constexpr std::size_t requests = 20000; ///< on each connection
constexpr int crowdMilliseconds = 8000;
constexpr int statusMilliseconds = 16000; ///< until the requests of all connections have been read

std::string statusRequest(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: site.example\r\n\r\n";
}

} // namespace

TEST_CASE("A process survives status requests whose answers are not read", "[status-unread]")
{
    crowd_fixture crowd;

    SECTION("readiness checks")
    {
        const std::string request = statusRequest("/masticlever/readyz");
        crowd.connect(connections, port::ready, {.repeated = request, .repeatedBytes = requests * request.size()});
        crowd.run(statusMilliseconds);
        crowd.checkProcess();
    }
    SECTION("metrics")
    {
        const std::string request = statusRequest("/metrics");
        crowd.connect(connections, port::metrics, {.repeated = request, .repeatedBytes = requests * request.size()});
        crowd.run(crowdMilliseconds);
        crowd.checkProcess();
    }
}

TEST_CASE("A readiness check is answered while others keep the port's connections", "[status-idle]")
{
    crowd_fixture crowd;
    crowd.connect(connections, port::ready, {.opening = "GET /masticlever/readyz HTTP/1.1\r\n"});
    crowd.run(1000);
    site::site_caller check(crowd.addressOf(port::ready));
    check.send(statusRequest("/masticlever/readyz"));
    CHECK(crowd.runUntil([&] { return check.completeAnswers == 1; }));
    crowd.checkProcess();
}

TEST_CASE("A process survives strangers at the ports for other instances", "[strangers]")
{
    crowd_fixture crowd;
    const port target = GENERATE(port::homes, port::gossip);

    SECTION("that send requests")
    {
        const std::string request = statusRequest("/");
        crowd.connect(connections, target, {.repeated = request, .repeatedBytes = requests * request.size()});
        crowd.run(crowdMilliseconds / 4);
        crowd.checkProcess();
    }
    SECTION("that announce a message of two gigabytes")
    {
        crowd.connect(
            connections, target,
            {.opening = std::string("\x80\0\0\0", 4), .repeated = std::string(65536, 'x'), .repeatedBytes = 1u << 30});
        crowd.run(crowdMilliseconds / 4);
        crowd.checkProcess();
    }
    SECTION("that send messages of legal length and no meaning, all but the last byte")
    {
        crowd.connect(connections, target,
                      {.opening = std::string("\0\x20\0\0", 4),
                       .repeated = std::string(65536, 'x'),
                       .repeatedBytes = (1u << 21) - 1});
        crowd.run(crowdMilliseconds / 2);
        crowd.checkProcess();
    }
}
