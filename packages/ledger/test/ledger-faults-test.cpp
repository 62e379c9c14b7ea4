#include "fault-world.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using masticlever::ledger::test::fault_world;
using masticlever::ledger::test::mutant;
using masticlever::ledger::test::tally;

namespace
{

constexpr std::uint64_t seedCount = 1000;

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

void add(tally &sum, const tally &one)
{
    sum.sends += one.sends;
    sum.refusals += one.refusals;
    sum.certainRefusals += one.certainRefusals;
    sum.taken += one.taken;
    sum.unknown += one.unknown;
    sum.voided += one.voided;
}

/// The first violation that some seed shows.
std::string firstViolation(mutant fault)
{
    std::string violation;
    for (std::uint64_t seed = 1; seed <= seedCount && violation.empty(); ++seed) {
        violation = fault_world(seed, fault).run();
    }
    return violation;
}

} // namespace

// MASTICLEVER_SEED repeats one seed, MASTICLEVER_SEEDS sets how many are tried.
TEST_CASE("whatever fails, an order runs at most once and refusals are true")
{
    const std::uint64_t only = numberFrom("MASTICLEVER_SEED", 0);
    const std::uint64_t first = only == 0 ? 1 : only;
    const std::uint64_t last = only == 0 ? numberFrom("MASTICLEVER_SEEDS", seedCount) : only;
    tally sum;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        fault_world world(seed, mutant::none);
        const std::string violation = world.run();
        add(sum, world.seen());
        INFO("repeat with: MASTICLEVER_SEED=" << seed << " ledger-test \"whatever fails*\"");
        INFO(violation);
        REQUIRE(violation.empty());
    }
    if (only == 0) {
        CAPTURE(sum.sends, sum.refusals, sum.certainRefusals, sum.taken, sum.unknown, sum.voided);
        const bool hasMetAll = sum.sends > 0 && sum.refusals > 0 && sum.certainRefusals > 0 && sum.taken > 0;
        CHECK(hasMetAll);
        CHECK(sum.unknown > 0);
        CHECK(sum.voided > 0);
    }
}

TEST_CASE("the loop notices a protocol without one of its rules")
{
    CHECK_FALSE(firstViolation(mutant::no_read_back).empty());
    CHECK_FALSE(firstViolation(mutant::epoch_not_checked).empty());
    CHECK_FALSE(firstViolation(mutant::others_void).empty());
    CHECK_FALSE(firstViolation(mutant::negative_status_voids).empty());
    CHECK_FALSE(firstViolation(mutant::refusal_not_recorded).empty());
    CHECK_FALSE(firstViolation(mutant::grant_after_timeout).empty());
}
