#include <masticlever/common/digest.h>
#include <masticlever/stages/home-choice.h>

#include <catch2/catch.hpp>

#include <map>
#include <vector>

using namespace masticlever;
using namespace masticlever::stages;
using namespace std::chrono_literals;

namespace
{

std::vector<home_candidate> fleet(std::size_t count)
{
    std::vector<home_candidate> candidates;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string name = "instance-" + std::to_string(i);
        candidates.push_back({name, name + ":1", common::stableHash(name), 170, 700, false});
    }
    return candidates;
}

} // namespace

TEST_CASE("Every instance chooses the same home for a service")
{
    auto candidates = fleet(12);
    const std::string home = chooseHome("board", candidates)->incarnation;
    std::vector<home_candidate> reversed(candidates.rbegin(), candidates.rend());
    CHECK(chooseHome("board", reversed)->incarnation == home);

    SECTION("a different one while that one is avoided")
    {
        for (home_candidate &candidate : candidates) {
            candidate.isAvoided = candidate.incarnation == home;
        }
        CHECK(chooseHome("board", candidates)->incarnation != home);
    }
    SECTION("none if all candidates are avoided or there are no candidates")
    {
        for (home_candidate &candidate : candidates) {
            candidate.isAvoided = true;
        }
        CHECK(chooseHome("board", candidates) == nullptr);
        CHECK(chooseHome("board", {}) == nullptr);
    }
}

TEST_CASE("Homes are instances with enough processor time")
{
    // As in the larger deployments: 119 instances, six with 0.5 cores and the others with 0.084.
    auto candidates = fleet(119);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].cpuMillicores = i % 20 == 0 ? 500 : 84;
    }
    const std::vector<std::string> services{"ledger", "vault", "board", "registrations"};
    for (const std::string &service : services) {
        CHECK(chooseHome(service, candidates)->cpuMillicores == 500);
    }

    SECTION("the others are used when the strong ones are lost")
    {
        for (home_candidate &candidate : candidates) {
            candidate.isAvoided = candidate.cpuMillicores == 500;
        }
        CHECK(chooseHome("vault", candidates)->cpuMillicores == 84);
    }
    SECTION("and enough bandwidth")
    {
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].linkMbps = i % 40 == 0 ? 200 : 10;
        }
        for (const std::string &service : services) {
            CHECK(chooseHome(service, candidates)->cpuMillicores == 500);
            CHECK(chooseHome(service, candidates)->linkMbps == 200);
        }
    }
    SECTION("processor time decides if no instance has both")
    {
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            candidates[i].linkMbps = i % 20 == 0 ? 10 : 200;
        }
        CHECK(chooseHome("vault", candidates)->cpuMillicores == 500);
    }
    SECTION("any instance is used while the processor times are unknown")
    {
        for (home_candidate &candidate : candidates) {
            candidate.cpuMillicores = 0;
        }
        CHECK(chooseHome("vault", candidates) != nullptr);
    }
}

TEST_CASE("Services are spread over the fleet, and a change of the fleet moves few of them")
{
    const auto before = fleet(12);
    const auto after = fleet(11);
    std::map<std::string, int> counts;
    int moved = 0;
    constexpr int services = 1200;
    for (int i = 0; i < services; ++i) {
        const std::string service = "s" + std::to_string(i);
        const std::string home = chooseHome(service, before)->incarnation;
        ++counts[home];
        moved += chooseHome(service, after)->incarnation == home ? 0 : 1;
    }
    CHECK(counts.size() == 12);
    CHECK(moved == counts["instance-11"]);
}

TEST_CASE("A lost instance is avoided for a limited time")
{
    const std::vector<home_candidate> all{{"a", "127.0.0.1:1", 1, 0, 0, false}, {"b", "127.0.0.1:2", 2, 0, 0, false}};
    const common::instant now{1000s};
    unavailable_homes avoided;
    const auto first = avoided.choose("encode", all, "other", now);
    REQUIRE(first);
    avoided.avoid(first->address, now + 1s);
    const auto second = avoided.choose("encode", all, "other", now);
    REQUIRE(second);
    CHECK(second->incarnation != first->incarnation);
    CHECK(avoided.choose("encode", all, "other", now + 1s)->incarnation == first->incarnation);

    SECTION("an instance never avoids itself")
    {
        CHECK(avoided.choose("encode", all, first->incarnation, now)->incarnation == first->incarnation);
    }
    SECTION("there is no home if all instances are lost")
    {
        avoided.avoid(second->address, now + 1s);
        CHECK_FALSE(avoided.choose("encode", all, "other", now));
        avoided.clear();
        CHECK(avoided.choose("encode", all, "other", now)->incarnation == first->incarnation);
    }
}
