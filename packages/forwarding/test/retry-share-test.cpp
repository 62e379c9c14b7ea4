#include <masticlever/forwarding/retry-share.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace masticlever;
using namespace masticlever::forwarding;
using namespace std::chrono_literals;

namespace
{

const common::instant start{1000s};
constexpr double ratio = 0.2;
constexpr double slack = 120;

/// Takes retries until none is left.
std::size_t takeAll(retry_share &share, common::instant now)
{
    std::size_t taken = 0;
    while (share.take("desk", now)) {
        ++taken;
    }
    return taken;
}

} // namespace

TEST_CASE("An instance's share of the retry budget")
{
    retry_share share({ratio, slack, 10s, 0.5});
    share.onFleetSize(12);

    SECTION("consists of a part of the slack and a ratio of its own requests")
    {
        CHECK(takeAll(share, start) == 5);
        for (int i = 0; i < 100; ++i) {
            share.onRequest("desk", start);
        }
        CHECK(takeAll(share, start) == 10);
        CHECK_FALSE(share.isAvailable("desk", start));
        CHECK(share.isAvailable("other", start));
    }
    SECTION("is replenished as the window moves on")
    {
        takeAll(share, start);
        CHECK_FALSE(share.take("desk", start + 9s));
        CHECK(share.take("desk", start + 10001ms));
    }
    SECTION("does not grow when other instances become unreachable")
    {
        share.onFleetSize(1);
        CHECK(takeAll(share, start) == 5);
    }
}

TEST_CASE("The fleet's retries stay within the budget when instances restart")
{
    // Each of 18 instances runs once or twice within one window, and each run takes all retries of its share.
    constexpr std::size_t instances = 18;
    constexpr std::size_t requestsEach = 40;
    const std::size_t runsPerInstance = GENERATE(1, 2);
    std::size_t total = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        for (std::size_t run = 0; run < runsPerInstance; ++run) {
            retry_share share({ratio, slack, 10s, 0.5});
            share.onFleetSize(instances);
            for (std::size_t r = 0; r < requestsEach / runsPerInstance; ++r) {
                share.onRequest("desk", start);
            }
            total += takeAll(share, start);
        }
    }
    const double budget = ratio * instances * requestsEach + slack;
    CHECK(static_cast<double>(total) <= budget);
}
