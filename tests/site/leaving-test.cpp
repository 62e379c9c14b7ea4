#include "site-fixture.h"

#include <catch2/catch.hpp>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;
using state = site_store::state;

namespace
{

/// Two plain endpoints that both get requests.
class leaving_site : public site_fixture
{
public:
    explicit leaving_site(std::size_t daemons) : site_fixture(daemons)
    {
        addEndpoint("d1", kind::plain, "desk");
        addEndpoint("d2", kind::plain, "desk");
        for (std::size_t i = 0; i < daemons; ++i) {
            REQUIRE(waitReady(i));
            REQUIRE(isServedByBoth(i));
        }
    }

    bool isServedByBoth(std::size_t daemon)
    {
        const std::size_t first = runsOf(0);
        const std::size_t second = runsOf(1);
        return waitFor([&] {
            askOnce(daemon);
            return runsOf(0) > first && runsOf(1) > second;
        });
    }

    std::size_t runsOf(std::size_t index) { return endpoint(index).heads.size(); }

    int askOnce(std::size_t daemon)
    {
        return ask(daemon, request("GET", "/safe/", "r" + std::to_string(++m_asked))).status;
    }

    /// Asks until the first endpoint has said that it leaves.
    void hearLeaving(std::size_t daemon)
    {
        endpoint(0).behaviour.isLeaving = true;
        const std::size_t before = runsOf(0);
        REQUIRE(waitFor([&] {
            askOnce(daemon);
            return runsOf(0) > before;
        }));
    }

    /// Whether \p count requests all are served, none of them by the first endpoint.
    bool isLeft(std::size_t daemon, std::size_t count = 30)
    {
        const std::size_t before = runsOf(0);
        for (std::size_t i = 0; i < count; ++i) {
            if (askOnce(daemon) != 200) {
                return false;
            }
        }
        return runsOf(0) == before;
    }

private:
    std::size_t m_asked = 0;
};

} // namespace

TEST_CASE("An endpoint that says that it leaves gets nothing new", "[site]")
{
    leaving_site site(1);

    SECTION("after a whole answer")
    {
        site.hearLeaving(0);
        CHECK(site.isLeft(0));
    }
    SECTION("after a rejection")
    {
        site.endpoint(0).behaviour.kind = fault::reject;
        site.endpoint(0).behaviour.isLeaving = true;
        REQUIRE(waitFor([&] {
            site.askOnce(0);
            return site.endpoint(0).rejections > 0;
        }));
        const std::size_t rejections = site.endpoint(0).rejections;
        CHECK(site.isLeft(0));
        CHECK(site.endpoint(0).rejections == rejections);
    }
    SECTION("after an answer that belongs to another request")
    {
        site.endpoint(0).behaviour.kind = fault::stale_answer;
        site.hearLeaving(0);
        CHECK(site.isLeft(0));
    }
    SECTION("while the store is away, and when it is back with the same registrations")
    {
        site.store.setState(GENERATE(state::silent, state::busy));
        site.hearLeaving(0);
        CHECK(site.isLeft(0));
        site.store.setState(state::up);
        site.store.put("keyed.servers", "d1", site.endpoint(0).registration());
        site.configure(2,
                       R"(,{"name":"new","host":"site.example","path_prefix":"/new/","kind":"safe","service":"desk"})");
        REQUIRE(waitFor([&] { return site.ask(0, site.request("GET", "/new/", "n")).status == 200; }));
        CHECK(site.isLeft(0));
    }
    SECTION("also when its registration is removed and written again")
    {
        site.hearLeaving(0);
        site.store.put("keyed.servers", "d1", std::nullopt);
        site.addEndpoint("d3", kind::plain, "desk");
        REQUIRE(waitFor([&] {
            site.askOnce(0);
            return site.runsOf(2) > 0;
        }));
        site.store.put("keyed.servers", "d1", site.endpoint(0).registration());
        site.addEndpoint("d4", kind::plain, "desk");
        REQUIRE(waitFor([&] {
            site.askOnce(0);
            return site.runsOf(3) > 0;
        }));
        CHECK(site.isLeft(0));
    }
    SECTION("until it starts anew")
    {
        site.hearLeaving(0);
        CHECK(site.isLeft(0));
        site.endpoint(0).behaviour.isLeaving = false;
        ++site.endpoint(0).bornMs;
        site.store.put("keyed.servers", "d1", site.endpoint(0).registration());
        CHECK(site.isServedByBoth(0));
    }
    SECTION("and when no other one is left, requests are refused at once as not run")
    {
        site.hearLeaving(0);
        site.endpoint(1).behaviour.isLeaving = true;
        REQUIRE(site.askOnce(0) == 200);
        const auto answer = site.ask(0, site.request("POST", "/order/", "last"));
        CHECK(answer.status == 503);
        CHECK(answer.head.find("Retry-After") != nullptr);
        CHECK(site.endpoint(0).runs["last"] + site.endpoint(1).runs["last"] == 0);
    }
}

TEST_CASE("A leaving endpoint is known to the instances that have not heard it", "[site]")
{
    leaving_site site(3);
    // The instances know each other once they follow one reader.
    REQUIRE(waitFor([&] { return site.store.waitingReads() == 0; }));

    SECTION("from the one that has, whoever reads the registrations")
    {
        const std::size_t learner = GENERATE(0, 1, 2);
        site.hearLeaving(learner);
        site.endpoint(0).behaviour.isLeaving = false;
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            CHECK(waitFor([&] { return site.isLeft(daemon); }));
        }
    }
    SECTION("also one that starts later")
    {
        site.hearLeaving(0);
        site.endpoint(0).behaviour.isLeaving = false;
        REQUIRE(waitFor([&] { return site.isLeft(1) && site.isLeft(2); }));
        const std::size_t fresh = site.startDaemon();
        REQUIRE(site.waitReady(fresh));
        CHECK(waitFor([&] { return site.isLeft(fresh); }));
    }
}

TEST_CASE("A maker of stage results that says that it leaves gets no more pieces", "[site]")
{
    site_fixture site(1);
    site.addPipeline();
    const auto chat = [&](const std::string &id) { return site.chat(0, id).status; };
    site.endpoint(1).behaviour.isLeaving = true;
    REQUIRE(chat("r1") == 200);
    site.addEndpoint("s3", kind::stage, "encode");
    const std::size_t calls = site.endpoint(1).calls.size();
    REQUIRE(waitFor([&] { return chat("r2") == 200; }));
    CHECK(site.endpoint(1).calls.size() == calls);

    SECTION("and a model endpoint that says so at the head of its stream gets no more requests")
    {
        site.addEndpoint("m2", kind::model, "model");
        site.endpoint(0).behaviour.isLeaving = true;
        REQUIRE(waitFor([&] {
            chat("r3");
            return !site.endpoint(4).heads.empty();
        }));
        const std::size_t heard = site.endpoint(0).heads.size();
        CHECK(heard <= 4);
        for (int i = 0; i < 10; ++i) {
            CHECK(chat("r4") == 200);
        }
        CHECK(site.endpoint(0).heads.size() == heard);
    }
}
