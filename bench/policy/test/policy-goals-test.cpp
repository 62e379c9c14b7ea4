#include "scenario.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace masticlever::policy_bench;

namespace
{

measurement at(const deployment &where, double load, fault_kind fault)
{
    const measurement result = runScenario({.where = &where, .load = load, .fault = fault});
    INFO(where.name << " load " << load << " fault " << faultName(fault) << " attainment " << result.attainment);
    return result;
}

void holdsGoalsUnderLoad(const deployment &where)
{
    double best = 0;
    for (const double load : {0.5, 0.7}) {
        const measurement quiet = at(where, load, fault_kind::none);
        CAPTURE(where.name, load);
        CHECK(quiet.attainment >= 0.999);
        CHECK(quiet.callsPerAnswer <= 1.02);
        best = std::max(best, quiet.goodput);
    }
    for (const double load : {0.9, 1.2}) {
        best = std::max(best, at(where, load, fault_kind::none).goodput);
    }
    const measurement flooded = at(where, 2.0, fault_kind::none);
    CHECK(flooded.goodput >= 0.95 * best);
    CHECK(flooded.smallTeams >= 0.99);
    CHECK(flooded.lateRefusals == Approx(0).margin(0.0001));
}

void holdsGoalsUnderFaults(const deployment &where)
{
    CHECK(at(where, 0.7, fault_kind::dead).attainment >= 0.99);
    CHECK(at(where, 0.7, fault_kind::silent).attainment >= 0.99);
    // Half of the engines' rate is left for a load of 0.7.
    constexpr double possible = 0.5 / 0.7;
    CHECK(at(where, 0.7, fault_kind::half_speed).attainment >= 0.95 * possible);
}

} // namespace

TEST_CASE("the slipper platform")
{
    const deployment where = slipperDeployment(false);
    SECTION("answers nearly all below saturation and does not sink past it")
    {
        holdsGoalsUnderLoad(where);
    }
    SECTION("bears a lost, silent or slow engine")
    {
        holdsGoalsUnderFaults(where);
    }
}

TEST_CASE("the quilt cooperative")
{
    const deployment where = quiltDeployment(false);
    SECTION("answers nearly all below saturation and does not sink past it")
    {
        holdsGoalsUnderLoad(where);
    }
    SECTION("bears a lost or silent booking desk and slow engines")
    {
        holdsGoalsUnderFaults(where);
    }
}

TEST_CASE("hedged requests end when a data centre is lost")
{
    // A hedge that is due in a phase that cannot send it must not keep the run's timer in the past.
    const deployment where = slipperDeployment(true);
    const measurement result = at(where, 0.7, fault_kind::data_centre);
    CHECK(result.answered + result.refused + result.failed + result.unknown + result.silent >= result.asked);
}
