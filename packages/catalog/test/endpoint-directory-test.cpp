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
    endpoint_record result;
    result.id = std::move(id);
    result.startedAtMs = born;
    result.sequence = sequence;
    result.service = "desk";
    result.address = "10.0.0.1:80";
    result.dataCentre = "west";
    return result;
}

endpoint_record draining(endpoint_record result)
{
    result.state = endpoint_state::draining;
    return result;
}

} // namespace

TEST_CASE("Registrations add, update and remove endpoints")
{
    endpoint_directory directory({});
    directory.setStoreReachable(true, start - 10s);
    REQUIRE(directory.onRecord(record("a"), start).size() == 1);
    CHECK(directory.usable("desk").size() == 1);
    CHECK(directory.usable("other").empty());

    SECTION("a renewed registration is not reported as a change")
    {
        CHECK(directory.onRecord(record("a", 1, 2), start).empty());
    }
    SECTION("a draining endpoint gets no work")
    {
        const auto changes = directory.onRecord(draining(record("a", 1, 2)), start);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == what::draining);
        CHECK(directory.usable("desk").empty());

        SECTION("older records and later ones of the same incarnation do not reset this")
        {
            directory.onRecord(record("a", 1, 1), start);
            CHECK(directory.usable("desk").empty());
            directory.onRecord(record("a", 1, 3), start);
            CHECK(directory.usable("desk").empty());
        }
        SECTION("a new incarnation with the same id gets work again")
        {
            const auto restarted = directory.onRecord(record("a", 2, 0), start);
            REQUIRE(restarted.size() == 1);
            CHECK(restarted[0].kind == what::added);
            CHECK(directory.usable("desk").size() == 1);
        }
    }
    SECTION("an endpoint seen leaving gets no work from then on")
    {
        CHECK(directory.markLeaving("a", start).size() == 1);
        CHECK(directory.usable("desk").empty());
        CHECK(directory.markLeaving("a", start).empty());
    }
    SECTION("an endpoint is removed with its registration")
    {
        const auto changes = directory.onRemoved("a", start);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == what::removed);
        CHECK(directory.findUsable("a") == nullptr);

        SECTION("only a newer record adds it again, not an older one")
        {
            CHECK(directory.onRecord(record("a", 1, 0), start + 1s).empty());
            CHECK(directory.findUsable("a") == nullptr);
            CHECK(directory.onRecord(record("a", 1, 2), start + 1s).size() == 1);
        }
        SECTION("the same record written again adds it again")
        {
            CHECK(directory.onRecord(record("a", 1, 1), start + 1s).size() == 1);
        }
    }
    SECTION("a complete listing removes the endpoints it does not contain")
    {
        directory.onRecord(record("b"), start);
        const std::vector<std::string> ids{"b"};
        directory.onListing(ids, start);
        CHECK(directory.findUsable("a") == nullptr);
        CHECK(directory.findUsable("b") != nullptr);
    }
    SECTION("an endpoint that changes its service is usable for the new one only")
    {
        endpoint_record moved = record("a", 2);
        moved.service = "board";
        directory.onRecord(moved, start);
        CHECK(directory.usable("desk").empty());
        CHECK(directory.usable("board").size() == 1);
    }
}

TEST_CASE("A short interruption of the store is not an outage")
{
    // A dead connection to the store costs one timeout. Keeping expired entries after that would send work to
    // endpoints that left meanwhile.
    endpoint_directory directory({});
    directory.setStoreReachable(true, start - 10s);
    directory.onRecord(record("a"), start);
    directory.setStoreReachable(false, start);
    directory.setStoreReachable(true, start + 1600ms);
    CHECK(directory.onRemoved("a", start + 1600ms).size() == 1);
    CHECK(directory.findUsable("a") == nullptr);
}

TEST_CASE("Registrations that expire during an outage of the store may be renewed")
{
    endpoint_directory directory({});
    directory.setStoreReachable(true, start - 10s);
    directory.onRecord(record("a"), start);
    directory.setStoreReachable(false, start);
    directory.setStoreReachable(true, start + 5s);
    CHECK(directory.onRemoved("a", start + 5s).empty());
    CHECK(directory.findUsable("a") != nullptr);

    SECTION("an endpoint that registers within the grace time stays")
    {
        directory.onRecord(record("a", 1, 2), start + 6s);
        CHECK(directory.advance(start + 8s).empty());
        CHECK(directory.findUsable("a") != nullptr);
    }
    SECTION("an endpoint that does not register within the grace time is removed")
    {
        CHECK(directory.advance(start + 6s).empty());
        CHECK(directory.advance(start + 7001ms).size() == 1);
        CHECK(directory.findUsable("a") == nullptr);
    }
    SECTION("a leaving endpoint is removed without grace time")
    {
        directory.markLeaving("a", start + 5s);
        CHECK(directory.onRemoved("a", start + 5s).size() == 1);
    }
}

TEST_CASE("An endpoint seen leaving stays so for its whole incarnation")
{
    endpoint_directory directory({});
    directory.setStoreReachable(true, start - 10s);
    directory.onRecord(record("a"), start);
    REQUIRE(directory.markLeaving("a", start).size() == 1);
    REQUIRE(directory.findUsable("a") == nullptr);

    SECTION("when its registration is renewed as ready")
    {
        CHECK(directory.onRecord(record("a", 1, 5), start + 1s).empty());
        CHECK(directory.findUsable("a") == nullptr);
    }
    SECTION("when its registration is removed and written again")
    {
        REQUIRE(directory.onRemoved("a", start + 1s).size() == 1);
        const auto changes = directory.onRecord(record("a", 1, 2), start + 2s);
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].kind == what::draining);
        CHECK(directory.findUsable("a") == nullptr);
    }
    SECTION("when its registration expired during an outage of the store")
    {
        directory.setStoreReachable(false, start);
        directory.setStoreReachable(true, start + 5s);
        directory.onRemoved("a", start + 5s);
        directory.onRecord(record("a", 1, 2), start + 6s);
        CHECK(directory.findUsable("a") == nullptr);
    }
    SECTION("its record is returned as draining")
    {
        CHECK(directory.records().front().state == endpoint_state::draining);
    }
    SECTION("the next incarnation gets work")
    {
        directory.onRecord(record("a", 2, 1), start + 1s);
        CHECK(directory.findUsable("a") != nullptr);
        CHECK(directory.records().front().state == endpoint_state::ready);

        SECTION("a late report about the previous incarnation does not apply to it")
        {
            CHECK(directory.onPeerReportedLeaving("a", 1, start + 2s).empty());
            CHECK(directory.findUsable("a") != nullptr);
            CHECK(directory.onPeerReportedLeaving("a", 2, start + 2s).size() == 1);
        }
    }
}

TEST_CASE("A requested pause of an endpoint is recorded")
{
    endpoint_directory directory({});
    directory.setStoreReachable(true, start - 10s);
    directory.onRecord(record("a"), start);
    directory.onPauseRequested("a", start + 3s);
    CHECK(directory.pausedUntil("a") == start + 3s);
    CHECK(directory.pausedUntil("b") < start);

    SECTION("a later request for a shorter one does not shorten it")
    {
        directory.onPauseRequested("a", start + 1s);
        CHECK(directory.pausedUntil("a") == start + 3s);
    }
    SECTION("it continues after the registration was removed and written again")
    {
        directory.onRemoved("a", start + 1s);
        directory.onRecord(record("a", 1, 2), start + 2s);
        CHECK(directory.pausedUntil("a") == start + 3s);
    }
    SECTION("it ends with the incarnation")
    {
        directory.onRecord(record("a", 2, 1), start + 1s);
        CHECK(directory.pausedUntil("a") < start);
    }
}

TEST_CASE("Endpoints are looked up by address")
{
    endpoint_directory directory({});
    directory.setStoreReachable(true, start - 10s);
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

TEST_CASE("A restored store lists endpoints as they were when its copy was made")
{
    endpoint_directory directory({});
    directory.setStoreReachable(true, start - 10s);
    directory.onRecord(record("a", 1, 5), start);
    directory.onRecord(record("b", 1, 5), start);

    SECTION("an endpoint that was removed before is not added again by the record of the copy")
    {
        directory.onRemoved("a", start);
        directory.onStoreRestored(start + 1s);
        CHECK(directory.onRecord(record("a", 1, 5), start + 1s).empty());
        CHECK(directory.findUsable("a") == nullptr);

        SECTION("but by a newer one")
        {
            directory.onRecord(record("a", 1, 6), start + 2s);
            CHECK(directory.findUsable("a") != nullptr);
        }
    }
    SECTION("an endpoint that drained stays so")
    {
        directory.onRecord(draining(record("a", 1, 6)), start);
        directory.onStoreRestored(start + 1s);
        directory.onRecord(record("a", 1, 5), start + 1s);
        CHECK(directory.findUsable("a") == nullptr);
    }
    SECTION("one that is missing is kept for a while and may register again with the same record")
    {
        directory.onStoreRestored(start + 1s);
        const std::vector<std::string> listed{"b"};
        directory.onListing(listed, start + 1s);
        CHECK(directory.findUsable("a") != nullptr);
        directory.onRecord(record("a", 1, 5), start + 2s);
        directory.advance(start + 4s);
        CHECK(directory.findUsable("a") != nullptr);
    }
}
