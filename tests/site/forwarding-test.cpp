#include "site-fixture.h"

#include <catch2/catch.hpp>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;

namespace
{

class desk_site : public site_fixture
{
public:
    desk_site() : site_fixture(1)
    {
        addEndpoint("d1", kind::plain, "desk");
        REQUIRE(waitReady(0));
        REQUIRE(waitFor([&] { return ask(0, request("GET", "/open/", "probe")).status == 200; }));
        desk().runs.clear();
        desk().heads.clear();
        desk().bodies.clear();
    }

    site_endpoint &desk() { return endpoint(0); }

    void addSecond()
    {
        addEndpoint("d2", kind::plain, "desk");
        REQUIRE(waitFor([&] {
            ask(0, request("GET", "/open/", "probe"));
            return !endpoint(1).runs.empty();
        }));
    }

    int totalRuns(const std::string &id)
    {
        int total = endpoint(0).runs[id];
        return total + endpoint(1).runs[id];
    }
};

} // namespace

TEST_CASE("A request is forwarded unchanged", "[site]")
{
    desk_site site;

    SECTION("with method, path, query and body")
    {
        const auto answer = site.ask(0, site.request("POST", "/order/a%20b?x=1&y", "r1", "the body"));
        CHECK(answer.status == 200);
        CHECK(answer.body == "answer to r1");
        REQUIRE(answer.head.find("Server-Signature") != nullptr);
        REQUIRE(site.desk().bodies.size() == 1);
        CHECK(site.desk().bodies[0] == "the body");
        CHECK(site.desk().heads[0].starts_with("POST /order/a%20b?x=1&y HTTP/1.1"));
        CHECK(site.desk().heads[0].find("Tenant: team-1") != std::string::npos);
        CHECK(site.desk().badCalls == 0);
    }
    SECTION("with a body in chunks")
    {
        const auto answer = site.ask(0,
                                     "POST /order/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r2\r\n"
                                     "Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        CHECK(answer.status == 200);
        CHECK(site.desk().bodies.back() == "abcde");
    }
    SECTION("one after the other on a kept connection, also when sent together")
    {
        site_caller caller(site.frontOf(0));
        caller.send(site.request("GET", "/safe/", "r3") + site.request("GET", "/safe/", "r4"));
        REQUIRE(waitFor([&] { return caller.whole == 2; }));
        CHECK(caller.bodies == std::vector<std::string>{"answer to r3", "answer to r4"});
        CHECK_FALSE(caller.isClosed);
    }
    SECTION("over connections that are used again")
    {
        const std::size_t before = site.desk().connections();
        for (int i = 0; i < 10; ++i) {
            CHECK(site.ask(0, site.request("GET", "/safe/", "k" + std::to_string(i))).status == 200);
        }
        CHECK(site.desk().connections() <= before + 1);
    }
}

TEST_CASE("Requests that the configuration does not allow are refused", "[site]")
{
    desk_site site;
    CHECK(site.ask(0, site.request("GET", "/nowhere/", "r1")).status == 404);
    const std::string wrongKey = "GET /safe/ HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer other\r\n\r\n";
    CHECK(site.ask(0, wrongKey).status == 401);
    CHECK(site.ask(0, "GET /open/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r9\r\n\r\n").status == 200);
    CHECK(site.desk().runs.size() == 1);
}

TEST_CASE("A request that may not be repeated runs at most once", "[site]")
{
    desk_site site;
    site.addSecond();
    const bool isWarm = GENERATE(false, true);
    if (!isWarm) {
        site.desk().behaviour.keepAlive = "timeout=0";
        site.endpoint(1).behaviour.keepAlive = "timeout=0";
    }
    const fault met = GENERATE(fault::reset_after_reading, fault::cut_body, fault::garbage, fault::unsigned_answer,
                               fault::unframed_reset);
    site.desk().behaviour.kind = met;
    site.endpoint(1).behaviour.kind = met;
    for (int i = 0; i < 5; ++i) {
        const std::string id = "u" + std::to_string(i);
        const auto answer = site.ask(0, site.request("POST", "/order/", id, "x"));
        CHECK(answer.status == 502);
        CHECK(answer.head.find("Retry-After") == nullptr);
        CHECK(site.totalRuns(id) == 1);
    }
}

TEST_CASE("A refusal is true", "[site]")
{
    desk_site site;
    site.desk().behaviour.kind = fault::reject;
    const auto answer = site.ask(0, site.request("POST", "/order/", "r1", "x"));
    CHECK(answer.status == 503);
    CHECK(answer.head.find("Retry-After") != nullptr);
    CHECK(site.desk().runs.empty());

    SECTION("and another endpoint is asked before it is given")
    {
        site.addSecond();
        site.desk().behaviour.kind = fault::reject;
        CHECK(site.ask(0, site.request("POST", "/order/", "r2", "x")).status == 200);
    }
}

TEST_CASE("A repeatable request is tried at another endpoint", "[site]")
{
    desk_site site;
    site.addSecond();
    site.desk().behaviour.kind = GENERATE(fault::error, fault::reset_after_reading, fault::cut_body, fault::garbage);
    site.desk().behaviour.times = 1;
    site.endpoint(1).behaviour = site.desk().behaviour;
    const auto answer = site.ask(0, site.request("GET", "/safe/", "r1"));
    // One of the two met the fault; the other answers, or the budget is spent by both.
    CHECK((answer.status == 200 || site.totalRuns("r1") == 2));
    CHECK(site.totalRuns("r1") == 2);
}

TEST_CASE("Answers are told apart", "[site]")
{
    desk_site site;

    SECTION("a second answer reaches nobody, and its connection is not used again")
    {
        site.desk().behaviour.kind = fault::extra_answer;
        for (int i = 0; i < 5; ++i) {
            const std::string id = "x" + std::to_string(i);
            CHECK(site.ask(0, site.request("POST", "/order/", id, "x")).body == "answer to " + id);
        }
    }
    SECTION("one that belongs to another request is skipped")
    {
        site.desk().behaviour.kind = fault::stale_answer;
        CHECK(site.ask(0, site.request("POST", "/order/", "r1", "x")).body == "answer to r1");
    }
    SECTION("one without a length ends with an orderly close")
    {
        site.desk().behaviour.kind = fault::unframed;
        const auto answer = site.ask(0, site.request("POST", "/order/", "r1", "x"));
        CHECK(answer.status == 200);
        CHECK(answer.body == "answer to r1");
    }
    SECTION("the endpoint's own failure is passed on as it is")
    {
        site.desk().behaviour.kind = fault::error;
        const auto answer = site.ask(0, site.request("POST", "/order/", "r1", "x"));
        CHECK(answer.status == 500);
        CHECK(answer.body == "failed");
        CHECK(answer.head.find("Server-Signature") != nullptr);
    }
}

TEST_CASE("Time is bounded by the caller and the route", "[site]")
{
    desk_site site;
    site.desk().behaviour.kind = fault::silent;
    const auto answer = site.ask(0,
                                 "POST /order/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r1\r\n"
                                 "Authorization: Bearer key-1\r\nDeadline-Ms: 300\r\nContent-Length: 0\r\n\r\n");
    CHECK(answer.status == 504);
    CHECK(waitFor([&] { return site.desk().runs["r1"] == 1; }));
}

TEST_CASE("The work of a caller that leaves is dropped", "[site]")
{
    desk_site site;
    site.desk().behaviour.work = std::chrono::milliseconds(300);
    site_caller caller(site.frontOf(0));
    const bool isRepeatable = GENERATE(true, false);
    caller.send(site.request(isRepeatable ? "GET" : "POST", isRepeatable ? "/safe/" : "/order/", "r1"));
    REQUIRE(waitFor([&] { return site.desk().runs["r1"] == 1; }));
    caller.leave();
    REQUIRE(waitFor([&] { return site.desk().open == 0; }));
    // What may not be repeated is left to finish.
    CHECK(site.desk().dropped == (isRepeatable ? 1 : 0));
}

TEST_CASE("A caller that has left before its request is sent on", "[site]")
{
    desk_site site;
    // A connection to the endpoint is at hand, on which a request would go out at once.
    REQUIRE(site.ask(0, site.request("GET", "/safe/", "r0")).status == 200);
    const std::string method = GENERATE("GET", "POST");
    const std::string path = method == "GET" ? "/safe/" : "/order/";
    site_caller caller(site.frontOf(0));
    REQUIRE(waitFor([&] { return caller.isConnected(); }));
    // The request and the close wait together for a daemon that is behind with its work.
    caller.send(site.request(method, path, "r1"));
    caller.finish();
    REQUIRE(waitFor([&] { return caller.isClosed; }));
    REQUIRE(site.ask(0, site.request(method, path, "r2")).status == 200);
    CHECK(site.desk().runs["r2"] == 1);
    CHECK(site.desk().runs["r1"] == 0);
}

TEST_CASE("An endpoint that leaves gets no new work", "[site]")
{
    desk_site site;
    site.addSecond();

    SECTION("after its registration says so")
    {
        site.store.put("keyed.servers", "d1", site.desk().registration("draining"));
        // Registrations are followed in order: who is sent requests has been followed after what was written before.
        site.addEndpoint("d3", kind::plain, "desk");
        REQUIRE(waitFor([&] {
            site.ask(0, site.request("GET", "/safe/", "p"));
            return site.endpoint(2).runs["p"] > 0;
        }));
        site.desk().runs.clear();
        for (int i = 0; i < 10; ++i) {
            CHECK(site.ask(0, site.request("GET", "/safe/", "n" + std::to_string(i))).status == 200);
        }
        CHECK(site.desk().runs.empty());
    }
    SECTION("after another endpoint answers at its address")
    {
        site_endpoint other("other", kind::plain, "board", "west");
        const std::string address = site.desk().address();
        site.desk().stop();
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        REQUIRE(waitFor([&] { return other.start(port) == address; }));
        for (int i = 0; i < 20; ++i) {
            site.ask(0, site.request("GET", "/safe/", "m" + std::to_string(i)));
        }
        CHECK(other.runs.empty());
        CHECK(site.ask(0, site.request("GET", "/safe/", "last")).status == 200);
    }
}
