#include "site-fixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace masticlever::site;
using kind = site_endpoint::kind;

namespace
{

std::string entry(const std::string &address, const std::string &more)
{
    return R"({"service":"desk","addr":")" + address + R"(","zone":"west","version":"v1","state":"ready",)" + more
        + "}";
}

const std::string soundFields = R"("slots":8,"cold_left_ms":0,"seq":1)";

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE("An odd entry among the endpoints names no endpoint, and the others are followed", "[site][odd-input]")
{
    site_fixture site(2);
    site.addEndpoint("d1", kind::plain, "desk");
    for (std::size_t i = 0; i < 2; ++i) {
        REQUIRE(site.waitReady(i));
        REQUIRE(waitFor([&] { return site.sendRequest(i, site.request("GET", "/safe/", "probe")).status == 200; }));
    }
    const std::string odd = GENERATE_COPY(
        entry("127.0.0.1:65536", soundFields), entry("127.0.0.1:0", soundFields), entry("127.0.0.1:-1", soundFields),
        entry("127.0.0.1:4294967297", soundFields), entry("127.0.0.1", soundFields), entry(":80", soundFields),
        entry("300.0.0.1:80", soundFields), entry("127.0.0.1:1", R"("slots":1e300,"cold_left_ms":0,"seq":1)"),
        entry("127.0.0.1:1", R"("slots":8,"cold_left_ms":1e300,"seq":1)"),
        entry("127.0.0.1:1", R"("slots":8,"cold_left_ms":1e999,"seq":1)"),
        entry("127.0.0.1:1", R"("slots":8,"cold_left_ms":0,"seq":18446744073709551616)"),
        entry("127.0.0.1:1", R"("slots":8,"cold_left_ms":)" + nested(200) + R"(,"seq":1)"),
        entry("127.0.0.1:1", R"("slots":8,"cold_left_ms":0,"seq":1,"x":)" + nested(100000)), nested(1000000),
        std::string(300000, '{'), std::string(1, '\0'), std::string(R"("text")"));
    CAPTURE(odd.substr(0, 160));
    site.store.put("keyed.servers", "odd", odd);
    site.addEndpoint("d2", kind::plain, "desk");
    for (std::size_t i = 0; i < 2; ++i) {
        REQUIRE(waitFor([&] {
            const std::size_t before = site.endpoint(1).heads.size();
            CHECK(site.sendRequest(i, site.request("POST", "/order/", "r")).status == 200);
            return site.endpoint(1).heads.size() > before;
        }));
    }
    const std::size_t late = site.startDaemon(); // reads the entry in a listing
    REQUIRE(site.waitReady(late));
    for (int i = 0; i < 20; ++i) {
        CHECK(site.sendRequest(late, site.request("POST", "/order/", "l" + std::to_string(i))).status == 200);
    }
}
