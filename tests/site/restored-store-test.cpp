#include "site-fixture.h"

#include <QElapsedTimer>

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <string>

using namespace masticlever::site;
using kind = site_endpoint::kind;
using state = site_store::state;

namespace
{

std::string routeNamed(const std::string &name)
{
    return R"(,{"name":")" + name + R"(","host":"site.example","path_prefix":"/)" + name
        + R"(/","kind":"safe","service":"desk","max_attempts":2})";
}

class restored_site : public site_fixture
{
public:
    explicit restored_site(std::size_t daemons) : site_fixture(daemons)
    {
        addEndpoint("d1", kind::plain, "desk");
        for (std::size_t i = 0; i < daemons; ++i) {
            REQUIRE(waitReady(i));
            REQUIRE(waitFor([&] { return statusOf(i, "/safe/") == 200; }));
        }
    }

    int statusOf(std::size_t daemon, const std::string &path)
    {
        return sendRequest(daemon, request("GET", path, "r" + std::to_string(++m_sentCount))).status;
    }

    /// Writes the registration of an endpoint again, as it does at intervals.
    void renew(std::size_t index) { store.put("keyed.servers", endpoint(index).id(), endpoint(index).registration()); }

    std::size_t runsOf(std::size_t index) { return endpoint(index).heads.size(); }

    bool isUsed(std::size_t index, std::size_t daemon = 0)
    {
        const std::size_t before = runsOf(index);
        return waitFor([&] {
            statusOf(daemon, "/safe/");
            return runsOf(index) > before;
        });
    }

    /// Sends requests for \p time. \returns whether all were served and endpoint \p avoided ran none of them.
    bool isServedWithout(std::size_t avoided, std::chrono::milliseconds time)
    {
        const std::size_t before = runsOf(avoided);
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            if (statusOf(0, "/safe/") != 200) {
                return false;
            }
        }
        return runsOf(avoided) == before;
    }

    std::size_t daemonsServing(const std::string &path, std::size_t daemons)
    {
        std::size_t serving = 0;
        for (std::size_t i = 0; i < daemons; ++i) {
            serving += statusOf(i, path) == 200 ? 1 : 0;
        }
        return serving;
    }

private:
    std::size_t m_sentCount = 0;
};

} // namespace

TEST_CASE("A configuration that is written again below the read position comes into force", "[site][restored-store]")
{
    const std::size_t daemons = GENERATE(1, 3);
    restored_site site(daemons);
    site.store.saveCopy();
    site.configure(2, routeNamed("second"));
    REQUIRE(waitFor([&] { return site.daemonsServing("/second/", daemons) == daemons; }));

    const state outage = GENERATE(state::up, state::resetting);
    site.store.setState(outage);
    site.store.restore();
    site.configure(3, routeNamed("third")); // takes the offset of version 2
    site.store.setState(state::up);
    CHECK(waitFor([&] { return site.daemonsServing("/third/", daemons) == daemons; }));
}

TEST_CASE("A drain that is written again below the read position is followed", "[site][restored-store]")
{
    restored_site site(1);
    site.addEndpoint("d2", kind::plain, "desk");
    REQUIRE(site.isUsed(1));
    site.store.saveCopy();
    for (int i = 0; i < 4; ++i) {
        site.renew(0);
    }
    const std::size_t calls = site.store.calls();
    REQUIRE(waitFor([&] { return site.store.calls() >= calls + 3; })); // the renewals have been read

    site.store.restore();
    site.store.put("keyed.servers", "d2", site.endpoint(1).registration("draining"));
    for (int i = 0; i < 8; ++i) {
        site.renew(0);
    }
    QElapsedTimer timer;
    timer.start();
    REQUIRE(waitFor([&] { return timer.elapsed() > 2000; })); // a leaving endpoint gets new work no longer than this
    CHECK(site.isServedWithout(1, std::chrono::milliseconds(500)));
}

TEST_CASE("Endpoints that a restored store does not list yet stay in use", "[site][restored-store]")
{
    restored_site site(1);
    site.store.saveCopy();
    site.addEndpoint("d2", kind::plain, "desk");
    REQUIRE(site.isUsed(1));
    site.store.put("keyed.servers", "d1", std::nullopt);
    site.endpoint(0).crash();
    REQUIRE(waitFor([&] { return site.isServedWithout(0, std::chrono::milliseconds(1200)); }));

    site.store.restore();
    CHECK(site.isServedWithout(0, std::chrono::milliseconds(1500)));
    site.renew(1);
    CHECK(site.isServedWithout(0, std::chrono::milliseconds(2500)));
}

TEST_CASE("An endpoint that left gets no work when a restored store lists it again", "[site][restored-store]")
{
    restored_site site(1);
    site.addEndpoint("d2", kind::plain, "desk");
    REQUIRE(site.isUsed(1));
    site.store.saveCopy();
    site.store.put("keyed.servers", "d2", std::nullopt);
    REQUIRE(waitFor([&] { return site.isServedWithout(1, std::chrono::milliseconds(1200)); }));

    site.store.restore();
    CHECK(site.isServedWithout(1, std::chrono::milliseconds(2500)));
}

TEST_CASE("Instances publish their addresses again after the store was restored", "[site][restored-store]")
{
    restored_site site(2);
    REQUIRE(waitFor([&] { return site.store.newest("keyed.instances", "front-1").has_value(); }));
    REQUIRE(waitFor([&] { return site.store.newest("keyed.instances", "front-2").has_value(); }));
    site.store.restore(); // from a copy of an empty store
    site.configure(1);
    site.renew(0);
    CHECK(waitFor([&] { return site.store.newest("keyed.instances", "front-1").has_value(); }));
    CHECK(waitFor([&] { return site.store.newest("keyed.instances", "front-2").has_value(); }));
}

TEST_CASE("A new instance is not ready with an older configuration than its peers", "[site][restored-store]")
{
    restored_site site(2);
    site.store.saveCopy();
    site.configure(2, routeNamed("second"));
    REQUIRE(waitFor([&] { return site.daemonsServing("/second/", 2) == 2; }));
    site.store.restore();
    const std::size_t newInstance = site.startDaemon();
    REQUIRE(site.waitReady(newInstance));
    CHECK(site.statusOf(newInstance, "/second/") == 200);
}
