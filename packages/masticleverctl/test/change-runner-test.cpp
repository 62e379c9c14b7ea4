#include "change-runner.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <deque>

using namespace masticlever::masticleverctl;
using namespace std::chrono_literals;

namespace
{

class mock_api : public api
{
public:
    MAKE_MOCK1(send, api_response(const api_request &), override);
};

api_response problem(int status, const QString &type)
{
    return {status, {{QStringLiteral("type"), QStringLiteral("urn:masticlever:") + type}}, {}};
}

api_response state(const QString &text)
{
    return {200, {{QStringLiteral("state"), text}}, {}};
}

const plan_step put{step_action::update, masticlever::configuration::resource_kind::team, "hawick", 4, "{}", "{}"};

auto isPut(const QString &id)
{
    return [id](const api_request &request) {
        return request.method == "PUT" && request.changeId == id && request.expectedVersion == 4
            && request.path == QStringLiteral("/v1/resources/team/hawick");
    };
}

bool isQuery(const api_request &request)
{
    return request.method == "GET" && request.path == QStringLiteral("/v1/changes/id-1");
}

} // namespace

TEST_CASE("a change is retried until its outcome is certain")
{
    mock_api server;
    int ids = 0;
    std::chrono::milliseconds slept{};
    change_runner runner(
        server, [&](std::chrono::milliseconds wait) { slept += wait; },
        [&] { return QStringLiteral("id-%1").arg(++ids); }, {3, 100ms});
    const auto first = isPut(QStringLiteral("id-1"));

    SECTION("an accepted change is reported as changed")
    {
        REQUIRE_CALL(server, send(trompeloeil::_)).WITH(first(_1)).RETURN(api_response{200, {}, {}});
        CHECK(runner.run(put).result == step_result::changed);
        CHECK(slept == 0ms);
    }

    SECTION("a conflict and a rejected spec are reported as refused")
    {
        REQUIRE_CALL(server, send(trompeloeil::_)).RETURN(problem(409, QStringLiteral("conflict")));
        CHECK(runner.run(put).detail.startsWith(QStringLiteral("conflict")));
        REQUIRE_CALL(server, send(trompeloeil::_)).RETURN(problem(422, QStringLiteral("rejected")));
        CHECK(runner.run(put).mayDependOnOtherStep);
    }

    SECTION("a lost response is resolved by querying the change id")
    {
        trompeloeil::sequence order;
        REQUIRE_CALL(server, send(trompeloeil::_)).WITH(first(_1)).IN_SEQUENCE(order).RETURN(api_response{});
        REQUIRE_CALL(server, send(trompeloeil::_))
            .WITH(isQuery(_1))
            .IN_SEQUENCE(order)
            .RETURN(state(QStringLiteral("accepted")));
        CHECK(runner.run(put).result == step_result::changed);
    }

    SECTION("every attempt carries the same id, and a change that stays pending is unknown")
    {
        REQUIRE_CALL(server, send(trompeloeil::_))
            .WITH(first(_1))
            .TIMES(3)
            .RETURN(problem(504, QStringLiteral("unknown")));
        REQUIRE_CALL(server, send(trompeloeil::_)).WITH(isQuery(_1)).TIMES(3).RETURN(state(QStringLiteral("pending")));
        const auto outcome = runner.run(put);
        CHECK(outcome.result == step_result::unknown);
        CHECK(outcome.changeId == QStringLiteral("id-1"));
        CHECK(ids == 1);
        CHECK(slept == 200ms);
    }

    SECTION("a change that no attempt has run is refused, not unknown")
    {
        REQUIRE_CALL(server, send(trompeloeil::_))
            .WITH(first(_1))
            .TIMES(3)
            .RETURN(problem(503, QStringLiteral("not-run")));
        CHECK(runner.run(put).result == step_result::refused);
    }

    SECTION("one lost response among refused attempts makes the change unknown")
    {
        trompeloeil::sequence order;
        REQUIRE_CALL(server, send(trompeloeil::_)).WITH(first(_1)).IN_SEQUENCE(order).RETURN(api_response{});
        REQUIRE_CALL(server, send(trompeloeil::_))
            .WITH(isQuery(_1))
            .IN_SEQUENCE(order)
            .RETURN(problem(404, QStringLiteral("x")));
        REQUIRE_CALL(server, send(trompeloeil::_))
            .WITH(first(_1))
            .TIMES(2)
            .IN_SEQUENCE(order)
            .RETURN(problem(503, QStringLiteral("not-run")));
        CHECK(runner.run(put).result == step_result::unknown);
    }
}

TEST_CASE("steps that depend on each other are retried while others succeed")
{
    mock_api server;
    std::deque<int> statuses;
    int sent = 0;
    ALLOW_CALL(server, send(trompeloeil::_))
        .LR_RETURN((
            ++sent, statuses.empty() ? api_response{200, {}, {}} : [&] {
                const api_response response{statuses.front(), {}, {}};
                statuses.pop_front();
                return response;
            }()));
    int reported = 0;
    change_runner runner(
        server, [](std::chrono::milliseconds) {}, [] { return QStringLiteral("id"); }, {1, 0ms});
    const auto report = [&](const plan_step &, const step_outcome &) { ++reported; };

    SECTION("a step that is rejected first succeeds after the step that it depends on")
    {
        statuses = {422, 200, 200};
        CHECK(runner.runAll({put, put}, report) == step_result::changed);
        CHECK(sent == 3);
    }
    SECTION("a step that stays rejected is reported as refused")
    {
        statuses = {422, 422, 422, 422};
        CHECK(runner.runAll({put, put}, report) == step_result::refused);
        CHECK(sent == 4);
        CHECK(reported == 2);
    }
}
