#include "site-fixture.h"

#include <catch2/catch.hpp>

using namespace masticlever::site;
using kind = site_endpoint::kind;

TEST_CASE("A planned stop", "[site]")
{
    site_fixture site(1);
    site.addEndpoint("d1", kind::plain, "desk");
    REQUIRE(site.waitReady(0));
    REQUIRE(waitFor([&] { return site.sendRequest(0, site.request("GET", "/safe/", "r0")).status == 200; }));
    site.endpoint(0).behaviour.serviceTime = std::chrono::milliseconds(200);

    site_caller busy(site.frontAddressOf(0));
    busy.send(site.request("POST", "/order/", "r1", "x"));
    site_caller idle(site.frontAddressOf(0));
    idle.send(site.request("GET", "/safe/", "r2"));
    REQUIRE(waitFor([&] { return idle.completeAnswers == 1 && site.endpoint(0).runs["r1"] == 1; }));
    site.daemon(0).stop();

    SECTION("fails readiness immediately and finishes requests in flight")
    {
        CHECK(site.readyStatusOf(0) == 503);
        REQUIRE(waitFor([&] { return busy.completeAnswers == 1; }));
        CHECK(busy.heads[0].status == 200);
    }
    SECTION("still serves a request on a kept-alive connection, and closes it after the answer")
    {
        idle.send(site.request("GET", "/safe/", "r3"));
        REQUIRE(waitFor([&] { return idle.isClosed; }));
        REQUIRE(idle.completeAnswers == 2);
        CHECK(idle.heads[1].status == 200);
        CHECK_FALSE(idle.isTruncated);
    }
    SECTION("closes a busy connection after its answer, so that no later request is accepted on it")
    {
        REQUIRE(waitFor([&] { return busy.isClosed; }));
        CHECK(busy.completeAnswers == 1);
        CHECK_FALSE(busy.isTruncated);
    }
    SECTION("eventually closes idle connections")
    {
        REQUIRE(waitFor([&] { return idle.isClosed; }));
        CHECK_FALSE(idle.isTruncated);
    }
}
