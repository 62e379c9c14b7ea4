#include "site-fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace masticlever::site;
using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;
using kind = site_endpoint::kind;

namespace
{

constexpr auto settlingWindow = 3s; ///< after the fifth crash, by the platform's rules
constexpr std::size_t crashesToLearn = 5;
constexpr std::size_t arrivalsAllowed = 3; ///< after the settling window
constexpr auto downTime = 1s; ///< of a crashed endpoint
constexpr auto sendInterval = 20ms;

/// Daemons and model endpoints that crash on the part "crashing", with callers of sound and of crashing requests.
class crashing_site : public site_fixture
{
public:
    explicit crashing_site(std::size_t daemons, std::size_t endpoints = 6) : site_fixture(daemons), m_daemons(daemons)
    {
        for (std::size_t i = 0; i < endpoints; ++i) {
            addEndpoint("m" + std::to_string(i + 1), kind::model, "model");
            endpoint(i).behaviour.crashingParts = {"crashing"};
            endpoint(i).behaviour.serviceTime = 100ms;
        }
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            REQUIRE(waitReady(daemon));
        }
        REQUIRE(waitFor([&] { return store.pendingReads() == 0; }));
        REQUIRE(waitFor([&] { return sendRequest(0, sound()).status == 200; }));
    }

    std::string sound() { return chatWith("system:10,document" + std::to_string(m_sent % 5) + ":5"); }
    std::string crashing() { return chatWith("system:10,crashing:5"); }

    /// Sends to the daemons in turn, each tenth request with the crashing part, and restarts crashed endpoints.
    void play(clock_type::duration length) { playWith(length, 10); }
    void playSound(clock_type::duration length) { playWith(length, 0); }

    /// \p interval is the number of requests for each crashing one; 0: none.
    void playWith(clock_type::duration length, std::size_t interval)
    {
        const auto end = clock_type::now() + length;
        auto next = clock_type::now();
        waitFor([&] {
            const auto now = clock_type::now();
            if (now >= next) {
                next = now + sendInterval;
                ++m_turn;
                const bool isCrashing = interval > 0 && m_turn % interval == 0;
                auto &callers = isCrashing ? m_crashingCallers : m_soundCallers;
                callers.push_back(std::make_unique<site_caller>(frontAddressOf(m_turn % m_daemons)));
                callers.back()->send(isCrashing ? crashing() : sound());
            }
            restartCrashed();
            return now >= end;
        });
    }

    void restartCrashed()
    {
        for (std::size_t i = 0; i < endpointCount(); ++i) {
            if (endpoint(i).isCrashed && clock_type::now() - endpoint(i).crashes.back() >= downTime) {
                restartEndpoint(i);
            }
        }
    }

    std::vector<clock_type::time_point> crashes()
    {
        std::vector<clock_type::time_point> all;
        for (std::size_t i = 0; i < endpointCount(); ++i) {
            all.insert(all.end(), endpoint(i).crashes.begin(), endpoint(i).crashes.end());
        }
        std::ranges::sort(all);
        return all;
    }

    /// Number of requests with the crashing part that arrived at endpoints later than \p time.
    std::size_t crashingArrivalsAfter(clock_type::time_point time)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < endpointCount(); ++i) {
            count += static_cast<std::size_t>(
                std::ranges::count_if(endpoint(i).crashingArrivals, [&](const auto &at) { return at > time; }));
        }
        return count;
    }

    std::size_t soundSent() const { return m_soundCallers.size(); }
    /// Number of sound requests, from the one with this index on, that were answered in full.
    std::size_t soundAnsweredFrom(std::size_t first)
    {
        waitFor([&] { return std::ranges::all_of(m_soundCallers, isDone); });
        return static_cast<std::size_t>(std::ranges::count_if(
            m_soundCallers.begin() + static_cast<std::ptrdiff_t>(first), m_soundCallers.end(),
            [](const auto &caller) { return caller->completeAnswers == 1 && caller->heads[0].status == 200; }));
    }

    bool withholds(std::size_t daemon, double parts)
    {
        return metricOf(daemon, "masticlever_frontend_withheld_parts") == parts;
    }

private:
    static bool isDone(const std::unique_ptr<site_caller> &caller)
    {
        return caller->completeAnswers > 0 || caller->isClosed;
    }

    std::string chatWith(const std::string &shared)
    {
        const std::string id = std::to_string(++m_sent);
        return request("POST", "/chat/", "r" + id, "prompt",
                       "Model: m\r\nPrompt-Prefix: " + shared + ",own" + id + ":1\r\n");
    }

    std::size_t m_daemons;
    std::size_t m_sent = 0;
    std::size_t m_turn = 0;
    std::vector<std::unique_ptr<site_caller>> m_soundCallers;
    std::vector<std::unique_ptr<site_caller>> m_crashingCallers;
};

} // namespace

TEST_CASE("A prompt part that crashes endpoints is withheld from them by all instances after five crashes",
          "[crashing-part]")
{
    crashing_site site(4);
    site.play(6s);
    REQUIRE(site.crashes().size() >= 3);
    const std::size_t sentBefore = site.soundSent();
    site.play(6s);
    const auto crashes = site.crashes();
    if (crashes.size() >= crashesToLearn) {
        CHECK(site.crashingArrivalsAfter(crashes[crashesToLearn - 1] + settlingWindow) <= arrivalsAllowed);
    }
    // Sound requests with the same first part are served meanwhile.
    CHECK(site.soundAnsweredFrom(sentBefore) >= (site.soundSent() - sentBefore) * 9 / 10);
}

TEST_CASE("An instance that starts later withholds what crashed endpoints before", "[crashing-part]")
{
    crashing_site site(3);
    site.play(4s);
    REQUIRE(waitFor([&] { return site.withholds(0, 1); }));
    const std::size_t newInstance = site.startDaemon();
    REQUIRE(site.waitReady(newInstance));
    REQUIRE(waitFor([&] { return site.withholds(newInstance, 1); }));
    const auto before = clock_type::now();
    const auto answer = site.sendRequest(newInstance, site.crashing());
    CHECK(answer.status == 503);
    CHECK(answer.head.find("Retry-After") != nullptr);
    CHECK(site.crashingArrivalsAfter(before) == 0);
    CHECK(site.sendRequest(newInstance, site.sound()).status == 200);
}

TEST_CASE("Endpoints that end together again and again withhold nothing", "[crashing-part]")
{
    crashing_site site(3);
    for (int round = 0; round < 4; ++round) {
        for (std::size_t i = 0; i + 2 < site.endpointCount(); ++i) {
            site.endpoint(i).crash();
        }
        site.playSound(1500ms);
    }
    CHECK(site.crashes().size() >= 12);
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        CHECK(site.metricOf(daemon, "masticlever_frontend_withheld_requests_total") == std::nullopt);
        CHECK(site.withholds(daemon, 0));
    }
}
