#include "directory-feed.h"

#include <masticlever/common/digest.h>

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

TEST_CASE("The instance that reads the registrations tells the others")
{
    std::vector<std::pair<std::uint64_t, stages::directory_message>> sent;
    directory_feed feed({},
                        {[&](std::span<const std::uint64_t> subscribers, const stages::home_message &message) {
                             for (const std::uint64_t subscriber : subscribers) {
                                 sent.emplace_back(subscriber, std::get<stages::directory_message>(message));
                             }
                         },
                         [](const stages::directory_message &) {}});
    feed.setMembers({{"self", "127.0.0.1:1", common::stableHash("self"), 0, false}}, "self", 7, start);
    feed.onRead({record("a")}, 7);
    CHECK(sent.empty());

    SECTION("a new one hears nothing before the next read, then everything")
    {
        feed.onSubscriber(3);
        CHECK(sent.empty()); // what is remembered may be out of date while the store cannot be reached
        feed.onRead({record("a"), record("b")}, 7);
        REQUIRE(sent.size() == 1);
        CHECK(sent[0].first == 3);
        CHECK(sent[0].second.isWhole);
        CHECK(sent[0].second.changed.size() == 2);

        SECTION("and then what has changed; heartbeats are no change")
        {
            feed.onRead({record("b", 2), record("c")}, 8);
            REQUIRE(sent.size() == 2);
            CHECK_FALSE(sent[1].second.isWhole);
            REQUIRE(sent[1].second.changed.size() == 1);
            CHECK(sent[1].second.changed[0].id == "c");
            CHECK(sent[1].second.removed == std::vector<std::string>{"a"});
            CHECK(sent[1].second.configurationVersion == 8);
        }
        SECTION("until it is gone")
        {
            feed.onSubscriberGone(3);
            feed.onRead({record("a")}, 8);
            CHECK(sent.size() == 1);
        }
    }
    SECTION("and has to read for itself")
    {
        CHECK(feed.freshUntil() < start);
    }
}
