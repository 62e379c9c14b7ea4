#include "site-fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace masticlever::site;
using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;
using fault = endpoint_behaviour::fault;
using kind = site_endpoint::kind;

namespace
{

constexpr auto window = 4s;

/// Number of requests that an endpoint with this limit may get in any window, by the platform's rules.
std::size_t allowedAt(double rate)
{
    return static_cast<std::size_t>(1.5 * rate * 4 + 5);
}

/// Largest number of arrivals from \p begin on that fall into one window.
std::size_t largestWindow(const std::vector<clock_type::time_point> &arrivals, clock_type::time_point begin)
{
    std::size_t largest = 0;
    for (auto first = std::ranges::lower_bound(arrivals, begin); first != arrivals.end(); ++first) {
        const auto last = std::ranges::upper_bound(first, arrivals.end(), *first + window);
        largest = std::max(largest, static_cast<std::size_t>(last - first));
    }
    return largest;
}

/// Whether the daemon knows that many endpoints with a rate limit.
bool knowsLimits(site_fixture &site, std::size_t daemon, double count)
{
    return site.metricOf(daemon, "masticlever_frontend_limited_endpoints") == count;
}

/// Calls \p send every 20 ms until \p condition holds; returns false after ten seconds.
bool sendUntil(const std::function<void()> &send, const std::function<bool()> &condition)
{
    auto next = clock_type::now();
    return waitFor([&] {
        if (clock_type::now() >= next) {
            send();
            next = clock_type::now() + 20ms;
        }
        return condition();
    });
}

class limited_site : public site_fixture
{
public:
    explicit limited_site(std::size_t daemons) : site_fixture(daemons), m_daemons(daemons)
    {
        // The instances have discovered each other once they follow a single reader.
        REQUIRE(waitFor([&] { return store.pendingReads() == 0; }));
    }

    int sendOne(std::size_t daemon)
    {
        return sendRequest(daemon, request("GET", "/safe/", "r" + std::to_string(++m_sentCount))).status;
    }

    /// Sends requests to all daemons in turn, a few tens a second; returns how many succeeded.
    std::size_t sendFor(clock_type::duration length, const std::function<int(std::size_t)> &send)
    {
        std::size_t succeeded = 0;
        const auto end = clock_type::now() + length;
        for (std::size_t i = 0; clock_type::now() < end; ++i) {
            succeeded += send(i % m_daemons) == 200 ? 1 : 0;
            const auto next = clock_type::now() + 20ms;
            waitFor([&] { return clock_type::now() >= next; });
        }
        return succeeded;
    }

    std::size_t sendFor(clock_type::duration length)
    {
        return sendFor(length, [this](std::size_t daemon) { return sendOne(daemon); });
    }

    void setDaemons(std::size_t daemons) { m_daemons = daemons; }

    /// Sets the limit of an endpoint, sends to it with \p send, and waits until all daemons know the limit.
    void beginLimit(std::size_t index, const std::string &rate, const std::function<void()> &send)
    {
        endpoint(index).behaviour.limit = rate;
        REQUIRE(sendUntil(send, [&] { return knowsLimits(*this, 0, 1); }));
        for (std::size_t daemon = 1; daemon < m_daemons; ++daemon) {
            REQUIRE(waitFor([&] { return knowsLimits(*this, daemon, 1); }));
        }
        m_limitKnownAt = clock_type::now();
    }

    std::size_t largestWindowOf(std::size_t index) { return largestWindow(endpoint(index).arrivals, m_limitKnownAt); }

private:
    std::size_t m_daemons;
    std::size_t m_sentCount = 0;
    clock_type::time_point m_limitKnownAt;
};

/// Four daemons and two plain endpoints, of which the first has a limit of 1 request per second.
class limited_desk : public limited_site
{
public:
    limited_desk() : limited_site(4)
    {
        addEndpoint("d1", kind::plain, "desk");
        addEndpoint("d2", kind::plain, "desk");
        for (std::size_t daemon = 0; daemon < 4; ++daemon) {
            REQUIRE(waitReady(daemon));
            REQUIRE(waitFor([&] { return sendOne(daemon) == 200; }));
        }
        beginLimit(0, "1", [this] { sendOne(0); });
    }
};

} // namespace

TEST_CASE("An endpoint gets no more requests from all instances together than its rate limit", "[rate-limit]")
{
    limited_desk site;
    CHECK(site.sendFor(9s) > 100);
    CHECK(site.largestWindowOf(0) <= allowedAt(1));
    CHECK(site.largestWindowOf(0) >= 1);
}

TEST_CASE("Instances report the rate limit of an endpoint and its end to each other", "[rate-limit]")
{
    limited_site site(3);
    site.addEndpoint("d1", kind::plain, "desk");
    for (std::size_t daemon = 0; daemon < 3; ++daemon) {
        REQUIRE(site.waitReady(daemon));
    }
    site.beginLimit(0, "0.5", [&] { site.sendOne(0); });
    const std::size_t received = site.endpoint(0).arrivals.size();
    const auto isRefused = [&](std::size_t daemon) {
        const auto answer = site.sendRequest(daemon, site.request("POST", "/order/", "o"));
        return answer.status == 503 && answer.head.find("Retry-After") != nullptr;
    };

    SECTION("those that have not asked it refuse what it does not accept")
    {
        CHECK(isRefused(1));
        CHECK(isRefused(2));
        CHECK(site.endpoint(0).arrivals.size() == received);
    }
    SECTION("one that starts later does so too")
    {
        const std::size_t newInstance = site.startDaemon();
        REQUIRE(site.waitReady(newInstance));
        REQUIRE(waitFor([&] { return knowsLimits(site, newInstance, 1); }));
        CHECK(isRefused(newInstance));
        CHECK(site.endpoint(0).arrivals.size() == received);
    }
    SECTION("all of them use it again after its end")
    {
        site.endpoint(0).behaviour.limit.clear();
        std::size_t daemon = 0;
        REQUIRE(sendUntil([&] { site.sendOne(daemon++ % 3); }, [&] { return knowsLimits(site, 0, 0); }));
        for (daemon = 0; daemon < 3; ++daemon) {
            REQUIRE(waitFor([&] { return knowsLimits(site, daemon, 0); }));
            CHECK(site.sendOne(daemon) == 200);
            CHECK(site.sendOne(daemon) == 200);
        }
    }
}

TEST_CASE("Instances that start, stop and die do not add to what a limited endpoint gets", "[rate-limit]")
{
    limited_desk site;
    site.sendFor(3s);
    site.startDaemon();
    site.startDaemon();
    REQUIRE(site.waitReady(5));
    site.setDaemons(6);
    site.sendFor(2s);
    site.daemon(3).stop();
    site.sendFor(2s);
    site.killDaemon(5);
    site.setDaemons(3);
    site.sendFor(5s);
    CHECK(site.largestWindowOf(0) <= allowedAt(1));
}

TEST_CASE("A limited stage endpoint gets no releases from each instance when its home is lost", "[rate-limit]")
{
    constexpr std::size_t others = 14;
    site_fixture site(0);
    site.cores = 4; // the strongest instance is the home
    site.startDaemon();
    site.cores = 1;
    for (std::size_t i = 0; i < others; ++i) {
        site.startDaemon();
    }
    site.addPipeline();
    for (std::size_t daemon = 0; daemon <= others; ++daemon) {
        REQUIRE(site.waitReady(daemon));
    }
    REQUIRE(waitFor([&] { return site.store.pendingReads() == 0; }));
    site.endpoint(0).behaviour.serviceTime = 3s;
    site_endpoint &limited = site.endpoint(2);
    std::vector<std::unique_ptr<site_caller>> callers;
    for (std::size_t daemon = 1; daemon <= others; ++daemon) {
        callers.push_back(std::make_unique<site_caller>(site.frontAddressOf(daemon)));
        callers.back()->send(site_fixture::request("POST", "/chat/", "q" + std::to_string(daemon), "prompt",
                                                   "Pieces: 2,3\r\nPiece-Key: abc\r\n"));
    }
    REQUIRE(waitFor([&] { return site.endpoint(0).inFlight == others; }));
    limited.behaviour.limit = "1";
    callers.push_back(std::make_unique<site_caller>(site.frontAddressOf(0)));
    callers.back()->send(
        site_fixture::request("POST", "/chat/", "last", "prompt", "Pieces: 2,3\r\nPiece-Key: abc\r\n"));
    for (std::size_t daemon = 0; daemon <= others; ++daemon) {
        REQUIRE(waitFor([&] { return knowsLimits(site, daemon, 1); }));
    }
    REQUIRE(site.endpoint(0).inFlight > others);
    const auto limitKnownAt = clock_type::now();
    site.killDaemon(0);
    REQUIRE(waitFor([&] { return site.endpoint(0).inFlight == 0; }));
    const auto end = clock_type::now() + window;
    REQUIRE(waitFor([&] { return clock_type::now() >= end; }));
    CHECK(largestWindow(limited.arrivals, limitKnownAt) <= allowedAt(1));
}

TEST_CASE("A stage endpoint gets no more calls and releases than its rate limit", "[rate-limit]")
{
    limited_site site(3);
    site.addPipeline();
    std::size_t sent = 0;
    const auto chat = [&](std::size_t daemon) { return site.chat(daemon, "r" + std::to_string(++sent)).status; };

    SECTION("if it is the only one of its service")
    {
        site.beginLimit(1, "1", [&] { chat(0); });
        CHECK(site.sendFor(9s, chat) >= 4);
        CHECK(site.largestWindowOf(1) <= allowedAt(1));
        CHECK(site.largestWindowOf(1) >= 2);
    }
    SECTION("beside another one, which gets the rest")
    {
        site.addEndpoint("s3", kind::stage, "encode");
        site.beginLimit(1, "1", [&] { chat(0); });
        REQUIRE(sendUntil([&] { chat(0); }, [&] { return !site.endpoint(3).calls.empty(); }));
        CHECK(site.sendFor(9s, chat) > 100);
        CHECK(site.largestWindowOf(1) <= allowedAt(1));
    }
}

TEST_CASE("A limited endpoint of a service that is both a stage and the target of a route gets no more than its rate",
          "[rate-limit]")
{
    limited_site site(4);
    site.configure(
        2, R"(,{"name":"direct","host":"site.example","path_prefix":"/direct/","kind":"safe","service":"encode"})");
    site.addPipeline();
    std::size_t sent = 0;
    const auto direct = [&](std::size_t daemon) {
        return site.sendRequest(daemon, site.request("GET", "/direct/", "d" + std::to_string(++sent))).status;
    };
    for (std::size_t daemon = 0; daemon < 4; ++daemon) {
        REQUIRE(waitFor([&] { return direct(daemon) == 200; }));
    }
    site.beginLimit(1, "5", [&] { direct(0); });
    std::vector<std::unique_ptr<site_caller>> chats;
    site.sendFor(10s, [&](std::size_t daemon) {
        chats.push_back(std::make_unique<site_caller>(site.frontAddressOf(daemon)));
        chats.back()->send(site_fixture::request("POST", "/chat/", "c" + std::to_string(++sent), "prompt",
                                                 "Pieces: 2,3\r\nPiece-Key: abc\r\n"));
        return direct(daemon);
    });
    CHECK(site.largestWindowOf(1) <= allowedAt(5));
    CHECK(site.largestWindowOf(1) >= 5);
}

TEST_CASE("An endpoint without a registration gets no releases, which its rate limit could not cover", "[rate-limit]")
{
    site_fixture site(1);
    site.addPipeline();
    site.endpoint(0).behaviour.serviceTime = 3s;
    site_caller caller(site.frontAddressOf(0));
    caller.send(site_fixture::request("POST", "/chat/", "q1", "prompt", "Pieces: 2,3\r\nPiece-Key: abc\r\n"));
    REQUIRE(waitFor([&] { return site.endpoint(0).inFlight == 1; }));
    site.store.put("keyed.servers", "s2", std::nullopt);
    site.addEndpoint("s3", kind::stage, "rank");
    std::vector<std::unique_ptr<site_caller>> others;
    const auto send = [&] {
        others.push_back(std::make_unique<site_caller>(site.frontAddressOf(0)));
        others.back()->send(site_fixture::request("POST", "/chat/", "q" + std::to_string(others.size() + 1), "prompt",
                                                  "Pieces: 2,3\r\nPiece-Key: abc\r\n"));
    };
    REQUIRE(sendUntil(send, [&] { return !site.endpoint(3).calls.empty(); }));
    const std::size_t before = site.endpoint(2).arrivals.size();
    REQUIRE(waitFor([&] { return site.endpoint(0).inFlight == 0; }));
    REQUIRE(waitFor([&] { return site.endpoint(3).results.empty(); }));
    CHECK(site.endpoint(2).arrivals.size() == before);
}
