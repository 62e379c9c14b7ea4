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

/// Takes as many retries as there are.
std::size_t drain(retry_share &share, common::instant now)
{
    std::size_t taken = 0;
    while (share.take("desk", now)) {
        ++taken;
    }
    return taken;
}

} // namespace

TEST_CASE("An instance's share of the retries")
{
    retry_share share({ratio, slack, 10s, 0.5});
    share.onFleetSize(12);

    SECTION("is its part of the slack and a ratio of its own requests")
    {
        CHECK(drain(share, start) == 5);
        for (int i = 0; i < 100; ++i) {
            share.onRequest("desk", start);
        }
        CHECK(drain(share, start) == 10);
        CHECK_FALSE(share.isAvailable("desk", start));
        CHECK(share.isAvailable("other", start));
    }
    SECTION("comes back as the window moves on")
    {
        drain(share, start);
        CHECK_FALSE(share.take("desk", start + 9s));
        CHECK(share.take("desk", start + 10001ms));
    }
    SECTION("does not grow when others can no longer be heard")
    {
        share.onFleetSize(1);
        CHECK(drain(share, start) == 5);
    }
}

TEST_CASE("The fleet's retries stay within its budget while instances come, go and restart")
{
    // 18 instances, each restarted twice in one window: every life spends all that it has.
    constexpr std::size_t instances = 18;
    constexpr std::size_t requestsEach = 40;
    const std::size_t lives = GENERATE(1, 2);
    std::size_t total = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        for (std::size_t life = 0; life < lives; ++life) {
            retry_share share({ratio, slack, 10s, 0.5});
            share.onFleetSize(instances);
            for (std::size_t r = 0; r < requestsEach / lives; ++r) {
                share.onRequest("desk", start);
            }
            total += drain(share, start);
        }
    }
    const double budget = ratio * instances * requestsEach + slack;
    CHECK(static_cast<double>(total) <= budget);
}
