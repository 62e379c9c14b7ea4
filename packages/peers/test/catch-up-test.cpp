#include <masticlever/peers/catch-up.h>

#include <catch2/catch.hpp>

using namespace masticlever::peers;
using masticlever::common::instant;
using namespace std::chrono_literals;

TEST_CASE("an instance that lags behind its peers asks one of them")
{
    const instant start = instant{} + 1h;
    catch_up decision({}, "self");
    decision.onApplied(10);
    decision.onPeer("a", 10, start);
    CHECK_FALSE(decision.next(start).has_value());
    decision.onPeer("a", 30, start);
    CHECK_FALSE(decision.next(start).has_value());

    SECTION("not while its own reads may still bring the records")
    {
        CHECK_FALSE(decision.next(start + 900ms).has_value());
        decision.onApplied(20);
        CHECK_FALSE(decision.next(start + 1100ms).has_value());
        CHECK(decision.next(start + 2100ms)->from == 21);
    }

    SECTION("at once when it cannot reach the log")
    {
        decision.onLogReachable(false);
        const auto request = decision.next(start);
        REQUIRE(request.has_value());
        CHECK(request->address == "a");
        CHECK(request->from == 11);
        CHECK_FALSE(decision.next(start).has_value());

        SECTION("and goes on until it has them all")
        {
            decision.onApplied(20);
            decision.onAnswer(request->id, true, start);
            CHECK(decision.next(start)->from == 21);
        }

        SECTION("a peer that fails is avoided for a while")
        {
            decision.onPeer("b", 30, start);
            decision.onAnswer(request->id, false, start);
            CHECK(decision.next(start)->address == "b");
        }

        SECTION("so is one whose records do not apply")
        {
            decision.onAnswer(request->id, true, start);
            CHECK_FALSE(decision.next(start + 4s).has_value());
            CHECK(decision.next(start + 5s).has_value());
        }

        SECTION("and one that does not answer, whose late answer is ignored")
        {
            decision.onPeer("b", 30, start);
            const auto second = decision.next(start + 3s);
            REQUIRE(second.has_value());
            CHECK(second->address == "b");
            decision.onAnswer(request->id, true, start + 3s);
            CHECK_FALSE(decision.next(start + 3s).has_value());
        }
    }

    SECTION("what a silent peer said is forgotten")
    {
        CHECK_FALSE(decision.next(start + 11s).has_value());
    }
}
