#include <masticlever/routing/stage-estimates.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace std::chrono_literals;

namespace
{

configuration::pipeline_spec adviceSpec()
{
    configuration::pipeline_spec spec;
    spec.stages.resize(3);
    spec.stages[0].name = "encode";
    spec.stages[1].name = "rerank";
    spec.stages[2].name = "generate";
    spec.stages[2].streamed = true;
    return spec;
}

} // namespace

TEST_CASE("a deadline is divided by the past durations of stages")
{
    const auto spec = adviceSpec();
    routing::stage_estimates estimates;

    SECTION("a stage may use all remaining time while there are no estimates")
    {
        CHECK(estimates.budgetFor("advice", spec, 0, 4s) == 4s);
        CHECK(estimates.expectedRemaining("advice", spec, 0) == 0s);
        CHECK(estimates.hedgeDelay("advice", spec.stages[0]) == common::duration::max());
        CHECK(estimates.attemptTimeout("advice", spec.stages[0], 4s) == 2s);
    }

    SECTION("with estimates for every stage")
    {
        for (int i = 0; i < 100; ++i) {
            estimates.onAnswered("advice", "encode", 20ms);
            estimates.onAnswered("advice", "rerank", i < 90 ? 50ms : 200ms);
            estimates.onAnswered("advice", "generate", 1s);
            estimates.onFirstToken("advice", "generate", 100ms);
        }
        SECTION("time is reserved for later stages")
        {
            const auto budget = estimates.budgetFor("advice", spec, 0, 4s);
            CHECK(budget < 3s);
            CHECK(budget > 2700ms);
            CHECK(estimates.budgetFor("advice", spec, 2, 500ms) == 500ms);
        }
        SECTION("a stage gets its share when the remaining time is too short for all")
        {
            const auto budget = estimates.budgetFor("advice", spec, 1, 200ms);
            CHECK(budget > 5ms);
            CHECK(budget < 20ms);
        }
        SECTION("a slow call is hedged at the estimated quantile and given up later")
        {
            CHECK(estimates.hedgeDelay("advice", spec.stages[1]) >= 200ms);
            CHECK(estimates.hedgeDelay("advice", spec.stages[2]) < 120ms);
            CHECK(estimates.attemptTimeout("advice", spec.stages[2], 4s) < 300ms);
            CHECK(estimates.attemptTimeout("advice", spec.stages[2], 150ms) == 150ms);
            CHECK(estimates.firstToken("advice", "generate") >= 100ms);
        }
        SECTION("pipelines with the same stages have separate estimates")
        {
            CHECK(estimates.expectedRemaining("quotes", spec, 0) == 0s);
        }
        SECTION("calls that were given up raise the estimates of a slow stage")
        {
            for (int i = 0; i < 400; ++i) {
                estimates.onAttemptTimeout("advice", spec.stages[0], 300ms);
            }
            CHECK(estimates.expectedRemaining("advice", spec, 0) > 1300ms);
        }
    }
}
