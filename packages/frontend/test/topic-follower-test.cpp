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

TEST_CASE("A topic is listed, then followed from where the list began")
{
    topic_follower follower({});
    const auto listing = follower.next(start);
    REQUIRE(listing);
    CHECK(listing->isListing);
    CHECK_FALSE(follower.next(start).has_value()); // one call at a time

    const auto first = follower.onListing({10, true, {record("a", 3)}}, start);
    CHECK(first.records.size() == 1);
    CHECK_FALSE(first.isWholeListing);
    CHECK(follower.next(start)->afterKey == "a");
    const auto second = follower.onListing({14, false, {record("b", 12)}}, start);
    CHECK(second.isWholeListing);
    CHECK(second.listedKeys == std::vector<std::string>{"a", "b"});
    CHECK(follower.hasListed());

    CHECK_FALSE(follower.next(start + 999ms).has_value());
    const auto read = follower.next(start + 1s);
    REQUIRE(read);
    CHECK_FALSE(read->isListing);
    CHECK(read->from == 10); // pages are not a snapshot: what was written between them is read again

    SECTION("and goes on after what was read")
    {
        follower.onRecords({15, {record("c", 14)}}, start + 1s);
        CHECK(follower.next(start + 2s)->from == 15);
    }
    SECTION("a store that answers with an older end does not move the position back")
    {
        follower.onRecords({4, {}}, start + 1s);
        CHECK(follower.next(start + 2s)->from == 10);
    }
    SECTION("failures are tried again after growing pauses")
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
            CHECK(follower.next(start + 2s + 800ms).has_value()); // the longest pause
        }
    }
    SECTION("records that are no longer kept are listed anew")
    {
        follower.onTruncated(start + 1s);
        CHECK(follower.next(start + 1s)->isListing);
    }
    SECTION("nothing is read while another instance reads for this one")
    {
        follower.onRecords({10, {}}, start + 1s);
        follower.defer(start + 3s);
        CHECK_FALSE(follower.next(start + 2999ms).has_value());
        CHECK(follower.next(start + 3s).has_value());
    }
    SECTION("hurried reads keep a distance")
    {
        follower.onRecords({10, {}}, start + 1s);
        follower.hurry(start + 1s);
        CHECK_FALSE(follower.next(start + 1100ms).has_value());
        CHECK(follower.next(start + 1200ms).has_value());
    }
    SECTION("news of something newer hurries the next read")
    {
        follower.onRecords({10, {}}, start + 1s);
        follower.hurry(start + 1500ms);
        CHECK(follower.next(start + 1500ms).has_value());
    }
}

TEST_CASE("A read that waits at the store is repeated at once and given more time")
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

TEST_CASE("A topic that is read for others is read often, without waiting at the store")
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
    CHECK(follower.isAnsweredWithin(400ms, start + 1400ms));

    SECTION("an answer that does not come makes it old")
    {
        CHECK_FALSE(follower.isAnsweredWithin(400ms, start + 1401ms));
        follower.onFailure(start + 1401ms);
        CHECK_FALSE(follower.isAnsweredWithin(400ms, start + 1401ms));
    }
    SECTION("and waits again when nobody depends on it")
    {
        follower.onRecords({10, {}}, start + 1400ms);
        follower.setPolling(false);
        CHECK(follower.next(start + 1800ms)->wait == 8s);
    }
}

TEST_CASE("What is known to be new is read at once, also while another instance reads the topic")
{
    topic_follower follower({});
    REQUIRE(follower.next(start));
    follower.onListing({10, false, {record("a", 3)}}, start);
    follower.defer(start + 2s);
    CHECK_FALSE(follower.next(start + 1s));

    follower.hurry(start + 1s);
    follower.defer(start + 3s);
    REQUIRE(follower.next(start + 1s));

    SECTION("and again after a failure")
    {
        follower.onFailure(start + 1s);
        follower.defer(start + 3s);
        CHECK(follower.next(start + 1100ms));
    }
    SECTION("until it has been read")
    {
        follower.onRecords({11, {record("b", 10)}}, start + 1s);
        follower.defer(start + 3s);
        CHECK_FALSE(follower.next(start + 2900ms));
        CHECK(follower.next(start + 3s));
    }
}

TEST_CASE("A topic that another instance may read for this one is not read right after its listing")
{
    topic_follower_options options;
    options.wait = 8s;
    options.settleTime = 1200ms;
    topic_follower follower(options);
    REQUIRE(follower.next(start));
    follower.onListing({10, false, {}}, start);
    CHECK_FALSE(follower.next(start + 1199ms).has_value());
    REQUIRE(follower.next(start + 1200ms).has_value());
}

TEST_CASE("A store that no instance reaches is asked when it is this one's turn")
{
    topic_follower follower({});
    REQUIRE(follower.next(start));
    follower.onListing({10, false, {}}, start);
    REQUIRE(follower.next(start + 1s));

    SECTION("not sooner, not even when hurried")
    {
        follower.onFailure(start + 1s);
        follower.holdRetry(start + 6s);
        follower.hurry(start + 2s);
        follower.holdRetry(start + 6s);
        CHECK_FALSE(follower.next(start + 5s).has_value());
        CHECK(follower.next(start + 6s).has_value());
    }
    SECTION("at once when it is not held any more and was hurried")
    {
        follower.onFailure(start + 1s);
        follower.holdRetry(start + 6s);
        follower.hurry(start + 3s);
        CHECK(follower.next(start + 3s).has_value());
    }
    SECTION("a store that answers is not concerned")
    {
        follower.onRecords({11, {}}, start + 1s);
        follower.holdRetry(start + 6s);
        CHECK(follower.next(start + 2s).has_value());
    }
}

TEST_CASE("A store that is back is asked in a moment, unless another instance has read by then")
{
    topic_follower follower({});
    REQUIRE(follower.next(start));
    follower.onListing({10, false, {}}, start);
    REQUIRE(follower.next(start + 1s));
    follower.onFailure(start + 1s);
    follower.holdRetry(start + 9s);
    follower.expect(start + 3s);
    CHECK_FALSE(follower.next(start + 2900ms).has_value());

    SECTION("it has not")
    {
        CHECK(follower.next(start + 3s).has_value());
    }
    SECTION("it has")
    {
        follower.defer(start + 4s);
        CHECK_FALSE(follower.next(start + 3900ms).has_value());
    }
}
