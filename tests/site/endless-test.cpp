#include "site-fixture.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <fstream>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;

namespace
{

constexpr std::size_t megabyte = std::size_t{1} << 20;

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace

TEST_CASE("An endless answer is aborted and reported with the right outcome", "[site]")
{
    site_fixture site(1);
    site.memoryBytes = 112 * megabyte;
    const std::size_t daemon = site.startDaemon();
    site.addEndpoint("d1", kind::plain, "desk");
    REQUIRE(site.waitReady(daemon));
    REQUIRE(waitFor([&] { return site.sendRequest(daemon, site.request("GET", "/open/", "probe")).status == 200; }));
    site_endpoint &desk = site.endpoint(0);
    desk.behaviour.remainingFaults = 1;

    SECTION("an endless 200 is a failure that makes no claim about execution")
    {
        desk.behaviour.kind = GENERATE(fault::endless_head, fault::endless_interim, fault::endless_body,
                                       fault::endless_chunks, fault::endless_extension, fault::endless_unframed);
        const auto answer = site.sendRequest(daemon, site.request("POST", "/order/", "r1"));
        CHECK(answer.status == 502);
        CHECK(desk.endlessBytes < 48 * megabyte);
        CHECK(desk.runs["r1"] == 1);
    }
    SECTION("an endless rejection is a refusal as not run")
    {
        desk.behaviour.kind = fault::endless_rejection;
        CHECK(site.sendRequest(daemon, site.request("POST", "/order/", "r2")).status == 503);
        CHECK(desk.endlessBytes < 8 * megabyte);
    }
    SECTION("bytes after a complete answer are not read")
    {
        desk.behaviour.kind = fault::endless_tail;
        CHECK(site.sendRequest(daemon, site.request("POST", "/order/", "r3")).body == "answer to r3");
        CHECK(desk.endlessBytes < 8 * megabyte);
        CHECK(site.sendRequest(daemon, site.request("POST", "/order/", "r4")).body == "answer to r4");
    }
    SECTION("a repeatable request is served by another endpoint")
    {
        desk.behaviour.kind = fault::endless_body;
        site.addEndpoint("d2", kind::plain, "desk");
        REQUIRE(waitFor([&] {
            return site.sendRequest(daemon, site.request("GET", "/safe/", "r5")).status == 200 && desk.endlessBytes > 0;
        }));
    }
}

TEST_CASE("A hundred endless answers stay within the memory limit", "[site]")
{
    constexpr std::size_t endpoints = 100;
    site_fixture site(1);
    site.memoryBytes = 112 * megabyte;
    const std::size_t daemon = site.startDaemon();
    for (std::size_t i = 0; i < endpoints; ++i) {
        site.addEndpoint("d" + std::to_string(i), kind::plain, "desk");
    }
    REQUIRE(site.waitReady(daemon));
    REQUIRE(waitFor([&] { return site.sendRequest(daemon, site.request("GET", "/open/", "probe")).status == 200; }));
    const fault endless = GENERATE(fault::endless_body, fault::endless_extension, fault::endless_unframed);
    for (std::size_t i = 0; i < endpoints; ++i) {
        site.endpoint(i).behaviour.kind = endless;
    }
    const std::size_t before = residentBytes();
    std::vector<std::unique_ptr<site_caller>> callers;
    for (std::size_t i = 0; i < endpoints; ++i) {
        callers.push_back(std::make_unique<site_caller>(site.frontAddressOf(daemon)));
        callers.back()->send(site.request("POST", "/order/", "r" + std::to_string(i)));
    }
    std::size_t peak = before;
    const bool areAllAnswered = waitFor([&] {
        peak = std::max(peak, residentBytes());
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto &caller) { return caller->completeAnswers == 1; });
    });
    CHECK(areAllAnswered);
    // The stand-in endpoints share this process and buffer up to 0.2 MB each.
    CHECK(peak - before < 112 * megabyte / 2);
}

TEST_CASE("An endless event is aborted", "[site]")
{
    site_fixture site(1);
    site.addEndpoint("m1", kind::model, "model");
    REQUIRE(site.waitReady(0));
    REQUIRE(waitFor([&] { return site.sendRequest(0, site.request("POST", "/note/", "probe", "x")).status == 200; }));
    site.endpoint(0).behaviour.kind = fault::endless_event;
    const auto answer = site.sendRequest(0, site.request("POST", "/note/", "r1", "x"));
    CHECK(answer.status == 502);
    CHECK(site.endpoint(0).endlessBytes < 16 * megabyte);
}

TEST_CASE("An endless answer of a stage endpoint does not delay its pieces", "[site]")
{
    site_fixture site(1);
    site.addPipeline();
    site.endpoint(1).behaviour.kind
        = GENERATE(fault::endless_head, fault::endless_body, fault::endless_chunks, fault::endless_unframed);
    site.endpoint(1).behaviour.remainingFaults = 1;
    CHECK(site.chat(0, "r1").status == 200);
    CHECK(site.endpoint(1).endlessBytes < 48 * megabyte);
}
