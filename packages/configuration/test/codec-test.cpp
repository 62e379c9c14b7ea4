#include <masticlever/configuration/codec.h>

#include <catch2/catch.hpp>

using namespace masticlever::configuration;

namespace
{

const std::string digest(64, 'a');

std::string pipelineFault(std::string_view json)
{
    const auto error = parsePipeline(json).error;
    return error ? error->field : "none";
}

std::string teamFault(std::string_view json)
{
    const auto error = parseTeam(json).error;
    return error ? error->field : "none";
}

std::string endpointFault(std::string_view json)
{
    const auto error = parseEndpoint(json).error;
    return error ? error->field : "none";
}

} // namespace

TEST_CASE("an operator declares a pipeline")
{
    const auto order = parsePipeline(R"({"deadline_ms":3000,"retry_budget":0.2,"hedging":true,"stages":[
        {"name":"quote","pool":"price-vault","cost_per_call":0.5},
        {"name":"place","pool":"order-desk","path":"/v1/place","repeatable":false,"status_path":"/v1/status"},
        {"name":"dispatch","pool":"dispatch-board","inputs":["quote","place"],"streamed":true}]})");

    SECTION("each field takes its place")
    {
        REQUIRE_FALSE(order.error);
        REQUIRE(order.spec.stages.size() == 3);
        CHECK(order.spec.deadline.count() == 3000);
        CHECK(order.spec.hedging);
        CHECK(order.spec.stages[1].statusPath == "/v1/status");
        CHECK_FALSE(order.spec.stages[1].repeatable);

        SECTION("and absent inputs name the stage before")
        {
            CHECK(order.spec.stages[0].inputs.empty());
            CHECK(order.spec.stages[1].inputs == std::vector<std::string>{"quote"});
            CHECK(order.spec.stages[2].inputs == std::vector<std::string>{"quote", "place"});
        }

        SECTION("and its JSON reads back as the same specification")
        {
            const auto again = parsePipeline(toJson(order.spec));
            REQUIRE_FALSE(again.error);
            CHECK(toJson(again.spec) == toJson(order.spec));
        }
    }

    SECTION("a fault is refused with the path of its field")
    {
        CHECK(pipelineFault("{") == "spec");
        CHECK(pipelineFault("[]") == "spec");
        CHECK(pipelineFault("{}") == "spec.stages");
        CHECK(pipelineFault(R"({"stages":[]})") == "spec.stages");
        CHECK(pipelineFault(R"({"stages":[7]})") == "spec.stages[0]");
        CHECK(pipelineFault(R"({"stages":[{"name":"a"}]})") == "spec.stages[0].pool");
        CHECK(pipelineFault(R"({"stages":[{"name":"A","pool":"p"}]})") == "spec.stages[0].name");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p","repeatable":"no"}]})")
              == "spec.stages[0].repeatable");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p","repeatble":false}]})") == "spec.stages[0].repeatble");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p","path":"x?y"}]})") == "spec.stages[0].path");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p"}],"deadline_ms":0})") == "spec.deadline_ms");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p"}],"deadline_ms":1.5})") == "spec.deadline_ms");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p"}],"deadline_ms":1e300})") == "spec.deadline_ms");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p"}],"retry_budget":1.1})") == "spec.retry_budget");
    }

    SECTION("stages are distinct and take results of earlier stages only")
    {
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p"},{"name":"a","pool":"p"}]})")
              == "spec.stages[1].name");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p","inputs":["b"]},{"name":"b","pool":"p"}]})")
              == "spec.stages[0].inputs[0]");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p","inputs":["a"]}]})") == "spec.stages[0].inputs[0]");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p","streamed":true},{"name":"b","pool":"p"}]})")
              == "spec.stages[0].streamed");
    }

    SECTION("a status path marks a stage that must not be repeated")
    {
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p","status_path":"/s"}]})")
              == "spec.stages[0].status_path");
        CHECK(pipelineFault(R"({"stages":[{"name":"a","pool":"p","repeatable":false}]})") == "none");
    }
}

TEST_CASE("an operator declares a team")
{
    const auto team = parseTeam(R"({"token_digests":[")" + digest
                                + R"("],"pipelines":["order"],"weight":2,"max_in_flight":5,"max_body_bytes":100})");
    REQUIRE_FALSE(team.error);
    CHECK(team.spec.maxInFlight == 5);
    CHECK(toJson(parseTeam(toJson(team.spec)).spec) == toJson(team.spec));

    CHECK(teamFault("{}") == "none");
    CHECK(teamFault(R"({"token_digests":["abc"]})") == "spec.token_digests[0]");
    CHECK(teamFault(R"({"token_digests":["a",7]})") == "spec.token_digests[1]");
    CHECK(teamFault(R"({"pipelines":"order"})") == "spec.pipelines");
    CHECK(teamFault(R"({"pipelines":["order","order"]})") == "spec.pipelines[1]");
    CHECK(teamFault(R"({"weight":0})") == "spec.weight");
    CHECK(teamFault(R"({"max_in_flight":0})") == "spec.max_in_flight");
    CHECK(teamFault(R"({"max_body_bytes":-1})") == "spec.max_body_bytes");
}

TEST_CASE("an operator declares an endpoint")
{
    const auto desk = parseEndpoint(
        R"({"pool":"order-desk","address":"127.0.0.1:80","data_centre":"hawick","checks_fencing":true,"slots":3})");
    REQUIRE_FALSE(desk.error);
    CHECK(desk.spec.checksFencing);
    CHECK(toJson(parseEndpoint(toJson(desk.spec)).spec) == toJson(desk.spec));

    CHECK(endpointFault(R"({"pool":"p","address":"[::1]:65535"})") == "none");
    CHECK(endpointFault(R"({"address":"127.0.0.1:80"})") == "spec.pool");
    for (const std::string address : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                                      "127.1:80", "::1:80", "127.0.0.1:80x"}) {
        CAPTURE(address);
        CHECK(endpointFault(R"({"pool":"p","address":")" + address + "\"}") == "spec.address");
    }
    CHECK(endpointFault(R"({"pool":"p","address":"127.0.0.1:80","slots":0})") == "spec.slots");
}

TEST_CASE("kinds have names")
{
    for (const auto kind : {resource_kind::pipeline, resource_kind::team, resource_kind::endpoint}) {
        CHECK(parseKind(toString(kind)) == kind);
    }
    CHECK_FALSE(parseKind("pool"));
}
