#include <masticlever/configuration/codec.h>

#include <catch2/catch.hpp>

using namespace masticlever::configuration;

namespace
{

const std::string digest(64, 'a');

std::string pipelineErrorField(std::string_view json)
{
    const auto error = parsePipeline(json).error;
    return error ? error->field : "none";
}

std::string teamErrorField(std::string_view json)
{
    const auto error = parseTeam(json).error;
    return error ? error->field : "none";
}

std::string endpointErrorField(std::string_view json)
{
    const auto error = parseEndpoint(json).error;
    return error ? error->field : "none";
}

} // namespace

TEST_CASE("pipeline specifications are parsed and validated")
{
    const auto order = parsePipeline(R"({"deadline_ms":3000,"retry_budget":0.2,"hedging":true,"stages":[
        {"name":"quote","pool":"price-vault","cost_per_call":0.5},
        {"name":"place","pool":"order-desk","path":"/v1/place","repeatable":false,"status_path":"/v1/status"},
        {"name":"dispatch","pool":"dispatch-board","inputs":["quote","place"],"streamed":true}]})");

    SECTION("all fields are read")
    {
        REQUIRE_FALSE(order.error);
        REQUIRE(order.spec.stages.size() == 3);
        CHECK(order.spec.deadline.count() == 3000);
        CHECK(order.spec.hedging);
        CHECK(order.spec.stages[1].statusPath == "/v1/status");
        CHECK_FALSE(order.spec.stages[1].repeatable);

        SECTION("and inputs default to the previous stage")
        {
            CHECK(order.spec.stages[0].inputs.empty());
            CHECK(order.spec.stages[1].inputs == std::vector<std::string>{"quote"});
            CHECK(order.spec.stages[2].inputs == std::vector<std::string>{"quote", "place"});
        }

        SECTION("and the specification survives a round trip through JSON")
        {
            const auto again = parsePipeline(toJson(order.spec));
            REQUIRE_FALSE(again.error);
            CHECK(toJson(again.spec) == toJson(order.spec));
        }
    }

    SECTION("an invalid field is reported with its path")
    {
        CHECK(pipelineErrorField("{") == "spec");
        CHECK(pipelineErrorField("[]") == "spec");
        CHECK(pipelineErrorField("{}") == "spec.stages");
        CHECK(pipelineErrorField(R"({"stages":[]})") == "spec.stages");
        CHECK(pipelineErrorField(R"({"stages":[7]})") == "spec.stages[0]");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a"}]})") == "spec.stages[0].pool");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"A","pool":"p"}]})") == "spec.stages[0].name");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p","repeatable":"no"}]})")
              == "spec.stages[0].repeatable");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p","repeatble":false}]})")
              == "spec.stages[0].repeatble");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p","path":"x?y"}]})") == "spec.stages[0].path");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p"}],"deadline_ms":0})") == "spec.deadline_ms");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p"}],"deadline_ms":1.5})") == "spec.deadline_ms");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p"}],"deadline_ms":1e300})") == "spec.deadline_ms");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p"}],"retry_budget":1.1})") == "spec.retry_budget");
    }

    SECTION("stage names are unique and inputs refer to earlier stages only")
    {
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p"},{"name":"a","pool":"p"}]})")
              == "spec.stages[1].name");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p","inputs":["b"]},{"name":"b","pool":"p"}]})")
              == "spec.stages[0].inputs[0]");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p","inputs":["a"]}]})")
              == "spec.stages[0].inputs[0]");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p","streamed":true},{"name":"b","pool":"p"}]})")
              == "spec.stages[0].streamed");
    }

    SECTION("a status path is allowed for non-repeatable stages only")
    {
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p","status_path":"/s"}]})")
              == "spec.stages[0].status_path");
        CHECK(pipelineErrorField(R"({"stages":[{"name":"a","pool":"p","repeatable":false}]})") == "none");
    }
}

TEST_CASE("team specifications are parsed and validated")
{
    const auto team = parseTeam(R"({"token_digests":[")" + digest
                                + R"("],"pipelines":["order"],"weight":2,"max_in_flight":5,"max_body_bytes":100})");
    REQUIRE_FALSE(team.error);
    CHECK(team.spec.maxInFlight == 5);
    CHECK(toJson(parseTeam(toJson(team.spec)).spec) == toJson(team.spec));

    CHECK(teamErrorField("{}") == "none");
    CHECK(teamErrorField(R"({"token_digests":["abc"]})") == "spec.token_digests[0]");
    CHECK(teamErrorField(R"({"token_digests":["a",7]})") == "spec.token_digests[1]");
    CHECK(teamErrorField(R"({"pipelines":"order"})") == "spec.pipelines");
    CHECK(teamErrorField(R"({"pipelines":["order","order"]})") == "spec.pipelines[1]");
    CHECK(teamErrorField(R"({"weight":0})") == "spec.weight");
    CHECK(teamErrorField(R"({"max_in_flight":0})") == "spec.max_in_flight");
    CHECK(teamErrorField(R"({"max_body_bytes":-1})") == "spec.max_body_bytes");
}

TEST_CASE("endpoint specifications are parsed and validated")
{
    const auto desk = parseEndpoint(
        R"({"pool":"order-desk","address":"127.0.0.1:80","data_centre":"hawick","checks_fencing":true,"slots":3})");
    REQUIRE_FALSE(desk.error);
    CHECK(desk.spec.checksFencing);
    CHECK(toJson(parseEndpoint(toJson(desk.spec)).spec) == toJson(desk.spec));

    CHECK(endpointErrorField(R"({"pool":"p","address":"[::1]:65535"})") == "none");
    CHECK(endpointErrorField(R"({"address":"127.0.0.1:80"})") == "spec.pool");
    for (const std::string address : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                                      "127.1:80", "::1:80", "127.0.0.1:80x"}) {
        CAPTURE(address);
        CHECK(endpointErrorField(R"({"pool":"p","address":")" + address + "\"}") == "spec.address");
    }
    CHECK(endpointErrorField(R"({"pool":"p","address":"127.0.0.1:80","slots":0})") == "spec.slots");
}

TEST_CASE("resource kinds are converted to and from their names")
{
    for (const auto kind : {resource_kind::pipeline, resource_kind::team, resource_kind::endpoint}) {
        CHECK(parseKind(toString(kind)) == kind);
    }
    CHECK_FALSE(parseKind("pool"));
}
