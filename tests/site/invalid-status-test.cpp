#include "site-fixture.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;

namespace
{

constexpr std::chrono::seconds promptly{2}; // half of the routes' time-out

class timer
{
public:
    bool isPrompt() const { return std::chrono::steady_clock::now() - m_startedAt < promptly; }

private:
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
};

void injectFault(site_endpoint &endpoint, const std::string &status, bool hasId)
{
    endpoint.behaviour.kind = fault::invalid_status;
    endpoint.behaviour.invalidStatus = status;
    endpoint.behaviour.hasStatusId = hasId;
}

} // namespace

// Guards against an answer with an invalid status that is passed on, waited out as an interim answer, or believed when
// it says that the request was not executed.
TEST_CASE("An answer with an invalid status is a failed call", "[site][odd-input]")
{
    const std::string status = GENERATE("000", "099", "600", "999");
    const bool hasId = GENERATE(true, false);
    INFO("status " << status << ", with id: " << hasId);
    site_fixture site(1);

    SECTION("to a request")
    {
        site.addEndpoint("d1", kind::plain, "desk");
        site.addEndpoint("d2", kind::plain, "desk");
        REQUIRE(site.waitReady(0));
        REQUIRE(waitFor([&] {
            site.sendRequest(0, site.request("GET", "/safe/", "probe"));
            return !site.endpoint(0).runs.empty() && !site.endpoint(1).runs.empty();
        }));
        injectFault(site.endpoint(0), status, hasId);
        const timer repeatable;
        for (int i = 0; i < 4; ++i) {
            const std::string id = "s" + std::to_string(i);
            CHECK(site.sendRequest(0, site.request("GET", "/safe/", id)).body == "answer to " + id);
        }
        CHECK(repeatable.isPrompt());
        injectFault(site.endpoint(1), status, hasId);
        const timer unrepeatable;
        const auto answer = site.sendRequest(0, site.request("POST", "/order/", "u1", "x"));
        CHECK(answer.status == 502);
        CHECK(site.endpoint(0).runs["u1"] + site.endpoint(1).runs["u1"] == 1);
        CHECK(unrepeatable.isPrompt());
    }
    SECTION("to a call for stage results")
    {
        site.addPipeline();
        injectFault(site.endpoint(1), status, hasId);
        site.endpoint(1).behaviour.remainingFaults = 1;
        const timer calls;
        CHECK(site.chat(0, "r1").status == 200);
        CHECK(calls.isPrompt());
    }
    SECTION("to a release")
    {
        site.addPipeline();
        REQUIRE(waitFor([&] { return site.endpoint(1).results.empty() && site.endpoint(2).results.empty(); }));
        const std::size_t before = site.endpoint(2).calls.size();
        site.endpoint(2).behaviour.serviceTime = std::chrono::milliseconds(200);
        site_caller caller(site.frontAddressOf(0));
        caller.send(site.request("POST", "/chat/", "r1", "prompt", "Pieces: 2,3\r\nPiece-Key: abc\r\n"));
        REQUIRE(
            waitFor([&] { return site.endpoint(2).calls.size() > before; })); // so that it applies to the release only
        injectFault(site.endpoint(2), status, hasId);
        REQUIRE(waitFor([&] { return caller.completeAnswers == 1; }));
        CHECK(caller.heads[0].status == 200);
        REQUIRE(waitFor([&] { return site.endpoint(2).rejections > 0; }));
        site.endpoint(2).behaviour.kind = fault::none;
        const timer calls;
        CHECK(site.chat(0, "r2").status == 200);
        CHECK(calls.isPrompt());
    }
    SECTION("of the store")
    {
        site.addEndpoint("d1", kind::plain, "desk");
        site.store.invalidStatus = status;
        site.store.setState(site_store::state::invalid_status);
        const std::size_t started = site.startDaemon();
        const std::size_t calls = site.store.calls();
        REQUIRE(waitFor([&] { return site.store.calls() > calls + 2; }));
        CHECK(site.readyStatusOf(started) == 503);
        site.store.setState(site_store::state::up);
        CHECK(site.waitReady(started));
        CHECK(site.sendRequest(started, site.request("GET", "/safe/", "r1")).status == 200);
    }
}
