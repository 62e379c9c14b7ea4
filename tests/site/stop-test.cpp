#include "site-fixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;

TEST_CASE("A planned stop", "[site][stop]")
{
    site_fixture site(1);
    site.addEndpoint("d1", kind::plain, "desk");
    REQUIRE(site.waitReady(0));
    REQUIRE(waitFor([&] { return site.sendRequest(0, site.request("GET", "/safe/", "r0")).status == 200; }));
    site.endpoint(0).behaviour.serviceTime = std::chrono::milliseconds(200);

    site_caller busy(site.frontAddressOf(0));
    busy.send(site.request("POST", "/order/", "r1", "x"));
    site_caller idle(site.frontAddressOf(0));
    idle.send(site.request("GET", "/safe/", "r2"));
    REQUIRE(waitFor([&] { return idle.completeAnswers == 1 && site.endpoint(0).runs["r1"] == 1; }));
    site.daemon(0).stop();

    SECTION("fails readiness immediately and finishes requests in flight")
    {
        CHECK(site.readyStatusOf(0) == 503);
        REQUIRE(waitFor([&] { return busy.completeAnswers == 1; }));
        CHECK(busy.heads[0].status == 200);
    }
    SECTION("still serves a request on a kept-alive connection, and closes it after the answer")
    {
        idle.send(site.request("GET", "/safe/", "r3"));
        REQUIRE(waitFor([&] { return idle.isClosed; }));
        REQUIRE(idle.completeAnswers == 2);
        CHECK(idle.heads[1].status == 200);
        CHECK_FALSE(idle.isTruncated);
    }
    SECTION("closes a busy connection after its answer, so that no later request is accepted on it")
    {
        REQUIRE(waitFor([&] { return busy.isClosed; }));
        CHECK(busy.completeAnswers == 1);
        CHECK_FALSE(busy.isTruncated);
    }
    SECTION("eventually closes idle connections")
    {
        REQUIRE(waitFor([&] { return idle.isClosed; }));
        CHECK_FALSE(idle.isTruncated);
    }
}

// Guards against requests that have been read and end with a closed connection and no answer at a planned stop.
TEST_CASE("A stop answers each request that it cannot finish, by what is known of it", "[site][stop]")
{
    site_fixture site(1);
    site.stopLimit = std::chrono::milliseconds(GENERATE(1500, 3500)); // shorter and longer than the drain period
    const std::size_t daemon = site.startDaemon();
    site.addPipeline();
    site.addEndpoint("d1", kind::plain, "desk");
    constexpr std::size_t model = 0;
    constexpr std::size_t encoder = 1;
    constexpr std::size_t desk = 3;
    const std::string pieces = "Deadline-Ms: 15000\r\nPieces: 2,3\r\nPiece-Key: abc\r\n";
    REQUIRE(site.waitReady(daemon));
    REQUIRE(waitFor([&] { return site.chat(daemon, "probe").status == 200; }));
    REQUIRE(waitFor([&] { return site.sendRequest(daemon, site.request("GET", "/safe/", "probe")).status == 200; }));
    REQUIRE(site.sendRequest(daemon, site.request("POST", "/order/", "probe")).status == 200);
    site_caller caller(site.frontAddressOf(daemon));
    REQUIRE(waitFor([&] { return caller.isConnected(); }));
    const auto stopAndWait = [&] {
        const auto stoppedAt = std::chrono::steady_clock::now();
        site.daemon(daemon).stop();
        REQUIRE(waitFor([&] { return caller.isClosed; }));
        CHECK(std::chrono::steady_clock::now() - stoppedAt < site.stopLimit);
    };
    const auto checkRefused = [&] {
        REQUIRE(caller.completeAnswers == 1);
        CHECK(caller.heads[0].status == 503);
        CHECK(caller.heads[0].find("Retry-After") != nullptr);
    };

    SECTION("refused if it waits for a stage")
    {
        site.endpoint(encoder).behaviour.kind = fault::silent;
        const std::size_t callsBefore = site.endpoint(encoder).arrivals.size();
        caller.send(site.request("POST", "/chat/", "r1", "prompt", pieces));
        REQUIRE(waitFor([&] { return site.endpoint(encoder).arrivals.size() > callsBefore; }));
        stopAndWait();
        checkRefused();
        CHECK(site.endpoint(model).runs["r1"] == 0);
    }
    SECTION("refused if it came after the stop began and waits for a stage")
    {
        site.endpoint(encoder).behaviour.kind = fault::silent;
        site.daemon(daemon).stop();
        caller.send(site.request("POST", "/chat/", "r1", "prompt", pieces));
        stopAndWait();
        checkRefused();
    }
    SECTION("refused if its body has not been read whole")
    {
        const std::string text = site.request("POST", "/order/", "r1", "body", "Expect: 100-continue\r\n");
        caller.send(text.substr(0, text.size() - 2));
        REQUIRE(waitFor([&] { return !caller.received.empty(); })); // the interim answer to the head
        stopAndWait();
        REQUIRE(caller.completeAnswers == 1);
        const bool isStopFirst = site.stopLimit <= std::chrono::milliseconds(1500); // before the caller's idle timeout
        CHECK(caller.heads[0].status == (isStopFirst ? 503 : 408));
        CHECK(site.endpoint(desk).runs["r1"] == 0);
    }
    SECTION("failed without a promise if it is in a call")
    {
        site.endpoint(desk).behaviour.kind = fault::silent;
        caller.send(site.request("POST", GENERATE("/order/", "/safe/"), "r1"));
        REQUIRE(waitFor([&] { return site.endpoint(desk).runs["r1"] == 1; }));
        stopAndWait();
        REQUIRE(caller.completeAnswers == 1);
        CHECK(caller.heads[0].status == 502);
        CHECK(caller.heads[0].find("Retry-After") == nullptr);
    }
    SECTION("broken off if its stream is open")
    {
        site.endpoint(model).behaviour.events = 1000;
        site.endpoint(model).behaviour.eventInterval = std::chrono::milliseconds(50);
        caller.send(site.request("POST", GENERATE("/chat/", "/note/"), "r1", "prompt", pieces));
        REQUIRE(waitFor([&] { return !caller.bodies.empty() && !caller.bodies[0].empty(); }));
        stopAndWait();
        CHECK(caller.completeAnswers == 0);
        CHECK(caller.isTruncated);
    }
}

// Guards against requests that are passed on so late that the process ends before their answer can come back.
TEST_CASE("A stopping instance passes nothing on that it cannot answer any more", "[site][stop]")
{
    site_fixture site(1);
    site.stopLimit = std::chrono::milliseconds(1500);
    const std::size_t daemon = site.startDaemon();
    site.addEndpoint("d1", kind::plain, "desk");
    REQUIRE(site.waitReady(daemon));
    site.endpoint(0).behaviour.serviceTime = std::chrono::milliseconds(500);
    REQUIRE(waitFor([&] { return site.sendRequest(daemon, site.request("POST", "/order/", "probe")).status == 200; }));
    REQUIRE(site.sendRequest(daemon, site.request("POST", "/order/", "probe")).status == 200);
    site.daemon(daemon).stop();
    const auto stoppedAt = std::chrono::steady_clock::now();
    int served = 0;
    int refused = 0;
    for (int i = 0; std::chrono::steady_clock::now() - stoppedAt < std::chrono::milliseconds(1000); ++i) {
        const std::string id = "r" + std::to_string(i);
        const int status = site.sendRequest(daemon, site.request("POST", "/order/", id)).status;
        CHECK((status == 200 || status == 503));
        CHECK(site.endpoint(0).runs[id] == (status == 200 ? 1 : 0));
        served += status == 200 ? 1 : 0;
        refused += status == 503 ? 1 : 0;
    }
    CHECK(served > 0);
    CHECK(refused > 0);
}
