#include <masticlever/routing/retry-budget.h>

#include <catch2/catch.hpp>

using namespace masticlever;

TEST_CASE("retries are paid for by successes")
{
    routing::retry_budget budget({.perSuccess = 0.5, .capacity = 2});
    configuration::stage_spec lookup;
    CHECK(budget.take(lookup));
    CHECK(budget.take(lookup));

    SECTION("an exhausted budget gives nothing until calls are answered")
    {
        CHECK_FALSE(budget.take(lookup));
        budget.onSuccess();
        CHECK_FALSE(budget.take(lookup));
        budget.onSuccess();
        CHECK(budget.take(lookup));
    }

    SECTION("a long run of successes keeps no more than the capacity")
    {
        for (int i = 0; i < 100; ++i) {
            budget.onSuccess();
        }
        CHECK(budget.tokens() == Approx(2));
    }

    SECTION("a stage that is not repeatable never gets a token")
    {
        budget.refund();
        configuration::stage_spec booking;
        booking.repeatable = false;
        CHECK_FALSE(budget.take(booking));
        CHECK(budget.take(lookup));
    }
}
