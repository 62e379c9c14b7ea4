#include "service-pace.h"

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::frontend;
using namespace std::chrono_literals;

TEST_CASE("What follows a stage is expected from the requests before")
{
    service_pace pace({});
    catalog::route route;
    route.name = "chat";
    route.stages.resize(2);
    route.stages[0].service = "encode";
    route.stages[1].service = "rank";
    route.stages[1].after = {0};
    pace.onFirstAnswer("chat", 100ms);
    const auto delayOf = [](const std::string &) { return common::duration(250ms); };
    CHECK(pace.afterStage(route, 1, delayOf) == 100ms);
    CHECK(pace.afterStage(route, 0, delayOf) == 350ms);

    SECTION("as it is while it holds")
    {
        CHECK(pace.stretch("chat", 0) == 1.0);
        for (int i = 0; i < 100; ++i) {
            pace.onRest("chat", 0, i % 10 == 0 ? 400ms : 340ms, 350ms);
        }
        CHECK(pace.stretch("chat", 0) < 1.1);
    }
    SECTION("longer when most requests take longer, so that four of five are within it")
    {
        for (int i = 0; i < 400; ++i) {
            pace.onRest("chat", 0, 350ms + 7ms * (i * 7 % 20), 350ms); // 1.00 to 1.38 of it
        }
        CHECK(pace.stretch("chat", 0) == Approx(1.3).margin(0.1));
        CHECK(pace.stretch("chat", 1) == 1.0);
        CHECK(pace.stretch("note", 0) == 1.0);

        SECTION("and as before when the load has passed")
        {
            for (int i = 0; i < 100; ++i) {
                pace.onRest("chat", 0, 300ms, 350ms);
            }
            CHECK(pace.stretch("chat", 0) == 1.0);
        }
    }
    SECTION("within bounds: an overload makes all late, and must not make all hopeless")
    {
        for (int i = 0; i < 100; ++i) {
            pace.onRest("chat", 0, 5s, 350ms);
        }
        CHECK(pace.stretch("chat", 0) == 1.5);
    }
    SECTION("nothing is learnt without an expectation")
    {
        pace.onRest("chat", 0, 5s, {});
        CHECK(pace.stretch("chat", 0) == 1.0);
    }
}
