#include <masticlever/routing/retry-budget.h>

#include <catch2/catch.hpp>

using namespace masticlever;

TEST_CASE("successful calls add to the retry budget")
{
    routing::retry_budget budget({.tokensPerSuccess = 0.5, .capacity = 2});
    configuration::stage_spec repeatableStage;
    CHECK(budget.take(repeatableStage));
    CHECK(budget.take(repeatableStage));

    SECTION("an exhausted budget refills only by answered calls")
    {
        CHECK_FALSE(budget.take(repeatableStage));
        budget.onSuccess();
        CHECK_FALSE(budget.take(repeatableStage));
        budget.onSuccess();
        CHECK(budget.take(repeatableStage));
    }

    SECTION("the number of tokens never exceeds the capacity")
    {
        for (int i = 0; i < 100; ++i) {
            budget.onSuccess();
        }
        CHECK(budget.tokens() == Approx(2));
    }

    SECTION("a stage that is not repeatable never gets a token")
    {
        budget.refund();
        configuration::stage_spec singleStage;
        singleStage.repeatable = false;
        CHECK_FALSE(budget.take(singleStage));
        CHECK(budget.take(repeatableStage));
    }
}
