#include "site-fixture.h"

#include <QTimer>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

using namespace masticlever::site;
using namespace std::chrono_literals;
using kind = site_endpoint::kind;
using state = site_store::state;

namespace
{

/// Two data centres, "west" and "east", with an endpoint of each service.
class evacuated_site : public site_fixture
{
public:
    explicit evacuated_site(std::size_t daemons) : site_fixture(0), m_daemons(daemons)
    {
        evacuationLimit = 5s;
        for (std::size_t i = 0; i < daemons; ++i) {
            startDaemon();
        }
        addPipeline();
        addEndpoint("d1", kind::plain, "desk");
        addEndpoint("m2", kind::model, "model", "east");
        addEndpoint("s3", kind::stage, "encode", "east");
        addEndpoint("s4", kind::stage, "rank", "east");
        addEndpoint("d2", kind::plain, "desk", "east");
        for (std::size_t i = 0; i < daemons; ++i) {
            REQUIRE(waitReady(i));
        }
        REQUIRE(waitFor([&] { return serveRound() && isUsed("west"); }));
    }

    void evacuate() { store.put("keyed.op", "evacuate/west", "{}"); }
    void endEvacuation() { store.put("keyed.op", "evacuate/west", std::nullopt); }

    std::size_t addDaemon()
    {
        m_daemons = startDaemon() + 1;
        return m_daemons - 1;
    }

    void loseDaemon(std::size_t index)
    {
        killDaemon(index);
        m_firstDaemon = std::max(m_firstDaemon, index + 1);
    }

    /// Sends a request and one with pieces to each daemon. \returns whether all were served.
    bool serveRound()
    {
        bool isServed = true;
        for (std::size_t i = m_firstDaemon; i < m_daemons; ++i) {
            const std::string id = "r" + std::to_string(++m_sent);
            isServed = sendRequest(i, request("GET", "/safe/", id)).status == 200 && isServed;
            isServed = chat(i, id + "-c").status == 200 && isServed;
        }
        return isServed;
    }

    bool isUsed(const std::string &dataCentre)
    {
        const std::size_t before = workAt(dataCentre);
        serveRound();
        return workAt(dataCentre) > before;
    }

    /// Waits until the evacuation must be in force everywhere, then sends requests. \returns whether all were served
    /// and the evacuated data centre got neither a request nor a piece.
    bool isServedWithoutWest(std::chrono::milliseconds delay = 1500ms)
    {
        wait(delay);
        const std::size_t before = workAt("west");
        bool isServed = true;
        for (int round = 0; round < 6; ++round) {
            isServed = serveRound() && isServed;
        }
        return isServed && workAt("west") == before;
    }

    static void wait(std::chrono::milliseconds time)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        waitFor([&] { return std::chrono::steady_clock::now() >= until; });
    }

private:
    std::size_t workAt(const std::string &dataCentre)
    {
        std::size_t work = 0;
        for (std::size_t i = 0; i < endpointCount(); ++i) {
            const bool isThere = endpoint(i).registration().find("\"" + dataCentre + "\"") != std::string::npos;
            work += isThere ? endpoint(i).heads.size() + endpoint(i).calls.size() : 0;
        }
        return work;
    }

    std::size_t m_firstDaemon = 0;
    std::size_t m_daemons;
    std::size_t m_sent = 0;
};

} // namespace

TEST_CASE("An evacuated data centre gets no requests and no pieces until its record is removed", "[site][evacuation]")
{
    evacuated_site site(2);
    SECTION("with the store available")
    {
        site.evacuate();
        CHECK(site.isServedWithoutWest());
        site.endEvacuation();
        CHECK(waitFor([&] { return site.isUsed("west"); }));
    }
    SECTION("and requests that are in flight there finish")
    {
        site.endpoint(3).behaviour.serviceTime = 1s; // d1
        QTimer::singleShot(300, [&] { site.evacuate(); });
        CHECK(site.sendRequest(0, site.request("POST", "/order/", "in-flight")).status == 200);
        CHECK(site.endpoint(3).runs.contains("in-flight"));
        CHECK(site.isServedWithoutWest());
    }
    SECTION("also if the removal is read from a compacted history after an outage")
    {
        site.evacuate();
        CHECK(site.isServedWithoutWest());
        site.store.setState(state::resetting);
        site.endEvacuation();
        site.store.compact("keyed.op");
        CHECK(site.isServedWithoutWest(0ms));
        site.store.setState(state::up);
        CHECK(waitFor([&] { return site.isUsed("west"); }));
    }
}

TEST_CASE("An evacuation outlasts the reader and a restart during an outage of the store", "[site][evacuation]")
{
    evacuated_site site(3);
    site.evacuate();
    REQUIRE(site.isServedWithoutWest());
    site.store.setState(state::resetting);
    site.loseDaemon(0);
    site.addDaemon();
    site.loseDaemon(1);
    evacuated_site::wait(1500ms);
    site.store.setState(state::up);
    REQUIRE(waitFor([&] { return site.serveRound(); }));
    CHECK(site.isServedWithoutWest(0ms));
}

TEST_CASE("An evacuation that a restored store has lost stays in force until it is removed", "[site][evacuation]")
{
    evacuated_site site(2);
    site.store.saveCopy();
    site.evacuate();
    REQUIRE(site.isServedWithoutWest());
    site.store.restore();
    CHECK(site.isServedWithoutWest());
    SECTION("at an instance that was started afterwards too")
    {
        REQUIRE(site.waitReady(site.addDaemon()));
        CHECK(site.isServedWithoutWest());
        site.loseDaemon(0);
        site.loseDaemon(1);
        CHECK(site.isServedWithoutWest());
    }
    SECTION("which a record of the new store says")
    {
        site.endEvacuation();
        CHECK(waitFor([&] { return site.isUsed("west"); }));
    }
}
