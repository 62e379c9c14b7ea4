#include "registration-keeper.h"

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
    made.bornMs = 1;
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

follow_news written(std::vector<std::string> ids)
{
    follow_news news;
    for (std::string &id : ids) {
        news.records.push_back({0, std::move(id), "registration"});
    }
    return news;
}

follow_news removed(std::string id)
{
    follow_news news;
    news.records.push_back({0, std::move(id), std::nullopt});
    return news;
}

} // namespace

TEST_CASE("An instance's belief of the endpoints")
{
    catalog::endpoint_directory directory({});
    registration_keeper keeper(directory, readRecord);
    keeper.onStoreReach(true, start);
    keeper.onRead(written({"a", "b"}), start);
    REQUIRE(keeper.confirmed()->size() == 2);

    SECTION("a record that cannot be read leaves the others")
    {
        follow_news news = written({"c"});
        news.records.push_back({0, "d", "garbage"});
        keeper.onRead(news, start);
        CHECK(directory.findUsable("c") != nullptr);
        CHECK(directory.findUsable("d") == nullptr);
    }
    SECTION("after an outage in which an endpoint has left")
    {
        keeper.onStoreReach(false, start + 1s);
        CHECK_FALSE(keeper.isStoreAway(start + 1s));
        CHECK(keeper.isStoreAway(start + 2s));
        CHECK_FALSE(keeper.confirmed());
        CHECK(keeper.onStoreReach(true, start + 6s));
        keeper.onRead(removed("b"), start + 6s);

        SECTION("it is kept until endpoints have had the time to register again")
        {
            CHECK(directory.findUsable("b") != nullptr);
            keeper.advance(start + 8100ms);
            CHECK(directory.findUsable("b") == nullptr);
        }
        SECTION("the others are not told to take it back while it is kept")
        {
            REQUIRE(keeper.confirmed());
            REQUIRE(keeper.confirmed()->size() == 1);
            CHECK(keeper.confirmed()->front().id == "a");
            keeper.advance(start + 7900ms);
            CHECK(keeper.confirmed()->size() == 1);
            keeper.advance(start + 8100ms);
            CHECK(keeper.confirmed()->size() == 1);
        }
        SECTION("nor is one that registers again in that time withheld from them")
        {
            keeper.onRead(written({"b"}), start + 7s);
            CHECK(keeper.confirmed()->size() == 2);
        }
    }
    SECTION("what another instance tells replaces reads of the store")
    {
        const auto toldUntil = start + 5s;
        CHECK(keeper.mayDeferRead(toldUntil, start + 1s));
        CHECK_FALSE(keeper.mayDeferRead(toldUntil, start + 5s));

        SECTION("but not when an own call has failed, as an endpoint would be kept that has left")
        {
            // The waiting call for the configuration was reset; the next answer to it may be 8 s away.
            keeper.onStoreReach(false, start + 1s);
            keeper.onTold({1, {}, true, false, {}, {"b"}}, start + 1100ms);
            CHECK(directory.findUsable("b") != nullptr);
            CHECK_FALSE(keeper.mayDeferRead(toldUntil, start + 1100ms));
            // The read that follows at once settles it.
            keeper.onStoreReach(true, start + 1200ms);
            keeper.advance(start + 1200ms);
            CHECK(directory.findUsable("b") == nullptr);
            CHECK(keeper.mayDeferRead(toldUntil, start + 1200ms));
        }
    }
}
