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

std::vector<present_resource> asPresent(const std::vector<declaration> &items)
{
    std::vector<present_resource> present;
    present.reserve(items.size());
    for (const declaration &one : items) {
        present.push_back({one.kind, one.name, 7, one.spec});
    }
    return present;
}

} // namespace

TEST_CASE("declarations become a plan")
{
    declaration_set set;
    addDeclarations(declared, QStringLiteral("all.json"), set);
    REQUIRE(set.faults.empty());

    SECTION("what others refer to comes first")
    {
        const auto steps = makePlan(set.items, {}, false);
        REQUIRE(steps.size() == 3);
        CHECK(steps[0].kind == resource_kind::endpoint);
        CHECK(steps[1].kind == resource_kind::pipeline);
        CHECK(steps[2].kind == resource_kind::team);
        CHECK(steps[0].expectedVersion == 0);
    }

    SECTION("what is as declared needs no step, whether its defaults are spelt out or not")
    {
        auto present = asPresent(set.items);
        CHECK(makePlan(set.items, present, true).empty());
        present[0].spec = R"({"pipelines":["order"]})";
        CHECK(makePlan(set.items, present, true).empty());
    }

    SECTION("a difference becomes an update of the version that was seen")
    {
        auto present = asPresent(set.items);
        present[2].spec = R"({"pool":"desk","address":"127.0.0.1:81"})";
        const auto steps = makePlan(set.items, present, false);
        REQUIRE(steps.size() == 1);
        CHECK(steps[0].action == step_action::update);
        CHECK(steps[0].expectedVersion == 7);
        const QString text = describe(steps[0]);
        CHECK(text.contains(QStringLiteral("- address: \"127.0.0.1:81\"")));
        CHECK(text.contains(QStringLiteral("+ address: \"127.0.0.1:80\"")));
        CHECK_FALSE(text.contains(QStringLiteral("slots")));
    }

    SECTION("what is not declared goes only when asked, referrers first")
    {
        CHECK(makePlan({}, asPresent(set.items), false).empty());
        const auto steps = makePlan({}, asPresent(set.items), true);
        REQUIRE(steps.size() == 3);
        CHECK(steps[0].kind == resource_kind::team);
        CHECK(steps[2].kind == resource_kind::endpoint);
    }
}

TEST_CASE("a faulty declaration is named with its file and field")
{
    const auto faultOf = [](const QByteArray &json) {
        declaration_set set;
        addDeclarations(json, QStringLiteral("f.json"), set);
        return set.faults.empty() ? QString() : set.faults.front();
    };
    CHECK(faultOf("{").startsWith(QStringLiteral("f.json: ")));
    CHECK(faultOf(R"([{"kind":"pool","name":"a","spec":{}}])").startsWith(QStringLiteral("f.json[0]: ")));
    CHECK(faultOf(R"({"kind":"team","name":"a","spec":{},"extra":1})").contains(QStringLiteral("no more")));
    CHECK(faultOf(R"({"kind":"team","name":"a","spec":{"weight":0}})").contains(QStringLiteral("spec.weight")));
    CHECK(faultOf(R"([{"kind":"team","name":"a","spec":{}},{"kind":"team","name":"a","spec":{}}])")
              .contains(QStringLiteral("twice")));
}
