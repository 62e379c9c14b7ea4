#include <masticlever/runs/learned-planner.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace std::chrono_literals;

TEST_CASE("learned planner: estimates follow answers and timeouts")
{
    configuration::pipeline_spec spec;
    spec.stages.resize(2);
    spec.stages[0].name = "lookup";
    spec.stages[1].name = "generate";
    spec.stages[1].streamed = true;
    runs::learned_planner planner;
    const runs::stage_ref lookup{"advice", spec, 0};
    const runs::stage_ref generate{"advice", spec, 1};

    SECTION("without samples a call may use its whole share of the time and is not hedged")
    {
        CHECK(planner.callTimeout(lookup, 4s) == 2s);
        CHECK_FALSE(planner.hedgeDelay(lookup).has_value());
        CHECK(planner.expectedFrom(lookup) == 0s);
    }

    SECTION("with samples the timeout leaves time for a retry")
    {
        for (int i = 0; i < 50; ++i) {
            planner.onAnswered(lookup, 40ms, 40ms);
            planner.onAnswered(generate, 100ms, 1s);
        }
        CHECK(planner.callTimeout(lookup, 4s) < 120ms);
        CHECK(planner.callTimeout(generate, 4s) < 300ms);
        CHECK(planner.hedgeDelay(generate).value() < 150ms);
        CHECK(planner.expectedFrom(lookup) > 1s);

        SECTION("the timeout grows when calls time out")
        {
            for (int i = 0; i < 50; ++i) {
                planner.onAttemptTimeout(generate, 300ms);
            }
            CHECK(planner.callTimeout(generate, 4s) > 500ms);
        }
    }

    SECTION("each pipeline has a retry budget, refilled by answers")
    {
        const runs::stage_ref quotes{"quotes", spec, 0};
        int retries = 0;
        while (planner.takeRetry(lookup)) {
            ++retries;
        }
        CHECK(retries > 0);
        CHECK(planner.takeRetry(quotes));
        for (int i = 0; i < 20; ++i) {
            planner.onAnswered(lookup, 40ms, 40ms);
        }
        CHECK(planner.takeRetry(lookup));
    }
}
