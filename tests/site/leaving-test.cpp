#include "site-fixture.h"

#include <catch2/catch.hpp>

using namespace masticlever::site;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;
using state = site_store::state;

namespace
{

/// Two plain endpoints that both receive requests.
class leaving_site : public site_fixture
{
public:
    explicit leaving_site(std::size_t daemons) : site_fixture(daemons)
    {
        addEndpoint("d1", kind::plain, "desk");
        addEndpoint("d2", kind::plain, "desk");
        for (std::size_t i = 0; i < daemons; ++i) {
            REQUIRE(waitReady(i));
            REQUIRE(areBothUsed(i));
        }
    }

    bool areBothUsed(std::size_t daemon)
    {
        const std::size_t first = runsOf(0);
        const std::size_t second = runsOf(1);
        return waitFor([&] {
            sendOne(daemon);
            return runsOf(0) > first && runsOf(1) > second;
        });
    }

    std::size_t runsOf(std::size_t index) { return endpoint(index).heads.size(); }

    int sendOne(std::size_t daemon)
    {
        return sendRequest(daemon, request("GET", "/safe/", "r" + std::to_string(++m_sentCount))).status;
    }

    /// Sends requests until the first endpoint has announced that it is leaving.
    void receiveLeaving(std::size_t daemon)
    {
        endpoint(0).behaviour.isLeaving = true;
        const std::size_t before = runsOf(0);
        REQUIRE(waitFor([&] {
            sendOne(daemon);
            return runsOf(0) > before;
        }));
    }

    /// Whether \p count requests are all served without the first endpoint.
    bool isAvoided(std::size_t daemon, std::size_t count = 30)
    {
        const std::size_t before = runsOf(0);
        for (std::size_t i = 0; i < count; ++i) {
            if (sendOne(daemon) != 200) {
                return false;
            }
        }
        return runsOf(0) == before;
    }

private:
    std::size_t m_sentCount = 0;
};

} // namespace

TEST_CASE("An endpoint that announces that it is leaving gets no new requests", "[site]")
{
    leaving_site site(1);

    SECTION("after a complete answer")
    {
        site.receiveLeaving(0);
        CHECK(site.isAvoided(0));
    }
    SECTION("after a rejection")
    {
        site.endpoint(0).behaviour.kind = fault::reject;
        site.endpoint(0).behaviour.isLeaving = true;
        REQUIRE(waitFor([&] {
            site.sendOne(0);
            return site.endpoint(0).rejections > 0;
        }));
        const std::size_t rejections = site.endpoint(0).rejections;
        CHECK(site.isAvoided(0));
        CHECK(site.endpoint(0).rejections == rejections);
    }
    SECTION("after an answer that belongs to another request")
    {
        site.endpoint(0).behaviour.kind = fault::stale_answer;
        site.receiveLeaving(0);
        CHECK(site.isAvoided(0));
    }
    SECTION("while the store is unavailable, and after it recovers with the same registrations")
    {
        site.store.setState(GENERATE(state::silent, state::busy));
        site.receiveLeaving(0);
        CHECK(site.isAvoided(0));
        site.store.setState(state::up);
        site.store.put("keyed.servers", "d1", site.endpoint(0).registration());
        site.configure(2,
                       R"(,{"name":"new","host":"site.example","path_prefix":"/new/","kind":"safe","service":"desk"})");
        REQUIRE(waitFor([&] { return site.sendRequest(0, site.request("GET", "/new/", "n")).status == 200; }));
        CHECK(site.isAvoided(0));
    }
    SECTION("even if its registration is removed and written again")
    {
        site.receiveLeaving(0);
        site.store.put("keyed.servers", "d1", std::nullopt);
        site.addEndpoint("d3", kind::plain, "desk");
        REQUIRE(waitFor([&] {
            site.sendOne(0);
            return site.runsOf(2) > 0;
        }));
        site.store.put("keyed.servers", "d1", site.endpoint(0).registration());
        site.addEndpoint("d4", kind::plain, "desk");
        REQUIRE(waitFor([&] {
            site.sendOne(0);
            return site.runsOf(3) > 0;
        }));
        CHECK(site.isAvoided(0));
    }
    SECTION("until it restarts")
    {
        site.receiveLeaving(0);
        CHECK(site.isAvoided(0));
        site.endpoint(0).behaviour.isLeaving = false;
        ++site.endpoint(0).startedAtMs;
        site.store.put("keyed.servers", "d1", site.endpoint(0).registration());
        CHECK(site.areBothUsed(0));
    }
    SECTION("and if no other endpoint remains, requests are refused immediately as not run")
    {
        site.receiveLeaving(0);
        site.endpoint(1).behaviour.isLeaving = true;
        REQUIRE(site.sendOne(0) == 200);
        const auto answer = site.sendRequest(0, site.request("POST", "/order/", "last"));
        CHECK(answer.status == 503);
        CHECK(answer.head.find("Retry-After") != nullptr);
        CHECK(site.endpoint(0).runs["last"] + site.endpoint(1).runs["last"] == 0);
    }
}

TEST_CASE("All instances learn that an endpoint is leaving", "[site]")
{
    leaving_site site(3);
    // The instances have discovered each other once they follow a single reader.
    REQUIRE(waitFor([&] { return site.store.pendingReads() == 0; }));

    SECTION("from the instance it told, whichever instance reads the registrations")
    {
        const std::size_t notified = GENERATE(0, 1, 2);
        site.receiveLeaving(notified);
        site.endpoint(0).behaviour.isLeaving = false;
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            CHECK(waitFor([&] { return site.isAvoided(daemon); }));
        }
    }
    SECTION("even if they start later")
    {
        site.receiveLeaving(0);
        site.endpoint(0).behaviour.isLeaving = false;
        REQUIRE(waitFor([&] { return site.isAvoided(1) && site.isAvoided(2); }));
        const std::size_t newInstance = site.startDaemon();
        REQUIRE(site.waitReady(newInstance));
        CHECK(waitFor([&] { return site.isAvoided(newInstance); }));
    }
}

TEST_CASE("A stage endpoint that announces that it is leaving gets no more pieces", "[site]")
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

    SECTION("and a model endpoint that announces it in the head of its stream gets no more requests")
    {
        site.addEndpoint("m2", kind::model, "model");
        site.endpoint(0).behaviour.isLeaving = true;
        REQUIRE(waitFor([&] {
            chat("r3");
            return !site.endpoint(4).heads.empty();
        }));
        const std::size_t received = site.endpoint(0).heads.size();
        CHECK(received <= 4);
        for (int i = 0; i < 10; ++i) {
            CHECK(chat("r4") == 200);
        }
        CHECK(site.endpoint(0).heads.size() == received);
    }
}
