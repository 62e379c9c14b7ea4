#include <masticlever/catalog/endpoint-directory.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::catalog;
using namespace std::chrono_literals;
using what = directory_change::what;

namespace
{

const common::instant start{1000s};

endpoint_record record(std::string id, std::uint64_t born = 1, std::uint64_t sequence = 1)
{
    endpoint_record made;
    made.id = std::move(id);
    made.bornMs = born;
    made.sequence = sequence;
    made.service = "desk";
    made.address = "10.0.0.1:80";
    made.dataCentre = "west";
    return made;
}

endpoint_record draining(endpoint_record made)
{
    made.state = endpoint_state::draining;
    return made;
}

} // namespace

TEST_CASE("Endpoints come and go with their registrations")
{
    endpoint_directory directory({});
    directory.onStoreReachable(true, start - 10s);
    REQUIRE(directory.onRecord(record("a"), start).size() == 1);
    CHECK(directory.usable("desk").size() == 1);
    CHECK(directory.usable("other").empty());

    SECTION("a heartbeat is no change")
    {
        CHECK(directory.onRecord(record("a", 1, 2), start).empty());
    }
    SECTION("one that drains gets no work any more")
    {
        const auto changes = directory.onRecord(draining(record("a", 1, 2)), start);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == what::draining);
        CHECK(directory.usable("desk").empty());

        SECTION("not even after an older record, or a later one of the same incarnation")
        {
            directory.onRecord(record("a", 1, 1), start);
            CHECK(directory.usable("desk").empty());
            directory.onRecord(record("a", 1, 3), start);
            CHECK(directory.usable("desk").empty());
        }
        SECTION("but after a new start under the same id")
        {
            const auto again = directory.onRecord(record("a", 2, 0), start);
            REQUIRE(again.size() == 1);
            CHECK(again[0].kind == what::added);
            CHECK(directory.usable("desk").size() == 1);
        }
    }
    SECTION("one that answered under another id, or said that it leaves, is out at once")
    {
        CHECK(directory.onSeenLeaving("a", start).size() == 1);
        CHECK(directory.usable("desk").empty());
        CHECK(directory.onSeenLeaving("a", start).empty());
    }
    SECTION("one that is removed is gone")
    {
        const auto changes = directory.onRemoved("a", start);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == what::removed);
        CHECK(directory.findUsable("a") == nullptr);

        SECTION("and an old record does not bring it back, a newer one does")
        {
            CHECK(directory.onRecord(record("a", 1, 0), start + 1s).empty());
            CHECK(directory.findUsable("a") == nullptr);
            CHECK(directory.onRecord(record("a", 1, 2), start + 1s).size() == 1);
        }
        SECTION("and the same record written again after a lapse does")
        {
            CHECK(directory.onRecord(record("a", 1, 1), start + 1s).size() == 1);
        }
    }
    SECTION("one that a whole listing lacks is gone, the others stay")
    {
        directory.onRecord(record("b"), start);
        const std::vector<std::string> ids{"b"};
        directory.onListing(ids, start);
        CHECK(directory.findUsable("a") == nullptr);
        CHECK(directory.findUsable("b") != nullptr);
    }
    SECTION("one that moves to another service is found there only")
    {
        endpoint_record moved = record("a", 2);
        moved.service = "board";
        directory.onRecord(moved, start);
        CHECK(directory.usable("desk").empty());
        CHECK(directory.usable("board").size() == 1);
    }
}

TEST_CASE("A store that could not be reached for a moment makes nothing lapse")
{
    // A connection that fell silent costs one time-out; an endpoint that left meanwhile gets no more work.
    endpoint_directory directory({});
    directory.onStoreReachable(true, start - 10s);
    directory.onRecord(record("a"), start);
    directory.onStoreReachable(false, start);
    directory.onStoreReachable(true, start + 1600ms);
    CHECK(directory.onRemoved("a", start + 1600ms).size() == 1);
    CHECK(directory.findUsable("a") == nullptr);
}

TEST_CASE("Entries that lapse while the store is away may come back")
{
    endpoint_directory directory({});
    directory.onStoreReachable(true, start - 10s);
    directory.onRecord(record("a"), start);
    directory.onStoreReachable(false, start);
    directory.onStoreReachable(true, start + 5s);
    CHECK(directory.onRemoved("a", start + 5s).empty());
    CHECK(directory.findUsable("a") != nullptr);

    SECTION("back within the grace: nothing was missed")
    {
        directory.onRecord(record("a", 1, 2), start + 6s);
        CHECK(directory.advance(start + 8s).empty());
        CHECK(directory.findUsable("a") != nullptr);
    }
    SECTION("missing after it: gone")
    {
        CHECK(directory.advance(start + 6s).empty());
        CHECK(directory.advance(start + 7001ms).size() == 1);
        CHECK(directory.findUsable("a") == nullptr);
    }
    SECTION("one that was leaving has no grace")
    {
        directory.onSeenLeaving("a", start + 5s);
        CHECK(directory.onRemoved("a", start + 5s).size() == 1);
    }
}

TEST_CASE("An endpoint that said itself that it leaves is left for its whole life")
{
    endpoint_directory directory({});
    directory.onStoreReachable(true, start - 10s);
    directory.onRecord(record("a"), start);
    REQUIRE(directory.onSeenLeaving("a", start).size() == 1);
    REQUIRE(directory.findUsable("a") == nullptr);

    SECTION("whatever its registration says")
    {
        CHECK(directory.onRecord(record("a", 1, 5), start + 1s).empty());
        CHECK(directory.findUsable("a") == nullptr);
    }
    SECTION("also when the registration was removed and is written again")
    {
        REQUIRE(directory.onRemoved("a", start + 1s).size() == 1);
        const auto changes = directory.onRecord(record("a", 1, 2), start + 2s);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == what::draining);
        CHECK(directory.findUsable("a") == nullptr);
    }
    SECTION("also when it lapsed during an outage of the store")
    {
        directory.onStoreReachable(false, start);
        directory.onStoreReachable(true, start + 5s);
        directory.onRemoved("a", start + 5s);
        directory.onRecord(record("a", 1, 2), start + 6s);
        CHECK(directory.findUsable("a") == nullptr);
    }
    SECTION("and those that are told of the registrations are told of it")
    {
        CHECK(directory.records().front().state == endpoint_state::draining);
    }
    SECTION("but not its next incarnation")
    {
        directory.onRecord(record("a", 2, 1), start + 1s);
        CHECK(directory.findUsable("a") != nullptr);
        CHECK(directory.records().front().state == endpoint_state::ready);

        SECTION("which a late word of the former one does not concern")
        {
            CHECK(directory.onToldLeaving("a", 1, start + 2s).empty());
            CHECK(directory.findUsable("a") != nullptr);
            CHECK(directory.onToldLeaving("a", 2, start + 2s).size() == 1);
        }
    }
}

TEST_CASE("An endpoint that asks for quiet is known with its time")
{
    endpoint_directory directory({});
    directory.onStoreReachable(true, start - 10s);
    directory.onRecord(record("a"), start);
    directory.onAskedQuiet("a", start + 3s);
    CHECK(directory.quietUntil("a") == start + 3s);
    CHECK(directory.quietUntil("b") < start);

    SECTION("a shorter one that comes later does not end it")
    {
        directory.onAskedQuiet("a", start + 1s);
        CHECK(directory.quietUntil("a") == start + 3s);
    }
    SECTION("it lasts while the registration is away")
    {
        directory.onRemoved("a", start + 1s);
        directory.onRecord(record("a", 1, 2), start + 2s);
        CHECK(directory.quietUntil("a") == start + 3s);
    }
    SECTION("it ends with the incarnation")
    {
        directory.onRecord(record("a", 2, 1), start + 1s);
        CHECK(directory.quietUntil("a") < start);
    }
}

TEST_CASE("Endpoints are found by their address")
{
    endpoint_directory directory({});
    directory.onStoreReachable(true, start - 10s);
    directory.onRecord(record("a"), start);
    directory.onRecord(record("b"), start);
    CHECK(directory.idsAt("10.0.0.1:80") == std::vector<std::string>{"a", "b"});
    endpoint_record moved = record("a", 2, 1);
    moved.address = "10.0.0.2:80";
    directory.onRecord(moved, start);
    CHECK(directory.idsAt("10.0.0.2:80") == std::vector<std::string>{"a"});
    directory.onRemoved("b", start);
    CHECK(directory.idsAt("10.0.0.1:80").empty());
}
