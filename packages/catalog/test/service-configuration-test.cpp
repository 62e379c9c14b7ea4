#include <masticlever/catalog/service-configuration.h>

#include <catch2/catch.hpp>

using namespace masticlever::catalog;

namespace
{

route makeRoute(std::string name, std::string host, std::string prefix)
{
    route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.pathPrefix = std::move(prefix);
    return result;
}

} // namespace

TEST_CASE("Lookups in a configuration")
{
    team first{"first", 1, {"key-1", "key-2"}};
    service_configuration::builder builder;
    builder.version(7)
        .add(makeRoute("short", "a.example", "/x/"))
        .add(makeRoute("long", "a.example", "/x/y/"))
        .add(makeRoute("other", "B.example", "/x/"))
        .add(service{"desk", "/health", 8, {}, {}})
        .add(first);
    const service_configuration configuration = builder.build();

    SECTION("the route of the host with the longest matching prefix")
    {
        REQUIRE(configuration.findRoute("a.example", "/x/y/z") != nullptr);
        CHECK(configuration.findRoute("a.example", "/x/y/z")->name == "long");
        CHECK(configuration.findRoute("a.example", "/x/z")->name == "short");
        CHECK(configuration.findRoute("A.Example:8080", "/x/")->name == "short");
        CHECK(configuration.findRoute("b.example", "/x/1")->name == "other");
    }
    SECTION("no route for an unknown host, another path or a prefix without its slash")
    {
        CHECK(configuration.findRoute("c.example", "/x/") == nullptr);
        CHECK(configuration.findRoute("a.example", "/y/") == nullptr);
        CHECK(configuration.findRoute("a.example", "/x") == nullptr);
    }
    SECTION("the team of a key")
    {
        REQUIRE(configuration.findTeam("key-2") != nullptr);
        CHECK(configuration.findTeam("key-2")->name == "first");
        CHECK(configuration.findTeam("key-3") == nullptr);
        CHECK(configuration.needsKeys());
    }
    SECTION("services by name")
    {
        CHECK(configuration.findService("desk") != nullptr);
        CHECK(configuration.findService("none") == nullptr);
    }
}

TEST_CASE("Final stages are those that no other stage depends on")
{
    route subject;
    subject.stages = {{"a", {}, 0}, {"a", {}, 0}, {"b", {1}, 0}, {"c", {2}, 0}};
    CHECK(subject.finalStages() == std::vector<std::size_t>{0, 3});
}

TEST_CASE("Idempotent requests and resumable streams may be retried")
{
    route subject;
    subject.kind = request_kind::idempotent;
    CHECK(subject.allowsRetry());
    subject.kind = request_kind::non_idempotent;
    CHECK_FALSE(subject.allowsRetry());
    subject.kind = request_kind::stream;
    CHECK_FALSE(subject.allowsRetry());
    subject.isResumable = true;
    CHECK(subject.allowsRetry());
}
