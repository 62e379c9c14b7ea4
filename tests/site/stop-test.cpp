#include "site-fixture.h"

#include <catch2/catch.hpp>

using namespace masticlever::site;
using kind = site_endpoint::kind;

TEST_CASE("A planned stop", "[site]")
{
    site_fixture site(1);
    site.addEndpoint("d1", kind::plain, "desk");
    REQUIRE(site.waitReady(0));
    REQUIRE(waitFor([&] { return site.ask(0, site.request("GET", "/safe/", "r0")).status == 200; }));
    site.endpoint(0).behaviour.work = std::chrono::milliseconds(200);

    site_caller busy(site.frontOf(0));
    busy.send(site.request("POST", "/order/", "r1", "x"));
    site_caller idle(site.frontOf(0));
    idle.send(site.request("GET", "/safe/", "r2"));
    REQUIRE(waitFor([&] { return idle.whole == 1 && site.endpoint(0).runs["r1"] == 1; }));
    site.daemon(0).stop();

    SECTION("tells the balancer at once and finishes what is under way")
    {
        CHECK(site.readinessOf(0) == 503);
        REQUIRE(waitFor([&] { return busy.whole == 1; }));
        CHECK(busy.heads[0].status == 200);
    }
    SECTION("still serves what a kept connection sends, and closes it after the answer")
    {
        idle.send(site.request("GET", "/safe/", "r3"));
        REQUIRE(waitFor([&] { return idle.isClosed; }));
        REQUIRE(idle.whole == 2);
        CHECK(idle.heads[1].status == 200);
        CHECK_FALSE(idle.isCut);
    }
    SECTION("closes a connection whose answer had begun before, so that no later request is taken on it")
    {
        REQUIRE(waitFor([&] { return busy.isClosed; }));
        CHECK(busy.whole == 1);
        CHECK_FALSE(busy.isCut);
    }
    SECTION("closes idle connections in the end")
    {
        REQUIRE(waitFor([&] { return idle.isClosed; }));
        CHECK_FALSE(idle.isCut);
    }
}
