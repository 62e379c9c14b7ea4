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
    service_configuration::builder builder;
    builder.version(7)
        .add(makeRoute("short", "a.example", "/x/"))
        .add(makeRoute("long", "a.example", "/x/y/"))
        .add(makeRoute("other", "B.example", "/x/"))
        .add(service{"desk", "/health", 8, {}, {}});
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
    SECTION("services by name")
    {
        CHECK(configuration.findService("desk") != nullptr);
        CHECK(configuration.findService("none") == nullptr);
    }
}

// Guards against a configuration without any team being taken for one that needs no keys.
TEST_CASE("A configuration that requires keys lets only its teams in")
{
    const route closed = makeRoute("closed", "a.example", "/x/");
    route open = closed;
    open.isPublic = true;
    service_configuration::builder builder;

    SECTION("without that requirement everybody may use every route")
    {
        const service_configuration configuration = builder.build();
        CHECK(configuration.authorize(closed, "").isGranted);
        CHECK(configuration.authorize(closed, "key-1").isGranted);
        CHECK(configuration.authorize(closed, "key-1").grantee == nullptr);
    }
    SECTION("with teams")
    {
        builder.add(team{"first", 1, {"key-1", "key-2"}}).add(team{"second", {}, {"key-3"}}).add(team{"third", {}, {}});
        const service_configuration configuration = builder.build();
        SECTION("a key stands for its team")
        {
            REQUIRE(configuration.authorize(closed, "key-2").isGranted);
            CHECK(configuration.authorize(closed, "key-2").grantee->name == "first");
            CHECK(configuration.authorize(closed, "key-3").grantee->name == "second");
        }
        SECTION("requests with another key or none stay out, except of public routes")
        {
            const std::string key = GENERATE("", "key-4", "first");
            CHECK_FALSE(configuration.authorize(closed, key).isGranted);
            CHECK(configuration.authorize(open, key).isGranted);
        }
    }
    SECTION("without any valid key nobody gets in, except to public routes")
    {
        const bool hasTeam = GENERATE(false, true);
        builder.requireKeys();
        if (hasTeam) {
            builder.add(team{"first", {}, {""}});
        }
        const service_configuration configuration = builder.build();
        const std::string key = GENERATE("", "key-1");
        CHECK_FALSE(configuration.authorize(closed, key).isGranted);
        CHECK(configuration.authorize(open, key).isGranted);
    }
}

TEST_CASE("Final stages are those that no other stage depends on")
{
    route subject;
    subject.stages = {{"a", {}, 0}, {"a", {}, 0}, {"b", {1}, 0}, {"c", {2}, 0}};
    CHECK(subject.finalStages() == std::vector<std::size_t>{0, 3});
}

// Guards against a split without any share being taken for a choice of the last service.
TEST_CASE("Requests are split by the shares of the services")
{
    route subject;
    subject.services = {{"idle", 0}, {"most", 3}, {"least", 1}, {"negative", -2}};

    SECTION("in proportion to the positive ones")
    {
        CHECK(subject.serviceAt(0) == "most");
        CHECK(subject.serviceAt(0.74) == "most");
        CHECK(subject.serviceAt(0.76) == "least");
        CHECK(subject.serviceAt(1) == "least");
    }
    SECTION("to none if there is no share")
    {
        subject.services = GENERATE(std::vector<weighted_service>{}, std::vector<weighted_service>{{"a", 0}, {"b", 0}},
                                    std::vector<weighted_service>{{"a", 0}, {"b", -1}});
        CHECK(subject.serviceAt(0).empty());
        CHECK(subject.serviceAt(0.5).empty());
    }
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
