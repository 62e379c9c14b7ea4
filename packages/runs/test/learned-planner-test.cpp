#include <masticlever/runs/learned-planner.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace std::chrono_literals;

TEST_CASE("a planner learns from answers and timeouts")
{
    configuration::snapshot snapshot;
    auto &spec = snapshot.pipelines["advice"].spec;
    spec.stages.resize(2);
    spec.stages[0].name = "lookup";
    spec.stages[1].name = "generate";
    spec.stages[1].streamed = true;
    runs::learned_planner planner;
    planner.update(snapshot);
    const runs::stage_ref lookup{"advice", 0, 2};
    const runs::stage_ref generate{"advice", 1, 2};

    SECTION("without samples a call may use all the time and is not hedged")
    {
        CHECK(planner.callTimeout(lookup, 4s) == 4s);
        CHECK_FALSE(planner.hedgeDelay(lookup).has_value());
        CHECK(planner.expectedFrom(lookup) == 0s);
    }

    SECTION("a pipeline or stage that is not configured has no estimates")
    {
        CHECK(planner.callTimeout({"quotes", 0, 1}, 4s) == 4s);
        CHECK(planner.expectedFrom({"advice", 7, 2}) == 0s);
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
                planner.onTimedOut(generate, 300ms);
            }
            CHECK(planner.callTimeout(generate, 4s) > 500ms);
        }
    }

    SECTION("retries are limited by pipeline")
    {
        int taken = 0;
        while (planner.takeRetry("advice", 0.5)) {
            ++taken;
        }
        CHECK(taken > 0);
        CHECK(planner.takeRetry("quotes", 0.5));
        planner.onSuccess("advice", 0.5);
        planner.onSuccess("advice", 0.5);
        CHECK(planner.takeRetry("advice", 0.5));
    }
}
