#include <masticlever/catalog/service-configuration.h>

#include <catch2/catch.hpp>

using namespace masticlever::catalog;

namespace
{

route makeRoute(std::string name, std::string host, std::string prefix)
{
    route made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.pathPrefix = std::move(prefix);
    return made;
}

} // namespace

TEST_CASE("A configuration answers look-ups")
{
    team first{"first", 1, {"key-1", "key-2"}};
    service_configuration::builder builder;
    builder.version(7)
        .add(makeRoute("short", "a.example", "/x/"))
        .add(makeRoute("long", "a.example", "/x/y/"))
        .add(makeRoute("other", "B.example", "/x/"))
        .add(service{"desk", "/health", 8, {}, {}})
        .add(first);
    const service_configuration built = builder.build();

    SECTION("the route of the host with the longest prefix")
    {
        REQUIRE(built.findRoute("a.example", "/x/y/z") != nullptr);
        CHECK(built.findRoute("a.example", "/x/y/z")->name == "long");
        CHECK(built.findRoute("a.example", "/x/z")->name == "short");
        CHECK(built.findRoute("A.Example:8080", "/x/")->name == "short");
        CHECK(built.findRoute("b.example", "/x/1")->name == "other");
    }
    SECTION("no route for a foreign host, another path, or a prefix without its slash")
    {
        CHECK(built.findRoute("c.example", "/x/") == nullptr);
        CHECK(built.findRoute("a.example", "/y/") == nullptr);
        CHECK(built.findRoute("a.example", "/x") == nullptr);
    }
    SECTION("the team of a key")
    {
        REQUIRE(built.findTeam("key-2") != nullptr);
        CHECK(built.findTeam("key-2")->name == "first");
        CHECK(built.findTeam("key-3") == nullptr);
        CHECK(built.needsKeys());
    }
    SECTION("services by name")
    {
        CHECK(built.findService("desk") != nullptr);
        CHECK(built.findService("none") == nullptr);
    }
}

TEST_CASE("The final stages are those that no other stage follows")
{
    route subject;
    subject.stages = {{"a", {}, 0}, {"a", {}, 0}, {"b", {1}, 0}, {"c", {2}, 0}};
    CHECK(subject.finalStages() == std::vector<std::size_t>{0, 3});
}

TEST_CASE("What may be repeated follows from the kind and from being resumable")
{
    route subject;
    subject.kind = request_kind::idempotent;
    CHECK(subject.mayRepeat());
    subject.kind = request_kind::non_idempotent;
    CHECK_FALSE(subject.mayRepeat());
    subject.kind = request_kind::stream;
    CHECK_FALSE(subject.mayRepeat());
    subject.isResumable = true;
    CHECK(subject.mayRepeat());
}
