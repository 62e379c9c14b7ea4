#include "latency-estimator.h"

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::frontend;
using namespace std::chrono_literals;

TEST_CASE("The time after a stage is estimated from earlier requests")
{
    latency_estimator estimator({});
    catalog::route route;
    route.name = "chat";
    route.stages.resize(2);
    route.stages[0].service = "encode";
    route.stages[1].service = "rank";
    route.stages[1].after = {0};
    estimator.onFirstAnswer("chat", 100ms);
    const auto delayOf = [](const std::string &) { return common::duration(250ms); };
    CHECK(estimator.remainingAfterStage(route, 1, delayOf) == 100ms);
    CHECK(estimator.remainingAfterStage(route, 0, delayOf) == 350ms);

    SECTION("apart from the time to the end of the answer")
    {
        estimator.onAnswered("chat", 900ms);
        CHECK(estimator.expectedAnswer("chat") == 900ms);
        CHECK(estimator.expectedFirstAnswer("chat") == 100ms);
        estimator.onAnswered("chat", 1900ms);
        CHECK(estimator.expectedAnswer("chat") == 1000ms);
    }
    SECTION("no correction while most requests stay within the estimate")
    {
        CHECK(estimator.correctionFactor("chat", 0) == 1.0);
        for (int i = 0; i < 100; ++i) {
            estimator.onRemainingTime("chat", 0, i % 10 == 0 ? 400ms : 340ms, 350ms);
        }
        CHECK(estimator.correctionFactor("chat", 0) < 1.1);
    }
    SECTION("most requests take longer: the correction rises until four of five are within the estimate")
    {
        for (int i = 0; i < 400; ++i) {
            estimator.onRemainingTime("chat", 0, 350ms + 7ms * (i * 7 % 20), 350ms); // 1.00 to 1.38 times the estimate
        }
        CHECK(estimator.correctionFactor("chat", 0) == Approx(1.3).margin(0.1));
        CHECK(estimator.correctionFactor("chat", 1) == 1.0);
        CHECK(estimator.correctionFactor("note", 0) == 1.0);

        SECTION("and returns to 1 when the load has passed")
        {
            for (int i = 0; i < 100; ++i) {
                estimator.onRemainingTime("chat", 0, 300ms, 350ms);
            }
            CHECK(estimator.correctionFactor("chat", 0) == 1.0);
        }
    }
    SECTION("the correction is limited, so that an overload does not make the queues drop every piece")
    {
        for (int i = 0; i < 100; ++i) {
            estimator.onRemainingTime("chat", 0, 5s, 350ms);
        }
        CHECK(estimator.correctionFactor("chat", 0) == 1.5);
    }
    SECTION("nothing is recorded without an estimate")
    {
        estimator.onRemainingTime("chat", 0, 5s, {});
        CHECK(estimator.correctionFactor("chat", 0) == 1.0);
    }
}
