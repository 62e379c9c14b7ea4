#include <masticlever/catalog/evacuation-table.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace masticlever::catalog;

TEST_CASE("A data centre is evacuated from its record until the removal of that")
{
    evacuation_table table;
    CHECK(table.onRecord({"west", true, 1, 10}));
    CHECK(table.isEvacuated("west"));
    CHECK_FALSE(table.isEvacuated("east"));
    CHECK_FALSE(table.onRecord({"west", true, 1, 10}));

    SECTION("the removal ends it")
    {
        CHECK(table.onRecord({"west", false, 1, 12}));
        CHECK(table.evacuated().empty());
        CHECK_FALSE(table.onRecord({"west", true, 1, 10})); // from an instance that has not read the removal
        CHECK(table.onRecord({"west", true, 1, 13}));
        CHECK(table.isEvacuated("west"));
    }
    SECTION("a listing without it ends it")
    {
        CHECK(table.onListing({}, 1, 20));
        CHECK_FALSE(table.isEvacuated("west"));
        CHECK(table.onRecord({"west", true, 1, 20})); // written after the listing
        CHECK(table.isEvacuated("west"));
    }
    SECTION("a listing that began before its record does not end it")
    {
        CHECK_FALSE(table.onListing({}, 1, 10));
        CHECK(table.isEvacuated("west"));
    }
    SECTION("a listing of a store that was restored from an older copy does not end it")
    {
        CHECK_FALSE(table.onListing({}, 2, 20));
        CHECK(table.isEvacuated("west"));
        CHECK(table.onRecord({"west", false, 2, 3}));
        CHECK_FALSE(table.isEvacuated("west"));
    }
    SECTION("a record that the restored store lists ends with that")
    {
        CHECK(table.onRecord({"west", true, 2, 5}));
        CHECK(table.onListing({}, 2, 9));
        CHECK_FALSE(table.isEvacuated("west"));
    }
}

TEST_CASE("Instances that exchange their records in any order agree on the evacuated data centres")
{
    std::vector<evacuation_record> written;
    for (std::uint64_t generation = 1; generation <= 3; ++generation) {
        for (std::uint64_t offset = 0; offset < 8; ++offset) {
            written.push_back({offset % 3 == 0 ? "west" : "east", (generation + offset) % 2 == 0, generation, offset});
        }
    }
    evacuation_table inOrder;
    for (const evacuation_record &record : written) {
        inOrder.onRecord(record);
    }
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        std::ranges::shuffle(written, random);
        evacuation_table table;
        for (const evacuation_record &record : written) {
            table.onRecord(record);
        }
        INFO("seed " << seed);
        CHECK(table.records() == inOrder.records());
    }
}

TEST_CASE("The number of ended evacuations that are kept is bounded")
{
    evacuation_table table;
    table.onRecord({"west", true, 1, 0});
    for (std::uint64_t i = 1; i <= 200; ++i) {
        table.onRecord({"dc-" + std::to_string(i), false, 1, i});
    }
    CHECK(table.records().size() == 65);
    CHECK(table.isEvacuated("west"));
}
