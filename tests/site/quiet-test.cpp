#include "site-fixture.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

} // namespace

TEST_CASE("An endpoint that rejects with Retry-After gets no requests until then", "[site]")
{
    site_fixture site(1);
    site.addEndpoint("d1", kind::plain, "desk");
    REQUIRE(site.waitReady(0));
    std::size_t sentCount = 0;
    const auto sendRequest = [&](const std::string &path = "/safe/") {
        return site.sendRequest(0, site.request("GET", path, "r" + std::to_string(++sentCount)));
    };
    REQUIRE(waitFor([&] { return sendRequest().status == 200; }));
    site_endpoint &busy = site.endpoint(0);

    SECTION("other endpoints serve meanwhile, and it is used again right after the backoff")
    {
        site.addEndpoint("d2", kind::plain, "desk");
        REQUIRE(waitFor([&] { return sendRequest().status == 200 && !site.endpoint(1).heads.empty(); }));
        busy.behaviour.kind = fault::reject;
        busy.behaviour.retryAfter = "0.9";
        busy.behaviour.remainingFaults = 1;
        REQUIRE(waitFor([&] { return sendRequest().status == 200 && busy.rejections == 1; }));
        const auto rejectedAt = clock::now();
        const std::size_t runs = busy.heads.size();
        while (clock::now() - rejectedAt < milliseconds(800)) {
            REQUIRE(sendRequest().status == 200);
            REQUIRE(busy.heads.size() == runs);
        }
        REQUIRE(waitFor([&] { return sendRequest().status == 200 && busy.heads.size() > runs; }));
        CHECK(clock::now() - rejectedAt < milliseconds(1500));
    }
    SECTION("if it is the only one, callers are refused immediately with the remaining time")
    {
        busy.behaviour.kind = fault::reject;
        busy.behaviour.retryAfter = "1.5";
        const auto first = sendRequest();
        CHECK(first.status == 503);
        REQUIRE(busy.rejections == 1);
        const std::size_t connections = busy.connections();
        for (int i = 0; i < 5; ++i) {
            const auto next = sendRequest();
            CHECK(next.status == 503);
            REQUIRE(next.head.find("Retry-After") != nullptr);
            CHECK(std::stod(*next.head.find("Retry-After")) > 1.0);
        }
        CHECK(busy.rejections == 1);
        CHECK(busy.connections() == connections);
    }
    SECTION("an invalid value is ignored")
    {
        busy.behaviour.kind = fault::reject;
        busy.behaviour.retryAfter = GENERATE("soon", "-4", "nan", "1e999", "Fri, 04 Dec 2026 10:00:00 GMT");
        busy.behaviour.remainingFaults = 1;
        REQUIRE(waitFor([&] { return sendRequest().status == 200 && busy.rejections == 1; }));
    }
}

TEST_CASE("A stage endpoint that rejects with Retry-After gets no call until then", "[site]")
{
    site_fixture site(1);
    site.addPipeline();
    const auto chat = [&](const std::string &id) { return site.chat(0, id); };
    site_endpoint &encoder = site.endpoint(1);
    encoder.behaviour.kind = fault::reject;
    encoder.behaviour.remainingFaults = 1;

    SECTION("its pieces wait if the deadline of their request allows")
    {
        encoder.behaviour.retryAfter = "1";
        const auto began = clock::now();
        CHECK(chat("r1").status == 200);
        CHECK(clock::now() - began > milliseconds(900));
        CHECK(encoder.rejections == 1);
    }
    SECTION("requests whose deadline is earlier are refused immediately with the remaining time")
    {
        encoder.behaviour.retryAfter = "9";
        const auto began = clock::now();
        const auto answer = chat("r2");
        CHECK(answer.status == 503);
        REQUIRE(answer.head.find("Retry-After") != nullptr);
        CHECK(std::stod(*answer.head.find("Retry-After")) > 8);
        CHECK(clock::now() - began < milliseconds(1000));
        CHECK(chat("r3").status == 503);
        CHECK(encoder.rejections == 1);
    }
}
