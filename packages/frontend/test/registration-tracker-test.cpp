#include "registration-tracker.h"

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::frontend;
using namespace std::chrono_literals;

namespace
{

const common::instant start{1000s};

catalog::endpoint_record endpoint(std::string_view id)
{
    catalog::endpoint_record made;
    made.id = id;
    made.startedAtMs = 1;
    made.sequence = 1;
    made.service = "desk";
    return made;
}

common::result<catalog::endpoint_record> readRecord(std::string_view id, std::string_view value)
{
    if (value == "garbage") {
        return make_error_code(common::error::malformed);
    }
    return endpoint(id);
}

topic_update written(std::vector<std::string> ids)
{
    topic_update update;
    for (std::string &id : ids) {
        update.records.push_back({0, std::move(id), "registration"});
    }
    return update;
}

topic_update removed(std::string id)
{
    topic_update update;
    update.records.push_back({0, std::move(id), std::nullopt});
    return update;
}

} // namespace

TEST_CASE("The registration tracker combines reads of the store, updates and outages")
{
    catalog::endpoint_directory directory({});
    registration_tracker tracker(directory, readRecord);
    tracker.onStoreReachability(true, start);
    tracker.onRead(written({"a", "b"}), start);
    REQUIRE(tracker.confirmedRecords()->size() == 2);

    SECTION("a malformed record does not affect the others")
    {
        topic_update update = written({"c"});
        update.records.push_back({0, "d", "garbage"});
        tracker.onRead(update, start);
        CHECK(directory.findUsable("c") != nullptr);
        CHECK(directory.findUsable("d") == nullptr);
    }
    SECTION("after an outage in which an endpoint was removed")
    {
        tracker.onStoreReachability(false, start + 1s);
        CHECK_FALSE(tracker.isStoreUnreachable(start + 1s));
        CHECK(tracker.isStoreUnreachable(start + 2s));
        CHECK_FALSE(tracker.confirmedRecords());
        CHECK(tracker.onStoreReachability(true, start + 6s));
        tracker.onRead(removed("b"), start + 6s);

        SECTION("it is retained until endpoints have had time to register again")
        {
            CHECK(directory.findUsable("b") != nullptr);
            tracker.advance(start + 8100ms);
            CHECK(directory.findUsable("b") == nullptr);
        }
        SECTION("it is not sent to other instances while it is retained")
        {
            REQUIRE(tracker.confirmedRecords());
            REQUIRE(tracker.confirmedRecords()->size() == 1);
            CHECK(tracker.confirmedRecords()->front().id == "a");
            tracker.advance(start + 7900ms);
            CHECK(tracker.confirmedRecords()->size() == 1);
            tracker.advance(start + 8100ms);
            CHECK(tracker.confirmedRecords()->size() == 1);
        }
        SECTION("it is sent to other instances if it registers again in that time")
        {
            tracker.onRead(written({"b"}), start + 7s);
            CHECK(tracker.confirmedRecords()->size() == 2);
        }
    }
    SECTION("updates from another instance replace reads of the store")
    {
        const auto freshUntil = start + 5s;
        CHECK(tracker.mayDeferRead(freshUntil, start + 1s));
        CHECK_FALSE(tracker.mayDeferRead(freshUntil, start + 5s));

        SECTION("but not after a failed call, which would retain an endpoint that has left")
        {
            // The long poll for the configuration was reset; its next answer may take 8 s.
            tracker.onStoreReachability(false, start + 1s);
            tracker.onReaderUpdate({1, {}, true, false, {}, {"b"}}, start + 1100ms);
            CHECK(directory.findUsable("b") != nullptr);
            CHECK_FALSE(tracker.mayDeferRead(freshUntil, start + 1100ms));
            // An immediate read shows that the store is reachable.
            tracker.onStoreReachability(true, start + 1200ms);
            tracker.advance(start + 1200ms);
            CHECK(directory.findUsable("b") == nullptr);
            CHECK(tracker.mayDeferRead(freshUntil, start + 1200ms));
        }
    }
    SECTION("a listing of a restored store")
    {
        tracker.onStoreRestored(start + 1s);
        topic_update listing = written({"a"});
        listing.isCompleteListing = true;
        listing.listedKeys = {"a"};
        tracker.onRead(listing, start + 1s);

        SECTION("removes endpoints only when they had time to register again")
        {
            CHECK(directory.findUsable("b") != nullptr);
            tracker.advance(start + 2900ms);
            CHECK(directory.findUsable("b") != nullptr);
            tracker.advance(start + 3100ms);
            CHECK(directory.findUsable("b") == nullptr);
        }
        SECTION("is followed by removals that the reader saw in the earlier generation, as it does not repeat them")
        {
            stages::directory_message update;
            update.storeGeneration = 1;
            update.removed = {"a"};
            tracker.onReaderUpdate(update, start + 1500ms);
            CHECK(directory.findUsable("a") != nullptr); // it may register again

            SECTION("unless the reader finds the endpoint again")
            {
                update.storeGeneration = 2;
                update.removed.clear();
                update.changed = {endpoint("a")};
                tracker.onReaderUpdate(update, start + 2s);
                tracker.advance(start + 3100ms);
                CHECK(directory.findUsable("a") != nullptr);
            }
            SECTION("for good after the time to register again")
            {
                tracker.advance(start + 3100ms);
                CHECK(directory.findUsable("a") == nullptr);
            }
        }
    }
}
