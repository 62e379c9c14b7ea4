#include <masticlever/routing/capacity.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace std::chrono_literals;

TEST_CASE("the bottleneck pool determines how many requests may be in flight")
{
    configuration::snapshot snapshot;
    const auto add = [&](const std::string &name, const std::string &pool, std::size_t slots) {
        snapshot.endpoints[name].spec.pool = pool;
        snapshot.endpoints[name].spec.address = name;
        snapshot.endpoints[name].spec.slots = slots;
    };
    add("ledger-1", "ledger", 4);
    add("engine-1", "engine", 8);
    add("engine-2", "engine", 8);
    configuration::pipeline_spec spec;
    spec.stages.resize(2);
    spec.stages[0].name = "lookup";
    spec.stages[0].pool = "ledger";
    spec.stages[1].name = "generate";
    spec.stages[1].pool = "engine";
    routing::router router({});
    router.update(snapshot, common::instant{1s});
    routing::stage_estimates estimates;
    const common::instant now{1s};
    const auto unknown = routing::capacityOf("advice", spec, estimates, router, now);
    CHECK_FALSE(unknown.usesServiceTimes);
    CHECK(unknown.inFlight == 16);
    CHECK(routing::instanceCapacity(unknown, 4) == Approx(6));

    for (int i = 0; i < 50; ++i) {
        estimates.onAnswered("advice", "lookup", 10ms);
        estimates.onAnswered("advice", "generate", 1s);
    }
    CHECK(routing::capacityOf("advice", spec, estimates, router, now).inFlight == Approx(16.2).epsilon(0.02));

    SECTION("an instance may exceed its equal share only while the pool has free slots")
    {
        const auto idle = routing::capacityOf("advice", spec, estimates, router, now);
        CHECK(routing::instanceCapacity(idle, 4) > 12);
        for (const std::string name : {"engine-1", "engine-2"}) {
            router.onLoadReport(name, 9, 0ms, now);
        }
        const auto full = routing::capacityOf("advice", spec, estimates, router, now);
        CHECK(full.utilisation > 1);
        CHECK(routing::instanceCapacity(full, 4) <= 4.1);
    }

    SECTION("the slots of a leaving endpoint do not count")
    {
        router.setLeaving("engine-2", true);
        CHECK(routing::capacityOf("advice", spec, estimates, router, now).inFlight == Approx(8.1).epsilon(0.02));
    }
}
