#include <masticlever/forwarding/endpoint-choice.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace masticlever;
using namespace masticlever::forwarding;
using namespace std::chrono_literals;

namespace
{

const common::instant start{1000s};

class deterministic_random : public common::random_source
{
public:
    std::uint64_t next() override { return m_state = m_state * 6364136223846793005ULL + 1442695040888963407ULL; }

private:
    std::uint64_t m_state = 1;
};

struct test_service {
    std::vector<catalog::endpoint_record> records;
    std::vector<const catalog::endpoint_record *> pointers;

    explicit test_service(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            catalog::endpoint_record record;
            record.id = "e" + std::to_string(i);
            record.dataCentre = i % 3 == 0 ? "west" : i % 3 == 1 ? "north" : "east";
            records.push_back(record);
        }
        for (const auto &record : records) {
            pointers.push_back(&record);
        }
    }
};

const data_centre_weights noWeights;
const data_centre_bytes noInputs;

placement placementIn(std::string_view dataCentre)
{
    return {dataCentre, noWeights, noInputs};
}

protocol::request_attributes prompt(const std::string &shared, const std::string &own)
{
    protocol::request_attributes attributes;
    attributes.prompt = {{shared, 1000}, {own, 100}};
    return attributes;
}

} // namespace

TEST_CASE("Requests with the same shared parts go to the same endpoint")
{
    test_service models(9);
    endpoint_choice choice({});
    deterministic_random random;
    const auto choose = [&](const protocol::request_attributes &request) {
        return choice.choose(models.pointers, {}, request, placementIn("west"), start, random);
    };
    const std::string preferred = choose(prompt("p1", "own1"));
    CHECK(choose(prompt("p1", "own2")) == preferred);

    SECTION("unless it has clearly more requests than the other endpoints")
    {
        for (int i = 0; i < 20; ++i) {
            choice.onCallBegins(preferred);
        }
        CHECK(choose(prompt("p1", "own3")) != preferred);
    }
    SECTION("requests with other parts are spread over the endpoints")
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 300; ++i) {
            ++counts[choose(prompt("part" + std::to_string(i), "own"))];
        }
        CHECK(counts.size() == 9);
    }
    SECTION("not to an endpoint that this request has been sent to")
    {
        const std::vector<std::string> excluded{preferred};
        CHECK(choice.choose(models.pointers, excluded, prompt("p1", "own"), placementIn("west"), start, random)
              != preferred);
    }
    SECTION("not to an unreachable endpoint until its backoff ends")
    {
        choice.onCallBegins(preferred);
        choice.onCallEnds(preferred, call_outcome::unreachable, start);
        CHECK(choice.isBackingOff(preferred, start));
        CHECK(choose(prompt("p1", "own")) != preferred);
        CHECK_FALSE(choice.isBackingOff(preferred, start + 1s));
    }
}

TEST_CASE("A request goes to the data centre of its inputs if they cost more than the shared prompt")
{
    test_service models(9);
    endpoint_choice choice({});
    deterministic_random random;
    const auto dataCentreOf = [&](const std::string &id) {
        return std::ranges::find(models.records, id, &catalog::endpoint_record::id)->dataCentre;
    };
    for (int i = 0; i < 30; ++i) {
        protocol::request_attributes request = prompt("part" + std::to_string(i), "own");
        const std::string preferred = choice.choose(models.pointers, {}, request, placementIn("west"), start, random);
        const data_centre_bytes inputs{{"east", 2e6}};
        const placement place{"west", noWeights, inputs};
        request.prompt[0].tokens = 100;
        CHECK(dataCentreOf(choice.choose(models.pointers, {}, request, place, start, random)) == "east");
        request.prompt[0].tokens = 6000;
        CHECK(choice.choose(models.pointers, {}, request, place, start, random) == preferred);
    }
}

TEST_CASE("Data centres get requests in proportion to their weights")
{
    test_service models(9);
    endpoint_choice choice({});
    deterministic_random random;
    const data_centre_weights weights{{"west", 0.4}, {"north", 0.4}, {"east", 0.2}};
    std::map<std::string, int> counts;
    constexpr int requests = 3000;
    for (int i = 0; i < requests; ++i) {
        const std::string chosen = choice.choose(models.pointers, {}, prompt("part" + std::to_string(i), "own"),
                                                 placement{"west", weights, noInputs}, start, random);
        const auto record = std::ranges::find(models.records, chosen, &catalog::endpoint_record::id);
        ++counts[record->dataCentre];
    }
    CHECK(counts["east"] > requests * 0.16);
    CHECK(counts["east"] < requests * 0.24);
}

TEST_CASE("Requests without a prompt go to the endpoint with the fewest in flight, in the own data centre if tied")
{
    test_service desk(3);
    endpoint_choice choice({});
    deterministic_random random;
    const auto choose
        = [&](std::string_view from) { return choice.choose(desk.pointers, {}, {}, placementIn(from), start, random); };
    CHECK(choose("north") == "e1");
    choice.onCallBegins("e1");
    CHECK(choose("north") != "e1");

    SECTION("an endpoint that fails often is used last")
    {
        for (int i = 0; i < 8; ++i) {
            choice.onCallBegins("e0");
            choice.onCallEnds("e0", call_outcome::failed, start);
            choice.onCallBegins("e2");
            choice.onCallEnds("e2", call_outcome::answered, start);
        }
        CHECK(choose("west") == "e2");
    }
    SECTION("the only endpoint is used even if it fails")
    {
        test_service lone(1);
        choice.onCallEnds("e0", call_outcome::unreachable, start);
        CHECK(choice.choose(lone.pointers, {}, {}, placementIn("west"), start, random) == "e0");
    }
}

TEST_CASE("Without any report a service with shared load is selected from as others are")
{
    test_service models(9);
    const endpoint_views views{[](std::string_view) { return routing::endpoint_view{}; }, 0};
    const placement place{"west", noWeights, noInputs, &views};
    endpoint_choice choice({});
    deterministic_random first;
    deterministic_random second;
    for (int i = 0; i < 30; ++i) {
        const auto request = prompt("part" + std::to_string(i), "own");
        const std::string expected = choice.choose(models.pointers, {}, request, placementIn("west"), start, first);
        CHECK(choice.select(models.pointers, {}, request, place, start, second).id == expected);
        choice.onCallBegins(expected);
    }
}

TEST_CASE("The affinity key is the last shared part")
{
    protocol::request_attributes attributes;
    CHECK(affinityKey(attributes).empty());
    attributes.prompt = {{"only", 1}};
    CHECK(affinityKey(attributes) == "only");
    attributes.prompt = {{"first", 1}, {"second", 1}, {"own", 1}};
    CHECK(affinityKey(attributes) == "second");
}
