#include "directory-feed.h"

#include <masticlever/common/digest.h>

#include <masticlever/net/stream-socket.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::frontend;
using namespace std::chrono_literals;

namespace
{

const common::instant start{1000s};

catalog::endpoint_record record(std::string id, std::uint64_t sequence = 1)
{
    catalog::endpoint_record made;
    made.id = std::move(id);
    made.sequence = sequence;
    made.service = "desk";
    return made;
}

} // namespace

TEST_CASE("The reader sends updates of the registrations to its subscribers")
{
    std::vector<std::pair<std::uint64_t, stages::directory_message>> sent;
    net::receive_budget budget(1 << 20);
    directory_feed feed({}, budget,
                        {[&](std::span<const std::uint64_t> subscribers, const stages::home_message &message) {
                             for (const std::uint64_t subscriber : subscribers) {
                                 sent.emplace_back(subscriber, std::get<stages::directory_message>(message));
                             }
                         },
                         [](const stages::directory_message &) {}, [] {}});
    feed.setMembers({{"self", "127.0.0.1:1", common::stableHash("self"), 0, 0, false}}, "self", 7, start);
    feed.onRead({record("a")}, 1, {7, "seven"});
    CHECK(sent.empty());

    SECTION("a new subscriber gets a snapshot after the next read and nothing before")
    {
        feed.onSubscriber(3, 7);
        CHECK(sent.empty()); // remembered records may be outdated while the store is unreachable
        feed.onRead({record("a"), record("b")}, 1, {7, "seven"});
        REQUIRE(sent.size() == 1);
        CHECK(sent[0].first == 3);
        CHECK(sent[0].second.isWhole);
        CHECK(sent[0].second.changed.size() == 2);

        SECTION("then changes only, without heartbeats")
        {
            feed.onRead({record("b", 2), record("c")}, 1, {8, "eight"});
            REQUIRE(sent.size() == 2);
            CHECK_FALSE(sent[1].second.isWhole);
            REQUIRE(sent[1].second.changed.size() == 1);
            CHECK(sent[1].second.changed[0].id == "c");
            CHECK(sent[1].second.removed == std::vector<std::string>{"a"});
            CHECK(sent[1].second.configurationVersion == 8);
        }
        SECTION("then a new configuration as soon as it is in force")
        {
            CHECK(sent[0].second.configuration.empty()); // the subscriber has this version
            feed.onConfiguration({8, "eight"});
            REQUIRE(sent.size() == 2);
            CHECK(decompressConfiguration(sent[1].second.configuration) == "eight");
            CHECK(sent[1].second.configurationVersion == 8);
            CHECK_FALSE(sent[1].second.hasRegistrations); // the registrations were not read
            feed.onRead({record("a"), record("b")}, 1, {8, "eight"});
            REQUIRE(sent.size() == 3);
            CHECK(sent[2].second.configuration.empty());
        }
        SECTION("but only the version of a configuration that is too large for the link")
        {
            std::string large; // pseudo-random bytes, which do not compress
            for (std::uint64_t state = 1; large.size() < 5'000'000; state = state * 6364136223846793005ULL + 1) {
                large += static_cast<char>(state >> 56);
            }
            feed.onConfiguration({8, large});
            REQUIRE(sent.size() == 2);
            CHECK(sent[1].second.configuration.empty());
            CHECK(sent[1].second.configurationVersion == 8); // the subscriber reads it from the store
        }
        SECTION("compression lets one instance send over a thousand routes to a whole fleet")
        {
            std::string routes;
            for (int i = 0; i < 1500; ++i) {
                routes += "{\"name\":\"route-" + std::to_string(i * 7919 % 1500) + "\",\"kind\":\"safe\"},";
            }
            for (std::uint64_t subscriber = 10; subscriber < 350; ++subscriber) {
                feed.onSubscriber(subscriber, 7);
            }
            feed.onRead({record("a"), record("b")}, 1, {7, "seven"});
            sent.clear();
            feed.onConfiguration({8, routes});
            REQUIRE(sent.size() == 341);
            CHECK(decompressConfiguration(sent[0].second.configuration) == routes);
        }
        SECTION("and nothing after it has disconnected")
        {
            feed.onSubscriberGone(3);
            feed.onRead({record("a")}, 1, {8, "eight"});
            CHECK(sent.size() == 1);
        }
    }
    SECTION("a subscriber with an older configuration gets the current one with its snapshot")
    {
        feed.onSubscriber(4, 6);
        feed.onConfiguration({8, "eight"}); // it has no snapshot yet
        CHECK(sent.empty());
        feed.onRead({record("a")}, 1, {8, "eight"});
        REQUIRE(sent.size() == 1);
        CHECK(decompressConfiguration(sent[0].second.configuration) == "eight");
    }
    SECTION("the reader itself must read the store")
    {
        CHECK(feed.freshUntil() < start);
    }
}

TEST_CASE("Malformed compressed configurations are rejected")
{
    CHECK(decompressConfiguration("").empty());
    CHECK(decompressConfiguration("abc").empty());
    CHECK(decompressConfiguration("\xff\xff\xff\xff and more").empty());
    CHECK(decompressConfiguration(std::string("\0\0\0\x05", 4) + "garbage").empty());
}

TEST_CASE("A slow reader is not replaced at once")
{
    net::listener listening([](int) {});
    const auto port = listening.listen(net::parseAddress("127.0.0.1:0").value(), 1);
    REQUIRE(port);
    const std::string address = "127.0.0.1:" + std::to_string(port.value());
    net::receive_budget budget(1 << 20);
    directory_feed feed({}, budget,
                        {[](std::span<const std::uint64_t>, const stages::home_message &) {},
                         [](const stages::directory_message &) {}, [] {}});
    const std::vector<stages::home_candidate> members{{"reader", address, 1, 0, 0, false}};
    feed.setMembers(members, "self", 7, start);
    REQUIRE(feed.isFollowing());

    // Sending all registrations to a whole fleet takes the reader seconds, and every subscriber that starts over adds
    // to that.
    feed.onTick(start + 4s);
    CHECK(feed.isFollowing());
    CHECK(feed.freshUntil() < start); // meanwhile this instance reads the store itself

    SECTION("it is dropped when it stays silent, and avoided for a while")
    {
        feed.onTick(start + 6s);
        CHECK_FALSE(feed.isFollowing());
        feed.setMembers(members, "self", 7, start + 6s);
        CHECK_FALSE(feed.isFollowing());
        feed.setMembers(members, "self", 7, start + 10s);
        CHECK(feed.isFollowing());
    }
}
