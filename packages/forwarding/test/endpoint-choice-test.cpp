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

class counting_random : public common::random_source
{
public:
    std::uint64_t next() override { return m_state = m_state * 6364136223846793005ULL + 1442695040888963407ULL; }

private:
    std::uint64_t m_state = 1;
};

struct service {
    std::vector<catalog::endpoint_record> records;
    std::vector<const catalog::endpoint_record *> pointers;

    explicit service(std::size_t count)
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

placement nowhere(std::string_view dataCentre)
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
    service models(9);
    endpoint_choice choice({});
    counting_random random;
    const auto choose = [&](const protocol::request_attributes &request) {
        return choice.choose(models.pointers, {}, request, nowhere("west"), start, random);
    };
    const std::string home = choose(prompt("p1", "own1"));
    CHECK(choose(prompt("p1", "own2")) == home);

    SECTION("until it has clearly more requests than its equals")
    {
        for (int i = 0; i < 20; ++i) {
            choice.onCallBegins(home);
        }
        CHECK(choose(prompt("p1", "own3")) != home);
    }
    SECTION("other parts spread over the endpoints")
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 300; ++i) {
            ++counts[choose(prompt("part" + std::to_string(i), "own"))];
        }
        CHECK(counts.size() == 9);
    }
    SECTION("not to one that this request has been to")
    {
        const std::vector<std::string> excluded{home};
        CHECK(choice.choose(models.pointers, excluded, prompt("p1", "own"), nowhere("west"), start, random) != home);
    }
    SECTION("not to one that cannot be reached, for a while")
    {
        choice.onCallBegins(home);
        choice.onCallEnds(home, call_outcome::unreachable, start);
        CHECK(choice.isResting(home, start));
        CHECK(choose(prompt("p1", "own")) != home);
        CHECK_FALSE(choice.isResting(home, start + 1s));
    }
}

TEST_CASE("Inputs draw a request to their data centre when they weigh more than the shared prompt")
{
    service models(9);
    endpoint_choice choice({});
    counting_random random;
    const auto dataCentreOf = [&](const std::string &id) {
        return std::ranges::find(models.records, id, &catalog::endpoint_record::id)->dataCentre;
    };
    for (int i = 0; i < 30; ++i) {
        protocol::request_attributes request = prompt("part" + std::to_string(i), "own");
        const std::string home = choice.choose(models.pointers, {}, request, nowhere("west"), start, random);
        const data_centre_bytes inputs{{"east", 2e6}};
        const placement place{"west", noWeights, inputs};
        request.prompt[0].tokens = 100;
        CHECK(dataCentreOf(choice.choose(models.pointers, {}, request, place, start, random)) == "east");
        request.prompt[0].tokens = 6000;
        CHECK(choice.choose(models.pointers, {}, request, place, start, random) == home);
    }
}

TEST_CASE("Data centres get requests by their weights")
{
    service models(9);
    endpoint_choice choice({});
    counting_random random;
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

TEST_CASE("Requests without a prompt go to the least busy endpoint, a near one among equals")
{
    service desk(3);
    endpoint_choice choice({});
    counting_random random;
    const auto choose
        = [&](std::string_view from) { return choice.choose(desk.pointers, {}, {}, nowhere(from), start, random); };
    CHECK(choose("north") == "e1");
    choice.onCallBegins("e1");
    CHECK(choose("north") != "e1");

    SECTION("one that fails often comes after the others")
    {
        for (int i = 0; i < 8; ++i) {
            choice.onCallBegins("e0");
            choice.onCallEnds("e0", call_outcome::failed, start);
            choice.onCallBegins("e2");
            choice.onCallEnds("e2", call_outcome::answered, start);
        }
        CHECK(choose("west") == "e2");
    }
    SECTION("a lone endpoint is used although it fails")
    {
        service lone(1);
        choice.onCallEnds("e0", call_outcome::unreachable, start);
        CHECK(choice.choose(lone.pointers, {}, {}, nowhere("west"), start, random) == "e0");
    }
}

TEST_CASE("The part that keeps requests together is the last shared one")
{
    protocol::request_attributes attributes;
    CHECK(affinityPart(attributes).empty());
    attributes.prompt = {{"only", 1}};
    CHECK(affinityPart(attributes) == "only");
    attributes.prompt = {{"first", 1}, {"second", 1}, {"own", 1}};
    CHECK(affinityPart(attributes) == "second");
}
