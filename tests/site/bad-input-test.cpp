#include "site-fixture.h"

#include <catch2/catch.hpp>

using namespace masticlever::site;
using kind = site_endpoint::kind;

TEST_CASE("Invalid requests get the right status and reach no endpoint", "[site]")
{
    site_fixture site(1);
    site.addEndpoint("d1", kind::plain, "desk");
    REQUIRE(site.waitReady(0));
    const std::string head = "POST /order/ HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer key-1\r\n";

    SECTION("an oversized head")
    {
        CHECK(site.sendRequest(0, head + "X: " + std::string(5000, 'x') + "\r\n\r\n").status == 431);
    }
    SECTION("an oversized body")
    {
        CHECK(site.sendRequest(0, head + "Content-Length: 70000\r\n\r\n").status == 413);
    }
    SECTION("an oversized body in chunks")
    {
        const std::string chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
        CHECK(site.sendRequest(0, head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + chunk).status == 413);
    }
    SECTION("two Content-Length fields")
    {
        CHECK(site.sendRequest(0, head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx").status == 400);
    }
    SECTION("request smuggling with an ambiguous length")
    {
        const std::string inner = "GET /safe/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: in\r\n\r\n";
        CHECK(site.sendRequest(0, head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner)
                  .status
              == 400);
    }
    SECTION("a space before the colon of a header field")
    {
        CHECK(site.sendRequest(0, "GET / HTTP/1.1\r\nHost : x\r\n\r\n").status == 400);
    }
    SECTION("garbage")
    {
        CHECK(site.sendRequest(0, "\x16\x03\x01 no request\r\n\r\n").status == 400);
    }
    SECTION("an invalid Deadline-Ms")
    {
        CHECK(site.sendRequest(0, head + "Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n").status == 400);
    }
    SECTION("a head that is never completed")
    {
        CHECK(site.sendRequest(0, "GET / HTTP/1.1\r\nHost:").status == 408);
    }
    SECTION("a body that is never completed")
    {
        CHECK(site.sendRequest(0, head + "Content-Length: 5\r\n\r\nab").status == 408);
    }
    CHECK(site.endpoint(0).runs.empty());
    CHECK(site.endpoint(0).protocolViolations == 0);
}
