#include <masticlever/frontend/topic-follower.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::frontend;
using namespace std::chrono_literals;

namespace
{

const common::instant start{1000s};

protocol::store_record record(const std::string &key, std::uint64_t offset)
{
    return {offset, key, "v"};
}

} // namespace

TEST_CASE("A topic is listed, then read from the offset at which the listing began")
{
    topic_follower follower({});
    const auto listing = follower.next(start);
    REQUIRE(listing);
    CHECK(listing->isListing);
    CHECK_FALSE(follower.next(start).has_value()); // one call at a time

    const auto first = follower.onListing({10, true, {record("a", 3)}}, start);
    CHECK(first.records.size() == 1);
    CHECK_FALSE(first.isCompleteListing);
    CHECK(follower.next(start)->afterKey == "a");
    const auto second = follower.onListing({14, false, {record("b", 12)}}, start);
    CHECK(second.isCompleteListing);
    CHECK(second.listedKeys == std::vector<std::string>{"a", "b"});
    CHECK(follower.hasListed());

    CHECK_FALSE(follower.next(start + 999ms).has_value());
    const auto read = follower.next(start + 1s);
    REQUIRE(read);
    CHECK_FALSE(read->isListing);
    CHECK(read->from == 10); // pages are not a snapshot: records written between them are read again

    SECTION("the next read continues after the records that were read")
    {
        follower.onRecords({15, {record("c", 14)}}, start + 1s);
        CHECK(follower.next(start + 2s)->from == 15);
    }
    SECTION("a store that answers with an older end does not move the position back")
    {
        follower.onRecords({4, {}}, start + 1s);
        CHECK(follower.next(start + 2s)->from == 10);
    }
    SECTION("failures are retried with growing backoff")
    {
        follower.onFailure(start + 1s);
        CHECK_FALSE(follower.isReachable());
        CHECK_FALSE(follower.next(start + 1099ms).has_value());
        REQUIRE(follower.next(start + 1100ms).has_value());
        follower.onFailure(start + 1100ms);
        CHECK_FALSE(follower.next(start + 1299ms).has_value());
        CHECK(follower.next(start + 1300ms).has_value());
        for (int i = 0; i < 10; ++i) {
            follower.onFailure(start + 2s);
            CHECK(follower.next(start + 2s + 800ms).has_value()); // the maximum backoff
        }
    }
    SECTION("truncation of the topic causes a new listing")
    {
        follower.onTruncated(start + 1s);
        CHECK(follower.next(start + 1s)->isListing);
    }
    SECTION("reads are deferred while another instance reads for this one")
    {
        follower.onRecords({10, {}}, start + 1s);
        follower.defer(start + 3s);
        CHECK_FALSE(follower.next(start + 2999ms).has_value());
        CHECK(follower.next(start + 3s).has_value());
    }
    SECTION("expedited reads keep a minimum interval")
    {
        follower.onRecords({10, {}}, start + 1s);
        follower.expedite(start + 1s);
        CHECK_FALSE(follower.next(start + 1100ms).has_value());
        CHECK(follower.next(start + 1200ms).has_value());
    }
    SECTION("an expedited read does not wait for the poll interval")
    {
        follower.onRecords({10, {}}, start + 1s);
        follower.expedite(start + 1500ms);
        CHECK(follower.next(start + 1500ms).has_value());
    }
}

TEST_CASE("A long poll gets a longer timeout and is repeated at once")
{
    topic_follower_options options;
    options.wait = 8s;
    topic_follower follower(options);
    follower.next(start);
    follower.onListing({1, false, {}}, start);
    const auto read = follower.next(start);
    REQUIRE(read);
    CHECK(read->wait == 8s);
    CHECK(read->timeout > 8s);
    follower.onRecords({1, {}}, start + 8s);
    CHECK(follower.next(start + 8s).has_value());
}

TEST_CASE("In polling mode a topic is read at the poll interval without waiting at the store")
{
    topic_follower_options options;
    options.wait = 8s;
    options.pollInterval = 400ms;
    topic_follower follower(options);
    REQUIRE(follower.next(start));
    follower.onListing({10, false, {record("a", 3)}}, start);
    CHECK(follower.next(start)->wait == 8s);
    follower.onRecords({10, {}}, start + 1s);

    follower.setPolling(true);
    CHECK(follower.next(start + 1s)->wait == 0s);
    follower.onRecords({10, {}}, start + 1s);
    CHECK_FALSE(follower.next(start + 1399ms));
    CHECK(follower.next(start + 1400ms)->wait == 0s);
    CHECK(follower.wasAnsweredWithin(400ms, start + 1400ms));

    SECTION("without an answer the state is no longer recent")
    {
        CHECK_FALSE(follower.wasAnsweredWithin(400ms, start + 1401ms));
        follower.onFailure(start + 1401ms);
        CHECK_FALSE(follower.wasAnsweredWithin(400ms, start + 1401ms));
    }
    SECTION("reads wait again after polling mode ends")
    {
        follower.onRecords({10, {}}, start + 1400ms);
        follower.setPolling(false);
        CHECK(follower.next(start + 1800ms)->wait == 8s);
    }
}

TEST_CASE("An expedited read is not deferred")
{
    topic_follower follower({});
    REQUIRE(follower.next(start));
    follower.onListing({10, false, {record("a", 3)}}, start);
    follower.defer(start + 2s);
    CHECK_FALSE(follower.next(start + 1s));

    follower.expedite(start + 1s);
    follower.defer(start + 3s);
    REQUIRE(follower.next(start + 1s));

    SECTION("nor is its retry after a failure")
    {
        follower.onFailure(start + 1s);
        follower.defer(start + 3s);
        CHECK(follower.next(start + 1100ms));
    }
    SECTION("until the store has answered")
    {
        follower.onRecords({11, {record("b", 10)}}, start + 1s);
        follower.defer(start + 3s);
        CHECK_FALSE(follower.next(start + 2900ms));
        CHECK(follower.next(start + 3s));
    }
}

TEST_CASE("The first read after a listing is delayed, as another instance may read the topic by then")
{
    topic_follower_options options;
    options.wait = 8s;
    options.firstReadDelay = 1200ms;
    topic_follower follower(options);
    REQUIRE(follower.next(start));
    follower.onListing({10, false, {}}, start);
    CHECK_FALSE(follower.next(start + 1199ms).has_value());
    REQUIRE(follower.next(start + 1200ms).has_value());
}

TEST_CASE("The retry of a failed call can be delayed")
{
    topic_follower follower({});
    REQUIRE(follower.next(start));
    follower.onListing({10, false, {}}, start);
    REQUIRE(follower.next(start + 1s));

    SECTION("also if it was expedited")
    {
        follower.onFailure(start + 1s);
        follower.delayRetry(start + 6s);
        follower.expedite(start + 2s);
        follower.delayRetry(start + 6s);
        CHECK_FALSE(follower.next(start + 5s).has_value());
        CHECK(follower.next(start + 6s).has_value());
    }
    SECTION("until it is expedited")
    {
        follower.onFailure(start + 1s);
        follower.delayRetry(start + 6s);
        follower.expedite(start + 3s);
        CHECK(follower.next(start + 3s).has_value());
    }
    SECTION("until another call has shown that the store is reachable")
    {
        follower.onFailure(start + 1s);
        follower.delayRetry(start + 10s);
        follower.onStoreReachable(start + 3s);
        CHECK(follower.next(start + 3s).has_value());
    }
    SECTION("without effect on a store that answers")
    {
        follower.onRecords({11, {}}, start + 1s);
        follower.onStoreReachable(start + 1s);
        CHECK_FALSE(follower.next(start + 1900ms).has_value());
        follower.delayRetry(start + 6s);
        CHECK(follower.next(start + 2s).has_value());
    }
}

TEST_CASE("A scheduled call after an outage is made unless another instance has read by then")
{
    topic_follower follower({});
    REQUIRE(follower.next(start));
    follower.onListing({10, false, {}}, start);
    REQUIRE(follower.next(start + 1s));
    follower.onFailure(start + 1s);
    follower.delayRetry(start + 9s);
    follower.scheduleAt(start + 3s);
    CHECK_FALSE(follower.next(start + 2900ms).has_value());

    SECTION("no other instance has read")
    {
        CHECK(follower.next(start + 3s).has_value());
    }
    SECTION("another instance has read")
    {
        follower.defer(start + 4s);
        CHECK_FALSE(follower.next(start + 3900ms).has_value());
    }
}

TEST_CASE("A topic is listed again when the store was restored")
{
    topic_follower follower({});
    REQUIRE(follower.next(start));
    REQUIRE(follower.acceptGeneration(4, start));
    follower.onListing({10, false, {record("a", 3)}}, start);
    REQUIRE(follower.next(start + 1s));

    SECTION("a read of the new generation is not used, whatever its offsets")
    {
        CHECK_FALSE(follower.acceptGeneration(5, start + 1s));
        const auto call = follower.next(start + 1s);
        REQUIRE(call);
        CHECK(call->isListing);
        REQUIRE(follower.acceptGeneration(5, start + 1s));
        const auto update = follower.onListing({7, false, {record("a", 6)}}, start + 1s);
        CHECK(update.reason == listing_reason::restored);
        CHECK(follower.next(start + 2s)->from == 7);
    }
    SECTION("an answer of an earlier generation is not used")
    {
        CHECK_FALSE(follower.acceptGeneration(3, start + 1s));
        CHECK(follower.next(start + 1100ms)->from == 10);
    }
    SECTION("another call has shown it")
    {
        follower.onCancelled(start + 1s);
        follower.onStoreRestored(5, start + 1s);
        CHECK(follower.next(start + 1s)->isListing);
        CHECK_FALSE(follower.acceptGeneration(4, start + 1s));
        CHECK(follower.next(start + 1100ms)->isListing);
    }
    SECTION("later, if another instance reads for this one")
    {
        CHECK_FALSE(follower.acceptGeneration(5, start + 1s));
        follower.defer(start + 3s);
        CHECK_FALSE(follower.next(start + 2900ms));
        CHECK(follower.next(start + 3s)->isListing);
    }
}

TEST_CASE("Pages of a listing from different generations of the store are not combined")
{
    topic_follower follower({});
    REQUIRE(follower.next(start));
    REQUIRE(follower.acceptGeneration(1, start));
    follower.onListing({10, true, {record("a", 3)}}, start);
    REQUIRE(follower.next(start)->afterKey == "a");

    CHECK_FALSE(follower.acceptGeneration(2, start));
    const auto first = follower.next(start);
    REQUIRE(first);
    CHECK(first->isListing);
    CHECK(first->afterKey.empty());
    REQUIRE(follower.acceptGeneration(2, start));
    follower.onListing({5, true, {record("a", 3)}}, start);

    SECTION("the second restore is shown by a first page")
    {
        follower.restart(listing_reason::truncated, start);
        REQUIRE(follower.next(start)->afterKey.empty());
        CHECK(follower.acceptGeneration(3, start));
        CHECK(follower.onListing({4, false, {record("c", 1)}}, start).listedKeys == std::vector<std::string>{"c"});
        CHECK(follower.next(start + 1s)->from == 4);
    }
    SECTION("the listing goes on within a generation")
    {
        REQUIRE(follower.next(start)->afterKey == "a");
        REQUIRE(follower.acceptGeneration(2, start));
        const auto update = follower.onListing({6, false, {record("b", 5)}}, start);
        CHECK(update.listedKeys == std::vector<std::string>{"a", "b"});
        CHECK(follower.next(start + 1s)->from == 5);
    }
}
