#include "site-fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;

namespace
{

constexpr std::size_t encoder = 1;
constexpr std::size_t ranker = 2;

class staged_site : public site_fixture
{
public:
    explicit staged_site(std::size_t daemons) : site_fixture(daemons)
    {
        addEndpoint("m1", kind::model, "model");
        addEndpoint("s1", kind::stage, "encode");
        addEndpoint("s2", kind::stage, "rank");
        for (std::size_t i = 0; i < daemons; ++i) {
            REQUIRE(waitReady(i));
            REQUIRE(waitFor([&] { return ask(i, chat("probe")).status == 200; }));
        }
        for (const std::size_t index : {std::size_t{0}, encoder, ranker}) {
            endpoint(index).runs.clear();
            endpoint(index).calls.clear();
            endpoint(index).heads.clear();
        }
    }

    static std::string chat(const std::string &id, const std::string &pieces = "2,3")
    {
        return request("POST", "/chat/", id, "prompt", "Pieces: " + pieces + "\r\nPiece-Key: abc\r\n");
    }

    bool areResultsFreed()
    {
        return waitFor([&] { return endpoint(encoder).results.empty() && endpoint(ranker).results.empty(); });
    }
};

} // namespace

TEST_CASE("A request's stages are made before it runs", "[site]")
{
    staged_site site(1);
    REQUIRE(site.ask(0, site.chat("r1")).status == 200);
    CHECK(site.endpoint(encoder).calls == std::vector<std::size_t>{2});
    CHECK(site.endpoint(ranker).calls == std::vector<std::size_t>{3});
    CHECK(site.endpoint(0).heads[0].find("Inputs: 127.0.0.1:") != std::string::npos);
    CHECK(site.endpoint(0).badCalls + site.endpoint(encoder).badCalls + site.endpoint(ranker).badCalls == 0);
    CHECK(site.areResultsFreed());

    SECTION("a stage without pieces is left out")
    {
        CHECK(site.ask(0, site.chat("r2", "1,0")).status == 200);
        CHECK(site.endpoint(ranker).calls.size() == 1);
    }
    SECTION("inputs that are gone are made again")
    {
        site.endpoint(ranker).behaviour.kind = fault::gone_inputs;
        site.endpoint(ranker).behaviour.times = 1;
        CHECK(site.ask(0, site.chat("r3")).status == 200);
        CHECK(site.areResultsFreed());
    }
    SECTION("a call that a full endpoint does not take is sent again")
    {
        site.endpoint(encoder).behaviour.kind = fault::reject;
        site.endpoint(encoder).behaviour.times = 2;
        CHECK(site.ask(0, site.chat("r4")).status == 200);
    }
    SECTION("a call without an answer is given up and sent again")
    {
        site.endpoint(encoder).behaviour.kind = fault::silent;
        site.endpoint(encoder).behaviour.times = 1;
        CHECK(site.ask(0, site.chat("r5")).status == 200);
    }
    SECTION("results of a caller that left are freed")
    {
        site.endpoint(ranker).behaviour.work = std::chrono::milliseconds(200);
        site_caller caller(site.frontOf(0));
        caller.send(site.chat("r6"));
        REQUIRE(waitFor([&] { return site.endpoint(ranker).calls.size() == 2; }));
        caller.leave();
        CHECK(site.areResultsFreed());
    }
}

TEST_CASE("Requests of several instances share calls", "[site]")
{
    staged_site site(3);
    site.endpoint(encoder).behaviour.work = std::chrono::milliseconds(150);
    constexpr std::size_t requests = 9;
    std::size_t round = 0;
    const auto playRound = [&] {
        site.endpoint(encoder).calls.clear();
        std::vector<std::unique_ptr<site_caller>> callers;
        const std::string name = "p" + std::to_string(++round) + "-";
        for (std::size_t i = 0; i < requests; ++i) {
            callers.push_back(std::make_unique<site_caller>(site.frontOf(i % 3)));
            callers.back()->send(site.chat(name + std::to_string(i), "1,1"));
        }
        REQUIRE(waitFor([&] {
            return std::all_of(callers.begin(), callers.end(), [](const auto &caller) { return caller->whole == 1; });
        }));
        return site.endpoint(encoder).calls.size();
    };
    // Once the instances know each other: one call with what came first, and the others full.
    CHECK(waitFor([&] { return playRound() <= 4; }));
    CHECK(site.areResultsFreed());
}

TEST_CASE("The loss of any one instance keeps the others serving", "[site]")
{
    staged_site site(3);
    const std::size_t lost = GENERATE(0, 1, 2);
    site.endpoint(encoder).behaviour.work = std::chrono::milliseconds(200);
    std::vector<std::unique_ptr<site_caller>> callers;
    for (std::size_t i = 0; i < 3; ++i) {
        callers.push_back(std::make_unique<site_caller>(site.frontOf(i)));
        callers.back()->send(site.chat("q" + std::to_string(i)));
    }
    REQUIRE(waitFor([&] { return !site.endpoint(encoder).calls.empty(); }));
    site.killDaemon(lost);
    for (std::size_t i = 0; i < 3; ++i) {
        if (i != lost) {
            REQUIRE(waitFor([&] { return callers[i]->whole == 1 || callers[i]->isClosed; }));
            REQUIRE(callers[i]->whole == 1);
            CHECK(callers[i]->heads[0].status == 200);
        }
    }
}
