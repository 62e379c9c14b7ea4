#include <masticlever/peers/catch-up.h>

#include <catch2/catch.hpp>

using namespace masticlever::peers;
using masticlever::common::instant;
using namespace std::chrono_literals;

TEST_CASE("an instance that is behind its peers requests records from one of them")
{
    const instant start = instant{} + 1h;
    catch_up catchUp({}, "self");
    catchUp.onApplied(10);
    catchUp.onPeer("a", 10, start);
    CHECK_FALSE(catchUp.next(start).has_value());
    catchUp.onPeer("a", 30, start);
    CHECK_FALSE(catchUp.next(start).has_value());

    SECTION("not while its own log reads may still catch up")
    {
        CHECK_FALSE(catchUp.next(start + 900ms).has_value());
        catchUp.onApplied(20);
        CHECK_FALSE(catchUp.next(start + 1100ms).has_value());
        CHECK(catchUp.next(start + 2100ms)->from == 21);
    }

    SECTION("immediately when the log is unreachable")
    {
        catchUp.onLogReachable(false);
        const auto request = catchUp.next(start);
        REQUIRE(request.has_value());
        CHECK(request->address == "a");
        CHECK(request->from == 11);
        CHECK_FALSE(catchUp.next(start).has_value());

        SECTION("and continues until it has all records")
        {
            catchUp.onApplied(20);
            catchUp.onAnswer(request->id, true, start);
            CHECK(catchUp.next(start)->from == 21);
        }

        SECTION("a peer whose request fails is avoided for a while")
        {
            catchUp.onPeer("b", 30, start);
            catchUp.onAnswer(request->id, false, start);
            CHECK(catchUp.next(start)->address == "b");
        }

        SECTION("a peer whose records cannot be applied is avoided for a while")
        {
            catchUp.onAnswer(request->id, true, start);
            CHECK_FALSE(catchUp.next(start + 4s).has_value());
            CHECK(catchUp.next(start + 5s).has_value());
        }

        SECTION("a request that times out goes to another peer and its late response is ignored")
        {
            catchUp.onPeer("b", 30, start);
            const auto second = catchUp.next(start + 3s);
            REQUIRE(second.has_value());
            CHECK(second->address == "b");
            catchUp.onAnswer(request->id, true, start + 3s);
            CHECK_FALSE(catchUp.next(start + 3s).has_value());
        }
    }

    SECTION("the report of a silent peer expires")
    {
        CHECK_FALSE(catchUp.next(start + 11s).has_value());
    }
}
