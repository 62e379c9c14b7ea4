#include <masticlever/membership/membership.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace masticlever::membership;
using masticlever::common::instant;
using masticlever::platform::instance_kind;
using masticlever::platform::instance_state;
using masticlever::platform::listed_instance;
using namespace std::chrono_literals;

namespace
{

const instant start = instant{} + 1h;

instance_notice makeNotice(const std::string &name, std::uint64_t heartbeat)
{
    instance_notice notice;
    notice.name = name;
    notice.incarnation = name + "-1";
    notice.peerAddress = "127.0.0.1:" + name;
    notice.heartbeat = heartbeat;
    return notice;
}

listed_instance makeListed(instance_kind kind, instance_state state, const std::string &name, std::string incarnation)
{
    return {name, kind, state, "10.0.0.1:" + name, "127.0.0.1:" + name, "hawick", std::move(incarnation)};
}

std::vector<std::string> names(const std::vector<instance_notice> &notices)
{
    std::vector<std::string> result;
    result.reserve(notices.size());
    for (const auto &notice : notices) {
        result.push_back(notice.name);
    }
    return result;
}

using text_list = std::vector<std::string>;

} // namespace

TEST_CASE("Instances learn about each other from notices")
{
    membership_table table({}, makeNotice("b", 1));
    REQUIRE(table.onNotice(makeNotice("a", 5), start));
    CHECK(names(table.liveInstances(start)) == text_list{"a", "b"});

    SECTION("an old or repeated notice changes nothing")
    {
        CHECK_FALSE(table.onNotice(makeNotice("a", 5), start + 1s));
        CHECK_FALSE(table.onNotice(makeNotice("a", 4), start + 1s));
        CHECK_FALSE(table.isLive("a-1", start + 4s));
    }

    SECTION("an instance without heartbeats is lost")
    {
        CHECK(table.isLive("a-1", start + 3s));
        table.advance(start + 2500ms);
        table.advance(start + 3001ms);
        CHECK_FALSE(table.isLive("a-1", start + 3001ms));
        CHECK(table.recentLosses(9, start + 4s) == std::vector<lost_notice>{{"a-1", 5}});

        SECTION("until its next heartbeat")
        {
            CHECK(table.onNotice(makeNotice("a", 6), start + 5s));
            CHECK(table.isLive("a-1", start + 5s));
            CHECK(table.recentLosses(9, start + 5s).empty());
            CHECK(table.recentNotices(9, start + 5s).size() == 2);
        }
    }

    SECTION("a pause of this process does not make other instances lost")
    {
        table.advance(start + 500ms);
        table.advance(start + 60s);
        CHECK(table.isLive("a-1", start + 60s));

        SECTION("the timeout of the first heartbeat applies again")
        {
            CHECK(table.isLive("a-1", start + 69s));
            CHECK_FALSE(table.isLive("a-1", start + 69001ms));
        }

        SECTION("and the usual timeout after the next heartbeat")
        {
            CHECK(table.onNotice(makeNotice("a", 6), start + 61s));
            CHECK_FALSE(table.isLive("a-1", start + 64001ms));
        }
    }

    SECTION("leaving is sticky")
    {
        auto leaving = makeNotice("a", 6);
        leaving.leaving = true;
        CHECK(table.onNotice(leaving, start));
        CHECK(table.onNotice(makeNotice("a", 7), start));
        CHECK(table.liveInstances(start)[0].leaving);
        CHECK(table.recentNotices(9, start)[1].leaving);
    }

    SECTION("this instance cannot revoke its own leaving")
    {
        auto self = makeNotice("b", 0);
        self.leaving = true;
        table.setSelf(self);
        table.incrementHeartbeat();
        table.setSelf(makeNotice("b", 0));
        CHECK(table.self().leaving);
        CHECK(table.self().heartbeat == 2);
    }

    SECTION("a peer that reaches the log is reported")
    {
        CHECK(table.isLogReachableByPeer(start));
        auto unreachable = makeNotice("a", 6);
        unreachable.logReachable = false;
        CHECK(table.onNotice(unreachable, start));
        CHECK_FALSE(table.isLogReachableByPeer(start));
    }

    SECTION("a loss reported by another watcher counts unless it is outdated")
    {
        CHECK_FALSE(table.onLost({"a-1", 4}, start + 11s));
        CHECK(table.recentNotices(9, start + 12s).size() == 2);
        CHECK_FALSE(table.onLost({"unknown", 4}, start));
        CHECK_FALSE(table.onLost({"b-1", 100}, start));
        CHECK(table.onLost({"a-1", 5}, start));
        CHECK_FALSE(table.isLive("a-1", start));
        CHECK(table.isLive("b-1", start));
    }
}

TEST_CASE("The platform's list adds instances")
{
    membership_table table({}, makeNotice("b", 1));
    const listed_instance list[] = {
        makeListed(instance_kind::entry, instance_state::live, "a", "a-1"),
        makeListed(instance_kind::entry, instance_state::leaving, "c", "c-1"),
    };
    table.onList(list, start);
    CHECK(names(table.liveInstances(start)) == text_list{"a", "b", "c"});
    CHECK(table.liveInstances(start)[2].leaving);

    SECTION("a listed instance without heartbeats is no evidence that the log is reachable")
    {
        CHECK_FALSE(table.isLogReachableByPeer(start));
    }

    SECTION("a lagging list does not make a lost instance live again")
    {
        for (auto time = 1s; time <= 10s; time += 1s) {
            table.advance(start + time);
        }
        table.onList(list, start + 11s);
        CHECK_FALSE(table.isLive("a-1", start + 11s));
        CHECK(table.nextPeers(9, start + 11s).size() == 2);
    }

    SECTION("the number of instances is bounded")
    {
        membership_options options;
        options.maximumInstances = 1;
        membership_table small(options, makeNotice("b", 1));
        small.onList(list, start);
        CHECK(small.size() == 1);
    }
}

TEST_CASE("A leaving endpoint is identified by address and incarnation")
{
    membership_table table({}, makeNotice("b", 1));
    const std::string address = "10.0.0.1:e";
    const auto list = [&](instance_state state, std::string incarnation, instant now) {
        const listed_instance listed[] = {makeListed(instance_kind::endpoint, state, "e", std::move(incarnation))};
        table.onList(listed, now);
    };
    list(instance_state::live, "e-1", start);
    CHECK_FALSE(table.isEndpointLeaving(address));
    table.onEndpointLeaving({address, "e-1"}, start + 1s);
    CHECK(table.isEndpointLeaving(address));
    CHECK(table.recentLeavingEndpoints(9, start + 2s) == std::vector<endpoint_notice>{{address, "e-1"}});
    CHECK(table.recentLeavingEndpoints(9, start + 1min).empty());
    CHECK(table.leavingEndpoints(9).size() == 1);

    SECTION("a list that lags behind the notice changes nothing")
    {
        list(instance_state::live, "e-1", start + 100s);
        CHECK(table.isEndpointLeaving(address));
    }

    SECTION("the next incarnation at the address is not leaving")
    {
        list(instance_state::live, "e-2", start + 2s);
        CHECK_FALSE(table.isEndpointLeaving(address));
        table.onEndpointLeaving({address, "e-1"}, start + 3s);
        CHECK_FALSE(table.isEndpointLeaving(address));

        SECTION("until a notice about it arrives")
        {
            table.onEndpointLeaving({address, "e-2"}, start + 4s);
            CHECK(table.isEndpointLeaving(address));
        }
    }

    SECTION("a notice about an incarnation that is not listed yet applies")
    {
        table.onEndpointLeaving({address, "e-3"}, start + 2s);
        list(instance_state::live, "e-1", start + 3s);
        CHECK(table.isEndpointLeaving(address));
    }

    SECTION("old notices are removed unless the list repeats them")
    {
        list(instance_state::leaving, "e-1", start + 9min);
        table.advance(start + 11min);
        CHECK(table.isEndpointLeaving(address));
        table.advance(start + 20min);
        CHECK_FALSE(table.isEndpointLeaving(address));
    }
}

TEST_CASE("In a large fleet each instance has a few watchers")
{
    constexpr int fleet = 60;
    std::vector<membership_table> tables;
    tables.reserve(fleet);
    for (int i = 0; i < fleet; ++i) {
        tables.emplace_back(membership_options{}, makeNotice(std::to_string(i), 1));
    }
    for (auto &table : tables) {
        for (const auto &other : tables) {
            table.onNotice(other.self(), start);
        }
    }
    const std::string first = tables[0].self().peerAddress;
    const auto isWatcherOfFirst = [&](membership_table &table) {
        table.advance(start + 1s);
        table.advance(start + 2s);
        table.advance(start + 3001ms);
        return !table.isLive("0-1", start + 3001ms);
    };
    const auto watchers = tables[0].watcherPeers(start);
    CHECK(watchers.size() == 3);
    int watcherCount = 0;
    for (int i = 1; i < fleet; ++i) {
        const bool isWatcher = std::ranges::count(watchers, tables[i].self().peerAddress) == 1;
        CHECK(isWatcherOfFirst(tables[i]) == isWatcher);
        watcherCount += isWatcher ? 1 : 0;
    }
    CHECK(watcherCount == 3);

    SECTION("the rotation reaches every instance")
    {
        text_list peers;
        for (int round = 0; round < fleet - 1; ++round) {
            const auto next = tables[0].nextPeers(1, start);
            peers.insert(peers.end(), next.begin(), next.end());
        }
        std::ranges::sort(peers);
        CHECK(std::unique(peers.begin(), peers.end()) == peers.end());
        CHECK(peers.size() == fleet - 1);
    }
}
