#include <masticlever/runs/learned-planner.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace std::chrono_literals;

TEST_CASE("a planner learns from answers and timeouts")
{
    configuration::pipeline_spec spec;
    spec.stages.resize(2);
    spec.stages[0].name = "lookup";
    spec.stages[1].name = "generate";
    spec.stages[1].streamed = true;
    runs::learned_planner planner;
    const runs::stage_ref lookup{"advice", spec, 0};
    const runs::stage_ref generate{"advice", spec, 1};

    SECTION("without samples a call may use all the time and is not hedged")
    {
        CHECK(planner.callTimeout(lookup, 4s) == 2s);
        CHECK_FALSE(planner.hedgeDelay(lookup).has_value());
        CHECK(planner.expectedFrom(lookup) == 0s);
    }

    SECTION("with samples calls end early enough to be tried elsewhere")
    {
        for (int i = 0; i < 50; ++i) {
            planner.onAnswered(lookup, 40ms, 40ms);
            planner.onAnswered(generate, 100ms, 1s);
        }
        CHECK(planner.callTimeout(lookup, 4s) < 120ms);
        CHECK(planner.callTimeout(generate, 4s) < 300ms);
        CHECK(planner.hedgeDelay(generate).value() < 150ms);
        CHECK(planner.expectedFrom(lookup) > 1s);

        SECTION("and later when calls time out")
        {
            for (int i = 0; i < 50; ++i) {
                planner.onAttemptTimeout(generate, 300ms);
            }
            CHECK(planner.callTimeout(generate, 4s) > 500ms);
        }
    }

    SECTION("retries are limited by pipeline and earned by answers")
    {
        const runs::stage_ref quotes{"quotes", spec, 0};
        int taken = 0;
        while (planner.takeRetry(lookup)) {
            ++taken;
        }
        CHECK(taken > 0);
        CHECK(planner.takeRetry(quotes));
        for (int i = 0; i < 20; ++i) {
            planner.onAnswered(lookup, 40ms, 40ms);
        }
        CHECK(planner.takeRetry(lookup));
    }
}
