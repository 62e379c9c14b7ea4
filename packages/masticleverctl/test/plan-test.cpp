#include "plan.h"

#include <catch2/catch.hpp>

using namespace masticlever::masticleverctl;
using masticlever::configuration::resource_kind;

namespace
{

const QByteArray declared = R"([
    {"kind":"team","name":"hawick","spec":{"pipelines":["order"]}},
    {"kind":"pipeline","name":"order","spec":{"stages":[{"name":"place","pool":"desk"}]}},
    {"kind":"endpoint","name":"desk-1","spec":{"pool":"desk","address":"127.0.0.1:80"}}])";

std::vector<current_resource> asCurrent(const std::vector<declaration> &items)
{
    std::vector<current_resource> current;
    current.reserve(items.size());
    for (const declaration &item : items) {
        current.push_back({item.kind, item.name, 7, item.spec});
    }
    return current;
}

} // namespace

TEST_CASE("a plan is computed from declarations")
{
    declaration_set set;
    addDeclarations(declared, QStringLiteral("all.json"), set);
    REQUIRE(set.errors.empty());

    SECTION("referenced resources come before the resources that refer to them")
    {
        const auto steps = makePlan(set.items, {}, false);
        REQUIRE(steps.size() == 3);
        CHECK(steps[0].kind == resource_kind::endpoint);
        CHECK(steps[1].kind == resource_kind::pipeline);
        CHECK(steps[2].kind == resource_kind::team);
        CHECK(steps[0].expectedVersion == 0);
    }

    SECTION("a resource that equals its declaration needs no step, with or without explicit defaults")
    {
        auto current = asCurrent(set.items);
        CHECK(makePlan(set.items, current, true).empty());
        current[0].spec = R"({"pipelines":["order"]})";
        CHECK(makePlan(set.items, current, true).empty());
    }

    SECTION("a difference becomes an update that expects the current version")
    {
        auto current = asCurrent(set.items);
        current[2].spec = R"({"pool":"desk","address":"127.0.0.1:81"})";
        const auto steps = makePlan(set.items, current, false);
        REQUIRE(steps.size() == 1);
        CHECK(steps[0].action == step_action::update);
        CHECK(steps[0].expectedVersion == 7);
        const QString text = describe(steps[0]);
        CHECK(text.contains(QStringLiteral("- address: \"127.0.0.1:81\"")));
        CHECK(text.contains(QStringLiteral("+ address: \"127.0.0.1:80\"")));
        CHECK_FALSE(text.contains(QStringLiteral("slots")));
    }

    SECTION("undeclared resources are removed only with prune, referrers first")
    {
        CHECK(makePlan({}, asCurrent(set.items), false).empty());
        const auto steps = makePlan({}, asCurrent(set.items), true);
        REQUIRE(steps.size() == 3);
        CHECK(steps[0].kind == resource_kind::team);
        CHECK(steps[2].kind == resource_kind::endpoint);
    }
}

TEST_CASE("an error in a declaration names its file and field")
{
    const auto firstError = [](const QByteArray &json) {
        declaration_set set;
        addDeclarations(json, QStringLiteral("f.json"), set);
        return set.errors.empty() ? QString() : set.errors.front();
    };
    CHECK(firstError("{").startsWith(QStringLiteral("f.json: ")));
    CHECK(firstError(R"([{"kind":"pool","name":"a","spec":{}}])").startsWith(QStringLiteral("f.json[0]: ")));
    CHECK(firstError(R"({"kind":"team","name":"a","spec":{},"extra":1})").contains(QStringLiteral("no more")));
    CHECK(firstError(R"({"kind":"team","name":"a","spec":{"weight":0}})").contains(QStringLiteral("spec.weight")));
    CHECK(firstError(R"([{"kind":"team","name":"a","spec":{}},{"kind":"team","name":"a","spec":{}}])")
              .contains(QStringLiteral("twice")));
}
