#include <masticlever/membership/rate-limits.h>

#include <catch2/catch.hpp>

#include <limits>

using namespace masticlever::membership;
using namespace std::chrono_literals;
using masticlever::common::instant;

namespace
{

const instant start(1h);

std::optional<double> rateOf(const rate_limit_table &table, std::uint64_t startedAtMs = 7)
{
    const auto found = table.find("e1", startedAtMs);
    return found ? std::optional(found->rate) : std::nullopt;
}

} // namespace

TEST_CASE("A rate limit holds for as long as the endpoint states it")
{
    rate_limit_table table({});
    table.onAnswer("e1", 7, std::nullopt, start, start);
    CHECK(table.notices(start).empty());
    table.onAnswer("e1", 7, 2.0, start, start + 1s);
    CHECK(rateOf(table) == 2.0);
    CHECK(table.limitedCount() == 1);
    CHECK(table.takeChanges().size() == 1);

    SECTION("a lower rate applies at once")
    {
        table.onAnswer("e1", 7, 1.0, start, start + 2s);
        CHECK(rateOf(table) == 1.0);
    }
    SECTION("a higher rate applies if the request was sent after the limit was last confirmed")
    {
        table.onAnswer("e1", 7, 5.0, start + 1s, start + 2s);
        CHECK(rateOf(table) == 2.0);
        table.onAnswer("e1", 7, 5.0, start + 1100ms, start + 2s);
        CHECK(rateOf(table) == 5.0);
    }
    SECTION("an answer without a limit that crossed one with a limit does not end it")
    {
        table.onAnswer("e1", 7, 2.0, start, start + 2s);
        table.onAnswer("e1", 7, std::nullopt, start + 1500ms, start + 2100ms);
        CHECK(rateOf(table) == 2.0);
        table.onAnswer("e1", 7, std::nullopt, start + 2200ms, start + 2300ms);
        CHECK_FALSE(rateOf(table).has_value());
        const auto changes = table.takeChanges();
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().former == 2.0);
        CHECK_FALSE(changes.front().rate.has_value());
    }
    SECTION("a new incarnation starts without one")
    {
        CHECK_FALSE(rateOf(table, 8).has_value());
        table.onAnswer("e1", 8, 3.0, start + 2s, start + 3s);
        CHECK(rateOf(table, 8) == 3.0);
        table.onAnswer("e1", 7, 1.0, start + 2s, start + 4s);
        CHECK(rateOf(table, 8) == 3.0);
    }
    SECTION("it is removed when no answer has confirmed it for minutes")
    {
        table.advance(start + 4min);
        CHECK(rateOf(table) == 2.0);
        table.advance(start + 7min);
        CHECK(table.notices(start + 7min).empty());
    }
}

TEST_CASE("Instances that tell each other their rate limits agree")
{
    rate_limit_table first({});
    rate_limit_table second({});
    const auto exchange = [&](instant now) {
        for (const auto &notice : first.notices(now)) {
            second.onNotice(notice, now);
        }
        for (const auto &notice : second.notices(now)) {
            first.onNotice(notice, now);
        }
    };
    first.onAnswer("e1", 7, 2.0, start, start + 1s);
    exchange(start + 2s);
    CHECK(rateOf(second) == 2.0);
    CHECK(second.find("e1", 7)->confirmedAt == start + 1s);
    const auto changes = second.takeChanges();
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().isFromPeer);
    CHECK(changes.front().age == 1s);

    SECTION("on the end of a limit that only one of them has seen")
    {
        second.onAnswer("e1", 7, std::nullopt, start + 2s, start + 3s);
        exchange(start + 4s);
        CHECK_FALSE(rateOf(first).has_value());
        CHECK_FALSE(rateOf(second).has_value());
    }
    SECTION("on the lower rate if both have seen different changes")
    {
        first.onAnswer("e1", 7, 4.0, start + 2s, start + 3s);
        second.onAnswer("e1", 7, std::nullopt, start + 2s, start + 3s);
        exchange(start + 4s);
        CHECK(rateOf(first) == 4.0);
        CHECK(rateOf(second) == 4.0);
    }
    SECTION("on the newer change, whatever order the notices arrive in")
    {
        const auto former = first.notices(start + 2s);
        second.onAnswer("e1", 7, std::nullopt, start + 2s, start + 3s);
        exchange(start + 3s);
        for (const auto &notice : former) {
            first.onNotice(notice, start + 4s);
        }
        CHECK_FALSE(rateOf(first).has_value());
    }
    SECTION("and a later confirmation by either keeps it")
    {
        first.onAnswer("e1", 7, 2.0, start, start + 10s);
        exchange(start + 11s);
        CHECK(second.find("e1", 7)->confirmedAt == start + 10s);
    }
}

TEST_CASE("The number of rate limits that are kept is bounded")
{
    rate_limit_options options;
    options.maximumEntries = 3;
    rate_limit_table table(options);
    for (int i = 0; i < 10; ++i) {
        table.onAnswer("e" + std::to_string(i), 7, 1.0, start, start + 1s);
        table.onNotice({"p" + std::to_string(i), 7, 1, 1.0, 0, 0}, start + 1s);
    }
    CHECK(table.limitedCount() == 3);
    CHECK(table.takeChanges().size() == 3);
}

TEST_CASE("A limit that no answer confirms ages, however often instances report it to each other")
{
    rate_limit_table first({});
    rate_limit_table second({});
    constexpr auto transit = 150ms;
    instant now = start;
    const auto exchangeFor = [&](std::chrono::seconds length) {
        for (const instant end = now + length; now < end; now += 400ms) {
            const auto fromFirst = first.notices(now);
            first.advance(now);
            second.advance(now);
            for (const auto &notice : fromFirst) {
                second.onNotice(notice, now + transit);
            }
            for (const auto &notice : second.notices(now + transit)) {
                first.onNotice(notice, now + 2 * transit);
            }
        }
    };
    first.onAnswer("e1", 7, 2.0, start, start);
    exchangeFor(20s);
    REQUIRE(first.find("e1", 7).has_value());
    REQUIRE(second.find("e1", 7).has_value());
    CHECK(now - first.find("e1", 7)->confirmedAt >= 19s);
    CHECK(now - second.find("e1", 7)->confirmedAt >= 19s);

    SECTION("until an answer to either confirms it")
    {
        second.onAnswer("e1", 7, 2.0, now - 1s, now);
        const instant confirmed = now;
        exchangeFor(1s);
        CHECK(first.find("e1", 7)->confirmedAt >= confirmed);
        CHECK(first.find("e1", 7)->confirmedAt <= confirmed + transit);
    }
    SECTION("and is forgotten by all of them")
    {
        exchangeFor(400s);
        CHECK(first.notices(now).empty());
        CHECK(second.notices(now).empty());
        CHECK_FALSE(first.find("e1", 7).has_value());
        CHECK_FALSE(second.find("e1", 7).has_value());
    }
    SECTION("as is its end")
    {
        second.onAnswer("e1", 7, std::nullopt, now, now);
        exchangeFor(100s);
        CHECK(first.notices(now).empty());
        CHECK(second.notices(now).empty());
    }
}
