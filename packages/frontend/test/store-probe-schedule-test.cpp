#include "store-probe-schedule.h"

#include <masticlever/common/digest.h>

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace masticlever;
using namespace masticlever::frontend;
using namespace std::chrono_literals;

namespace
{

const common::instant start{1000s};

/// Returns the number of calls per second that a whole fleet makes to a store that does not answer.
std::map<long, std::size_t> simulateOutage(std::size_t instances, common::duration length)
{
    std::map<long, std::size_t> calls;
    for (std::size_t i = 0; i < instances; ++i) {
        const store_probe_schedule schedule({}, common::stableHash("instance-" + std::to_string(i)));
        common::instant calledAt = start;
        for (common::instant next = schedule.nextAfter(calledAt, instances); next < start + length;
             next = schedule.nextAfter(calledAt, instances)) {
            REQUIRE(next > calledAt);
            calledAt = next;
            ++calls[std::chrono::duration_cast<std::chrono::seconds>(calledAt - start).count()];
        }
    }
    return calls;
}

} // namespace

TEST_CASE("The rate of calls to an unreachable store does not grow with the fleet")
{
    const std::size_t instances = GENERATE(30, 195, 340);
    const auto calls = simulateOutage(instances, 60s);
    CHECK(calls.count(0) + calls.count(1) <= 2); // every instance has just made a call
    for (long second = 8; second < 60; ++second) {
        // One call every 80 ms on average; the instances are spread by hash.
        CHECK(calls.count(second) == 1);
        CHECK(calls.at(second) <= 25);
        CHECK(calls.at(second) >= 2);
    }
}

TEST_CASE("The probe schedule hardly delays the calls of a single instance")
{
    const store_probe_schedule schedule({}, 7);
    CHECK(schedule.nextAfter(start, 1) <= start + 100ms);
}
