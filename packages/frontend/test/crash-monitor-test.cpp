#include "crash-monitor.h"

#include <masticlever/net/stream-socket.h>

#include <event-loop.h>

#include <catch2/catch.hpp>

#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

using namespace masticlever;
using namespace masticlever::frontend;
using test::runUntil;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;

common::instant now()
{
    return std::chrono::time_point_cast<common::duration>(std::chrono::steady_clock::now());
}

} // namespace

TEST_CASE("An endpoint that cut a call off")
{
    std::vector<endpoint_crash> crashes;
    crash_monitor monitor({}, [&](const endpoint_crash &crash) { crashes.push_back(crash); });
    int connections = 0;
    auto listener = std::make_unique<net::listener>([&](int descriptor) {
        ++connections;
        ::close(descriptor);
    });
    const auto port = listener->listen({loopback, 0}, 8);
    REQUIRE(port.has_value());
    const std::string address = "127.0.0.1:" + std::to_string(port.value());
    const auto interrupt = [&](const std::string &request, const std::vector<std::uint64_t> &parts) {
        monitor.onInterrupted("e1", 7, address, {request, parts, now() - 100ms, now()});
    };

    SECTION("has crashed if it refuses connections")
    {
        listener.reset();
        interrupt("r1", {1});
        interrupt("r2", {2});
        REQUIRE(runUntil([&] {
            monitor.onTick(now());
            return !crashes.empty();
        }));
        CHECK(crashes.front().isNew);
        CHECK(crashes.front().calls.size() == 2);
        CHECK(crashes.front().incarnation == crash_monitor::incarnationOf("e1", 7));

        SECTION("and calls that end later belong to the same crash")
        {
            interrupt("r3", {3});
            monitor.onTick(now());
            REQUIRE(crashes.size() == 2);
            CHECK_FALSE(crashes.back().isNew);
            CHECK(crashes.back().calls.size() == 1);
        }
    }
    SECTION("has not crashed if it accepts one")
    {
        interrupt("r1", {1});
        REQUIRE(runUntil([&] {
            monitor.onTick(now());
            return connections == 1;
        }));
        const auto until = now() + 100ms;
        runUntil([&] {
            monitor.onTick(now());
            return now() > until;
        });
        CHECK(crashes.empty());
    }
    SECTION("is not asked about a request without shared parts")
    {
        interrupt("r1", {});
        const auto until = now() + 100ms;
        runUntil([&] {
            monitor.onTick(now());
            return now() > until;
        });
        CHECK(connections == 0);
    }
}
