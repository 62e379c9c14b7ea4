#include "store-probe-pace.h"

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

/// Calls of a whole fleet to a store that answers none, by second.
std::map<long, std::size_t> playOutage(std::size_t instances, common::duration length)
{
    std::map<long, std::size_t> calls;
    for (std::size_t i = 0; i < instances; ++i) {
        const store_probe_pace pace({}, common::stableHash("instance-" + std::to_string(i)));
        common::instant calledAt = start;
        for (common::instant next = pace.nextAfter(calledAt, instances); next < start + length;
             next = pace.nextAfter(calledAt, instances)) {
            REQUIRE(next > calledAt);
            calledAt = next;
            ++calls[std::chrono::duration_cast<std::chrono::seconds>(calledAt - start).count()];
        }
    }
    return calls;
}

} // namespace

TEST_CASE("A fleet's calls to a store that nobody reaches do not grow with the fleet")
{
    const std::size_t instances = GENERATE(30, 195, 340);
    const auto calls = playOutage(instances, 60s);
    CHECK(calls.count(0) + calls.count(1) <= 2); // an instance has just asked
    for (long second = 8; second < 60; ++second) {
        // One every 80 ms on average; instances are spread at random.
        CHECK(calls.count(second) == 1);
        CHECK(calls.at(second) <= 25);
        CHECK(calls.at(second) >= 2);
    }
}

TEST_CASE("An instance that is alone asks as often as its follower wants")
{
    const store_probe_pace pace({}, 7);
    CHECK(pace.nextAfter(start, 1) <= start + 100ms);
}
