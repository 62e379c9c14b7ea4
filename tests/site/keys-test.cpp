#include "site-fixture.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace masticlever::site;
using kind = site_endpoint::kind;

namespace
{

constexpr std::size_t daemons = 2;

class keys_site : public site_fixture
{
public:
    keys_site() : site_fixture(daemons)
    {
        addEndpoint("d1", kind::plain, "desk");
        for (std::size_t i = 0; i < daemons; ++i) {
            REQUIRE(waitReady(i));
            REQUIRE(waitFor([&] { return statusOf(i, "open", "") == 200; }));
        }
    }

    /// Sends a request with \p key, or without one if that is empty, and returns the status of the answer.
    int statusOf(std::size_t daemon, const std::string &route, const std::string &key)
    {
        return sendRequest(daemon, textOf(route, key)).status;
    }

    /// The same on a connection to the first daemon that is kept until it refuses a request.
    int keptStatusOf(const std::string &route, const std::string &key)
    {
        if (!m_kept || m_kept->isClosed) {
            m_kept = std::make_unique<site_caller>(frontAddressOf(0));
        }
        const std::size_t expected = m_kept->completeAnswers + 1;
        m_kept->send(textOf(route, key));
        REQUIRE(waitFor([&] { return m_kept->completeAnswers == expected || m_kept->isClosed; }));
        REQUIRE(m_kept->completeAnswers == expected);
        return m_kept->heads.back().status;
    }

    std::string textOf(const std::string &route, const std::string &key)
    {
        lastId = "k" + std::to_string(++m_count);
        return "GET /" + route + "/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + lastId
            + "\r\nDeadline-Ms: 4000\r\n" + (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") + "\r\n";
    }

    /// Writes a version with the field \p changed and the public route \p marker.
    void writeVersion(const std::string &changed, const std::string &marker)
    {
        teams = changed;
        configure(++m_version,
                  R"(,{"name":")" + marker + R"(","host":"site.example","path_prefix":"/)" + marker
                      + R"(/","kind":"safe","service":"desk","timeout_ms":4000,"public":true})");
    }

    /// Writes a version and waits until all daemons follow it.
    void change(const std::string &changed, const std::string &marker)
    {
        writeVersion(changed, marker);
        REQUIRE(waitFor([&] {
            CHECK(keptStatusOf("open", "") == 200);
            return statusOf(0, marker, "") == 200 && statusOf(1, marker, "") == 200;
        }));
        REQUIRE_FALSE(m_kept->isClosed);
    }

    bool hasRunFor(const std::string &team)
    {
        return !endpoint(0).heads.empty() && endpoint(0).heads.back().find("Tenant: " + team) != std::string::npos;
    }

    std::string lastId;

private:
    std::unique_ptr<site_caller> m_kept;
    int m_count = 0;
    std::uint64_t m_version = 1;
};

const std::string twoTeams
    = R"(,"tenants":[{"name":"team-1","api_keys":["key-1"]},{"name":"team-2","api_keys":["key-2"]}])";

} // namespace

// Guards against a version that takes the last team away and so opens all routes to everybody.
TEST_CASE("Teams are taken away and return while a daemon runs", "[site]")
{
    keys_site site;
    site.change(twoTeams, "two");
    const auto keptStatus = [&](const std::string &key) { return site.keptStatusOf("safe", key); };
    CHECK(keptStatus("key-1") == 200);
    CHECK(site.hasRunFor("team-1"));

    const auto checkNobodyGetsIn = [&] {
        for (std::size_t i = 0; i < daemons; ++i) {
            for (const std::string key : {"key-1", "key-2", "unknown", ""}) {
                CAPTURE(i, key);
                CHECK(site.statusOf(i, "safe", key) == 401);
                CHECK(site.endpoint(0).runs.count(site.lastId) == 0);
                CHECK(site.statusOf(i, "open", key) == 200);
            }
        }
    };

    SECTION("one of two teams: its key is refused, the other one is kept")
    {
        site.change(R"(,"tenants":[{"name":"team-1","api_keys":["key-1"]}])", "one");
        CHECK(keptStatus("key-1") == 200);
        CHECK(keptStatus("key-2") == 401);
        CHECK(keptStatus("unknown") == 401);
    }
    SECTION("all teams, or all their keys: nobody gets in, on kept connections neither")
    {
        const std::string none = GENERATE(R"(,"tenants":[])", R"(,"tenants":[{"name":"team-1","api_keys":[]}])");
        site.change(none, "none");
        CHECK(keptStatus("key-1") == 401);
        checkNobodyGetsIn();

        SECTION("a daemon that starts then refuses them as well")
        {
            const std::size_t late = site.startDaemon();
            REQUIRE(site.waitReady(late));
            REQUIRE(waitFor([&] { return site.statusOf(late, "open", "") == 200; }));
            CHECK(site.statusOf(late, "safe", "key-1") == 401);
            CHECK(site.statusOf(late, "safe", "unknown") == 401);
        }
        SECTION("and with the teams their requests are served again")
        {
            site.change(twoTeams, "back");
            CHECK(keptStatus("key-1") == 200);
            CHECK(keptStatus("unknown") == 401);
            for (std::size_t i = 0; i < daemons; ++i) {
                CHECK(site.statusOf(i, "safe", "key-2") == 200);
                CHECK(site.statusOf(i, "safe", "unknown") == 401);
            }
        }
    }
    SECTION("a version whose teams are not a list is not followed")
    {
        site.writeVersion(R"(,"tenants":{})", "odd");
        for (int i = 0; i < 20; ++i) {
            CHECK(site.statusOf(0, "safe", "unknown") == 401);
            CHECK(site.statusOf(0, "safe", "key-1") == 200);
        }
        CHECK(site.statusOf(0, "odd", "") == 404);
        site.change(twoTeams, "next");
        CHECK(site.statusOf(0, "safe", "unknown") == 401);
        CHECK(site.statusOf(0, "safe", "key-2") == 200);
    }
}
