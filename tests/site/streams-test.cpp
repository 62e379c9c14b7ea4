#include "site-fixture.h"

#include <catch2/catch.hpp>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;

namespace
{

class model_site : public site_fixture
{
public:
    model_site() : site_fixture(1)
    {
        addEndpoint("m1", kind::model, "model");
        addEndpoint("m2", kind::model, "model");
        REQUIRE(waitReady(0));
        REQUIRE(waitFor([&] {
            sendRequest(0, request("POST", "/note/", "probe"));
            sendRequest(0, request("POST", "/note/", "probe", "", "Prompt-Prefix: a:1,b:2\r\n"));
            return !endpoint(0).runs.empty() && !endpoint(1).runs.empty();
        }));
        endpoint(0).runs.clear();
        endpoint(1).runs.clear();
    }

    void injectFault(fault injected, std::size_t remainingFaults)
    {
        endpoint(0).behaviour.kind = injected;
        endpoint(0).behaviour.remainingFaults = remainingFaults;
    }

    static std::string events(std::size_t from, std::size_t to)
    {
        std::string text;
        for (std::size_t i = from; i <= to; ++i) {
            text += "id: " + std::to_string(i) + "\ndata: event " + std::to_string(i) + "\n\n";
        }
        return text;
    }

    int totalRuns(const std::string &id) { return endpoint(0).runs[id] + endpoint(1).runs[id]; }
};

} // namespace

TEST_CASE("A stream is forwarded event by event", "[site]")
{
    model_site site;
    site.endpoint(0).behaviour.eventInterval = std::chrono::milliseconds(50);
    site.endpoint(1).behaviour.eventInterval = std::chrono::milliseconds(50);
    site_caller caller(site.frontAddressOf(0));
    caller.send(site.request("POST", "/note/", "r1", "prompt"));
    REQUIRE(waitFor([&] { return !caller.bodies.empty() && !caller.bodies[0].empty(); }));
    CHECK(caller.completeAnswers == 0); // the first event arrives before the stream ends
    REQUIRE(waitFor([&] { return caller.completeAnswers == 1; }));
    CHECK(caller.bodies[0] == model_site::events(1, 4));
    CHECK(caller.heads[0].find("Server-Signature") != nullptr);

    SECTION("and cancelled immediately if its caller disconnects")
    {
        site_caller disconnecting(site.frontAddressOf(0));
        disconnecting.send(site.request("POST", "/note/", "r2", "prompt"));
        REQUIRE(waitFor([&] { return !disconnecting.bodies.empty(); }));
        disconnecting.disconnect();
        REQUIRE(waitFor([&] { return site.endpoint(0).inFlight + site.endpoint(1).inFlight == 0; }));
        CHECK(site.endpoint(0).abandonedRequests + site.endpoint(1).abandonedRequests == 1);
    }
}

TEST_CASE("A stream that is interrupted", "[site]")
{
    model_site site;
    constexpr int requests = 12;
    int interrupted = 0;

    SECTION("continues after its last complete event if it is resumable")
    {
        site.injectFault(fault::truncated_event, 3);
        for (int i = 0; i < requests; ++i) {
            const std::string id = "r" + std::to_string(i);
            const auto answer = site.sendRequest(0, site.request("POST", "/chat/", id, "prompt"));
            CHECK(answer.isComplete);
            CHECK(answer.body == model_site::events(1, 4));
            interrupted += site.totalRuns(id) == 2 ? 1 : 0;
        }
        CHECK(interrupted > 0);
    }
    SECTION("is closed before its end if it is not resumable, so that it never looks complete")
    {
        site.injectFault(fault::truncated_event, requests);
        for (int i = 0; i < requests; ++i) {
            const std::string id = "n" + std::to_string(i);
            site_caller caller(site.frontAddressOf(0));
            caller.send(site.request("POST", "/note/", id, "prompt"));
            REQUIRE(waitFor([&] { return caller.isClosed || caller.completeAnswers == 1; }));
            CHECK(site.totalRuns(id) == 1);
            if (caller.completeAnswers == 0) {
                ++interrupted;
                CHECK(caller.isTruncated);
                CHECK(caller.bodies[0] == model_site::events(1, 2));
            }
        }
        CHECK(interrupted > 0);
    }
}

TEST_CASE("A stream without length or chunks that ends with its connection", "[site]")
{
    model_site site;
    constexpr int requests = 12;
    int unframed = 0;

    SECTION("is complete if it ends after an event")
    {
        site.injectFault(fault::unframed_stream, requests);
        for (int i = 0; i < requests; ++i) {
            const auto answer = site.sendRequest(0, site.request("POST", "/note/", "n" + std::to_string(i), "prompt"));
            CHECK(answer.isComplete);
            CHECK(answer.body == model_site::events(1, 4));
        }
        CHECK(site.endpoint(0).behaviour.remainingFaults < requests);
    }
    SECTION("continues at another endpoint if it ends inside an event or before the first one")
    {
        site.injectFault(GENERATE(fault::unframed_event, fault::unframed_empty), 3);
        for (int i = 0; i < requests; ++i) {
            const std::string id = "r" + std::to_string(i);
            const auto answer = site.sendRequest(0, site.request("POST", "/chat/", id, "prompt"));
            CHECK(answer.isComplete);
            CHECK(answer.body == model_site::events(1, 4));
            unframed += site.totalRuns(id) == 2 ? 1 : 0;
        }
        CHECK(unframed > 0);
    }
    SECTION("never looks complete to the caller if it was cut off and is not resumable")
    {
        site.injectFault(GENERATE(fault::unframed_event, fault::unframed_empty), requests);
        for (int i = 0; i < requests; ++i) {
            const auto answer = site.sendRequest(0, site.request("POST", "/note/", "n" + std::to_string(i), "prompt"));
            const bool isWhole = answer.body == model_site::events(1, 4);
            CHECK((answer.status != 200 || answer.isComplete == isWhole));
            unframed += isWhole ? 0 : 1;
        }
        CHECK(unframed > 0);
    }
}

TEST_CASE("A caller that resumes after an event gets only the later events", "[site]")
{
    model_site site;
    const auto answer = site.sendRequest(0, site.request("POST", "/chat/", "r1", "prompt", "Last-Event-Id: 2\r\n"));
    CHECK(answer.body == model_site::events(3, 4));
}

TEST_CASE("A stream that was interrupted is not continued with an answer that is no stream", "[site]")
{
    model_site site;
    const fault next = GENERATE(fault::error, fault::not_found, fault::plain_answer, fault::garbage, fault::reject,
                                fault::unframed_empty);
    const std::string path = GENERATE("/chat/", "/note/");
    site.endpoint(1).behaviour.kind = next;
    site.injectFault(fault::truncated_event, 1000);
    int cutOff = 0;
    for (int i = 0; i < 12; ++i) {
        const std::string id = "r" + std::to_string(i);
        const auto answer = site.sendRequest(0, site.request("POST", path, id, "prompt", "Prompt-Prefix: a:1,b:2\r\n"));
        const bool isStream
            = answer.head.find("Content-Type") != nullptr && *answer.head.find("Content-Type") == "text/event-stream";
        if (!isStream) {
            continue; // the request began at the second endpoint
        }
        ++cutOff;
        CHECK_FALSE(answer.isComplete);
        CHECK(answer.body == model_site::events(1, 2));
        CHECK(answer.received.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(answer.received.find("no stream") == std::string::npos);
    }
    CHECK(cutOff > 0);
}

// Guards against a second answer inside the body of an open stream.
TEST_CASE("A stream that cannot be resumed because its stage results cannot be made again is broken off", "[site]")
{
    site_fixture site(1);
    site.addPipeline();
    site.configure(
        2,
        R"(,{"name":"solo","host":"site.example","path_prefix":"/solo/","kind":"streaming","service":"model",)"
        R"("timeout_ms":4000,"target_latency_ms":1000,"priority":1,"max_attempts":3,"resumable":true,)"
        R"("sticky":true,"stages":[{"service":"encode","bytes":100}]})");
    const std::string fields = "Pieces: 1\r\nPiece-Key: abc\r\n";
    REQUIRE(waitFor(
        [&] { return site.sendRequest(0, site.request("POST", "/solo/", "probe", "prompt", fields)).status == 200; }));
    constexpr std::size_t model = 0;
    constexpr std::size_t encoder = 1;
    site.endpoint(model).behaviour.kind = fault::truncated_event;
    site.endpoint(model).behaviour.events = 8;
    site.endpoint(model).behaviour.eventInterval = std::chrono::milliseconds(50);
    site_caller caller(site.frontAddressOf(0));
    caller.send(site.request("POST", "/solo/", "r1", "prompt", fields));
    REQUIRE(waitFor([&] { return !caller.bodies.empty() && !caller.bodies[0].empty(); }));
    site.endpoint(encoder).behaviour.kind = fault::failed_pieces;

    SECTION("without a second head")
    {
        REQUIRE(waitFor([&] { return caller.isClosed || caller.received.find("HTTP/1.1", 1) != std::string::npos; }));
        CHECK(caller.received.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(caller.isTruncated);
        CHECK(caller.bodies[0] == model_site::events(1, 4));
    }
    SECTION("and a request that was sent ahead on its connection is not answered")
    {
        caller.send(site.request("GET", "/open/", "r2"));
        REQUIRE(waitFor([&] { return caller.isClosed || caller.heads.size() > 1; }));
        CHECK(caller.heads.size() == 1);
        CHECK(caller.isTruncated);
    }
}
