#include <masticlever/stages/pace-filter.h>

#include <catch2/catch.hpp>

#include <random>

using namespace masticlever;
using namespace masticlever::stages;
using namespace std::chrono_literals;

// Guards against choices that follow every fluctuation of the reports, or that lag behind a lasting change.
TEST_CASE("The reported pace is smoothed over about a second")
{
    pace_filter filter({});
    common::instant now{1000s};
    CHECK(filter.pace(now) == 1);
    const auto seed = GENERATE(1u, 2u, 3u);
    std::mt19937 random(seed);
    const auto report = [&](double pace, common::duration time) {
        for (const common::instant until = now + time; now < until;) {
            now += std::chrono::milliseconds(20 + random() % 60);
            filter.onReport(pace * (random() % 2 == 0 ? 1.3 : 0.7), now);
        }
    };
    report(1, 3s);
    CHECK(filter.pace(now) == Approx(1).epsilon(0.2));
    report(2, 1s);
    CHECK(filter.pace(now) == Approx(2).epsilon(0.25));

    SECTION("and returns to 1 without reports")
    {
        CHECK(filter.pace(now + 1s) == filter.pace(now));
        CHECK(filter.pace(now + 9s) < 1.1);
    }
    SECTION("and is bounded")
    {
        filter.onReport(1e9, now + 10s);
        CHECK(filter.pace(now + 10s) <= 4);
    }
}
