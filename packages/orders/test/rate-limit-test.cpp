#include <masticlever/orders/rate-limit.h>

#include <catch2/catch.hpp>

using namespace masticlever::orders;
using masticlever::common::instant;
using namespace std::chrono_literals;

TEST_CASE("rate limit: starts empty and refills up to its burst")
{
    const instant now = instant{} + 1h;
    rate_limit limit({0.5, 2});
    limit.restart(now);
    CHECK_FALSE(limit.take(now));
    CHECK(limit.take(now + 2s));
    CHECK_FALSE(limit.take(now + 3s));
    CHECK(limit.take(now + 60s));
    CHECK(limit.take(now + 60s));
    CHECK_FALSE(limit.take(now + 60s));
}
