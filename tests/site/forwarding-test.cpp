#include "site-fixture.h"

#include <catch2/catch.hpp>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;
using refusal_form = endpoint_behaviour::refusal_form;

namespace
{

class desk_site : public site_fixture
{
public:
    desk_site() : site_fixture(1)
    {
        addEndpoint("d1", kind::plain, "desk");
        REQUIRE(waitReady(0));
        REQUIRE(waitFor([&] { return sendRequest(0, request("GET", "/open/", "probe")).status == 200; }));
        desk().runs.clear();
        desk().heads.clear();
        desk().bodies.clear();
    }

    site_endpoint &desk() { return endpoint(0); }

    void addSecond()
    {
        addEndpoint("d2", kind::plain, "desk");
        REQUIRE(waitFor([&] {
            sendRequest(0, request("GET", "/open/", "probe"));
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
        const auto answer = site.sendRequest(0, site.request("POST", "/order/a%20b?x=1&y", "r1", "the body"));
        CHECK(answer.status == 200);
        CHECK(answer.body == "answer to r1");
        REQUIRE(answer.head.find("Server-Signature") != nullptr);
        REQUIRE(site.desk().bodies.size() == 1);
        CHECK(site.desk().bodies[0] == "the body");
        CHECK(site.desk().heads[0].starts_with("POST /order/a%20b?x=1&y HTTP/1.1"));
        CHECK(site.desk().heads[0].find("Tenant: team-1") != std::string::npos);
        CHECK(site.desk().protocolViolations == 0);
    }
    SECTION("with a body in chunks")
    {
        const auto answer = site.sendRequest(0,
                                             "POST /order/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r2\r\n"
                                             "Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                             "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        CHECK(answer.status == 200);
        CHECK(site.desk().bodies.back() == "abcde");
    }
    SECTION("in order on a kept-alive connection, even if pipelined")
    {
        site_caller caller(site.frontAddressOf(0));
        caller.send(site.request("GET", "/safe/", "r3") + site.request("GET", "/safe/", "r4"));
        REQUIRE(waitFor([&] { return caller.completeAnswers == 2; }));
        CHECK(caller.bodies == std::vector<std::string>{"answer to r3", "answer to r4"});
        CHECK_FALSE(caller.isClosed);
    }
    SECTION("over reused connections")
    {
        const std::size_t before = site.desk().connections();
        for (int i = 0; i < 10; ++i) {
            CHECK(site.sendRequest(0, site.request("GET", "/safe/", "k" + std::to_string(i))).status == 200);
        }
        CHECK(site.desk().connections() <= before + 1);
    }
}

TEST_CASE("Requests that the configuration does not allow are refused", "[site]")
{
    desk_site site;
    CHECK(site.sendRequest(0, site.request("GET", "/nowhere/", "r1")).status == 404);
    const std::string wrongKey = "GET /safe/ HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer other\r\n\r\n";
    CHECK(site.sendRequest(0, wrongKey).status == 401);
    CHECK(site.sendRequest(0, "GET /open/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r9\r\n\r\n").status == 200);
    CHECK(site.desk().runs.size() == 1);
}

// Guards against a route that allows no service being served by the one that it names last.
TEST_CASE("Requests on a route whose services have no share are refused at once", "[site]")
{
    desk_site site;
    const auto route = [](const std::string &name, const std::string &weight) {
        return R"(,{"name":")" + name + R"(","host":"site.example","path_prefix":"/)" + name
            + R"(/","kind":"safe","timeout_ms":4000,"traffic_split":[{"service":"model","weight":0},)"
              R"({"service":"desk","weight":)"
            + weight + "}]}";
    };
    site.configure(2, route("closed", "0") + route("split", "10"));
    REQUIRE(waitFor([&] { return site.sendRequest(0, site.request("GET", "/split/", "s1")).status == 200; }));
    const auto answer = site.sendRequest(0, site.request("GET", "/closed/", "c1"));
    CHECK(answer.status == 503);
    CHECK(answer.head.find("Retry-After") != nullptr);
    CHECK(site.desk().runs.count("c1") == 0);
}

TEST_CASE("A request that is not repeatable runs at most once", "[site]")
{
    desk_site site;
    site.addSecond();
    const bool areConnectionsReused = GENERATE(false, true);
    if (!areConnectionsReused) {
        site.desk().behaviour.keepAlive = "timeout=0";
        site.endpoint(1).behaviour.keepAlive = "timeout=0";
    }
    const fault injected = GENERATE(fault::reset_after_reading, fault::truncated_body, fault::garbage,
                                    fault::unsigned_answer, fault::unframed_reset);
    site.desk().behaviour.kind = injected;
    site.endpoint(1).behaviour.kind = injected;
    for (int i = 0; i < 5; ++i) {
        const std::string id = "u" + std::to_string(i);
        const auto answer = site.sendRequest(0, site.request("POST", "/order/", id, "x"));
        CHECK(answer.status == 502);
        CHECK(answer.head.find("Retry-After") == nullptr);
        CHECK(site.totalRuns(id) == 1);
    }
}

TEST_CASE("A refused request has not run", "[site]")
{
    desk_site site;
    site.desk().behaviour.kind = fault::reject;
    const auto answer = site.sendRequest(0, site.request("POST", "/order/", "r1", "x"));
    CHECK(answer.status == 503);
    CHECK(answer.head.find("Retry-After") != nullptr);
    CHECK(site.desk().runs.empty());

    SECTION("and another endpoint is tried before the refusal")
    {
        site.addSecond();
        site.desk().behaviour.kind = fault::reject;
        CHECK(site.sendRequest(0, site.request("POST", "/order/", "r2", "x")).status == 200);
    }
}

TEST_CASE("A repeatable request is retried at another endpoint", "[site]")
{
    desk_site site;
    site.addSecond();
    site.desk().behaviour.kind
        = GENERATE(fault::error, fault::reset_after_reading, fault::truncated_body, fault::garbage);
    site.desk().behaviour.remainingFaults = 1;
    site.endpoint(1).behaviour = site.desk().behaviour;
    const auto answer = site.sendRequest(0, site.request("GET", "/safe/", "r1"));
    // The first attempt fails; the second one succeeds or uses up the attempts.
    CHECK((answer.status == 200 || site.totalRuns("r1") == 2));
    CHECK(site.totalRuns("r1") == 2);
}

TEST_CASE("Answers are matched to their requests", "[site]")
{
    desk_site site;

    SECTION("a surplus answer is discarded, and its connection is not reused")
    {
        site.desk().behaviour.kind = fault::extra_answer;
        for (int i = 0; i < 5; ++i) {
            const std::string id = "x" + std::to_string(i);
            CHECK(site.sendRequest(0, site.request("POST", "/order/", id, "x")).body == "answer to " + id);
        }
    }
    SECTION("an answer to another request is skipped")
    {
        site.desk().behaviour.kind = fault::stale_answer;
        CHECK(site.sendRequest(0, site.request("POST", "/order/", "r1", "x")).body == "answer to r1");
    }
    SECTION("an answer without a length ends with an orderly close")
    {
        site.desk().behaviour.kind = fault::unframed;
        const auto answer = site.sendRequest(0, site.request("POST", "/order/", "r1", "x"));
        CHECK(answer.status == 200);
        CHECK(answer.body == "answer to r1");
    }
    SECTION("an error of the endpoint is forwarded unchanged")
    {
        site.desk().behaviour.kind = fault::error;
        const auto answer = site.sendRequest(0, site.request("POST", "/order/", "r1", "x"));
        CHECK(answer.status == 500);
        CHECK(answer.body == "failed");
        CHECK(answer.head.find("Server-Signature") != nullptr);
    }
}

TEST_CASE("A request times out at the deadline of its caller", "[site]")
{
    desk_site site;
    site.desk().behaviour.kind = fault::silent;
    const auto answer
        = site.sendRequest(0,
                           "POST /order/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r1\r\n"
                           "Authorization: Bearer key-1\r\nDeadline-Ms: 300\r\nContent-Length: 0\r\n\r\n");
    CHECK(answer.status == 504);
    CHECK(waitFor([&] { return site.desk().runs["r1"] == 1; }));
}

TEST_CASE("The request of a caller that disconnects is cancelled", "[site]")
{
    desk_site site;
    site.desk().behaviour.serviceTime = std::chrono::milliseconds(300);
    site_caller caller(site.frontAddressOf(0));
    const bool isRepeatable = GENERATE(true, false);
    caller.send(site.request(isRepeatable ? "GET" : "POST", isRepeatable ? "/safe/" : "/order/", "r1"));
    REQUIRE(waitFor([&] { return site.desk().runs["r1"] == 1; }));
    caller.disconnect();
    REQUIRE(waitFor([&] { return site.desk().inFlight == 0; }));
    // A request that is not repeatable is left to finish.
    CHECK(site.desk().abandonedRequests == (isRepeatable ? 1 : 0));
}

TEST_CASE("A caller that disconnects before its request is forwarded", "[site]")
{
    desk_site site;
    // Leaves an idle connection to the endpoint, on which a request would be forwarded immediately.
    REQUIRE(site.sendRequest(0, site.request("GET", "/safe/", "r0")).status == 200);
    const std::string method = GENERATE("GET", "POST");
    const std::string path = method == "GET" ? "/safe/" : "/order/";
    site_caller caller(site.frontAddressOf(0));
    REQUIRE(waitFor([&] { return caller.isConnected(); }));
    // The request and the close wait together, as for a daemon that is behind with its work.
    caller.send(site.request(method, path, "r1"));
    caller.finish();
    REQUIRE(waitFor([&] { return caller.isClosed; }));
    REQUIRE(site.sendRequest(0, site.request(method, path, "r2")).status == 200);
    CHECK(site.desk().runs["r2"] == 1);
    CHECK(site.desk().runs["r1"] == 0);
}

TEST_CASE("An endpoint that is draining, removed or replaced gets no new requests", "[site]")
{
    desk_site site;
    site.addSecond();

    SECTION("after its registration says so")
    {
        site.store.put("keyed.servers", "d1", site.desk().registration("draining"));
        // Registrations are applied in order: once d3 gets requests, the earlier record of d1 has been applied.
        site.addEndpoint("d3", kind::plain, "desk");
        REQUIRE(waitFor([&] {
            site.sendRequest(0, site.request("GET", "/safe/", "p"));
            return site.endpoint(2).runs["p"] > 0;
        }));
        site.desk().runs.clear();
        for (int i = 0; i < 10; ++i) {
            CHECK(site.sendRequest(0, site.request("GET", "/safe/", "n" + std::to_string(i))).status == 200);
        }
        CHECK(site.desk().runs.empty());
    }
    SECTION("once another endpoint answers at its address")
    {
        site_endpoint other("other", kind::plain, "board", "west");
        const std::string address = site.desk().address();
        site.desk().stop();
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        REQUIRE(waitFor([&] { return other.start(port) == address; }));
        for (int i = 0; i < 20; ++i) {
            site.sendRequest(0, site.request("GET", "/safe/", "m" + std::to_string(i)));
        }
        CHECK(other.runs.empty());
        CHECK(site.sendRequest(0, site.request("GET", "/safe/", "last")).status == 200);
    }
}

// Guards against a refusal, which callers take as a proof, of a request that has run.
TEST_CASE("An endpoint's refusal of a request that it does not prove not to have run is not passed on", "[site]")
{
    site_fixture site(1);
    site.addEndpoint("d1", kind::plain, "desk");
    REQUIRE(site.waitReady(0));
    REQUIRE(waitFor([&] { return site.sendRequest(0, site.request("GET", "/safe/", "probe")).status == 200; }));
    site_endpoint &desk = site.endpoint(0);
    const std::string path = GENERATE("/order/", "/safe/");

    SECTION("with a whole body, a cut one or no id")
    {
        desk.behaviour.kind = fault::unproven_refusal;
        for (const int status : {408, 429, 503}) {
            for (const refusal_form form : {refusal_form::whole, refusal_form::cut, refusal_form::without_id}) {
                desk.behaviour.refusalStatus = status;
                desk.behaviour.refusal = form;
                const std::string id = "r" + std::to_string(status) + "-" + std::to_string(static_cast<int>(form));
                INFO(id);
                const auto answer = site.sendRequest(0, site.request("POST", path, id));
                CHECK(desk.runs[id] == 1);
                CHECK(answer.status == 502);
                CHECK(answer.isComplete);
                CHECK(answer.head.find("Server-Signature") == nullptr);
                CHECK(answer.head.find("Retry-After") == nullptr);
                CHECK(answer.body.empty());
            }
        }
    }
    SECTION("and only a request that may be repeated is sent to another endpoint")
    {
        site.addEndpoint("d2", kind::plain, "desk");
        REQUIRE(waitFor([&] {
            site.sendRequest(0, site.request("GET", "/safe/", "probe"));
            return !site.endpoint(1).runs.empty();
        }));
        desk.behaviour.kind = fault::unproven_refusal;
        desk.behaviour.refusalStatus = GENERATE(408, 429, 503);
        int refused = 0;
        for (int i = 0; i < 12; ++i) {
            const std::string id = "r" + std::to_string(i);
            const auto answer = site.sendRequest(0, site.request("POST", path, id));
            const int runs = desk.runs[id] + site.endpoint(1).runs[id];
            refused += desk.runs[id];
            if (path == "/order/") {
                CHECK(runs == 1);
                CHECK(answer.status == (desk.runs[id] == 1 ? 502 : 200));
            } else {
                CHECK((answer.status == 200 || answer.status == 502));
            }
        }
        CHECK(refused > 0);
    }
}
