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
    MAKE_MOCK1(send, response(const request &), override);
};

response problem(int status, const QString &type)
{
    return {status, {{QStringLiteral("type"), QStringLiteral("urn:masticlever:") + type}}, {}};
}

response state(const QString &text)
{
    return {200, {{QStringLiteral("state"), text}}, {}};
}

const step put{step_action::update, masticlever::configuration::resource_kind::team, "hawick", 4, "{}", "{}"};

auto isPut(const QString &id)
{
    return [id](const request &what) {
        return what.method == "PUT" && what.changeId == id && what.expectedVersion == 4
            && what.path == QStringLiteral("/v1/resources/team/hawick");
    };
}

bool isQuery(const request &what)
{
    return what.method == "GET" && what.path == QStringLiteral("/v1/changes/id-1");
}

} // namespace

TEST_CASE("the command brings a change to a certain outcome")
{
    mock_api server;
    int ids = 0;
    std::chrono::milliseconds slept{};
    change_runner runner(
        server, [&](std::chrono::milliseconds wait) { slept += wait; },
        [&] { return QStringLiteral("id-%1").arg(++ids); }, {3, 100ms});
    const auto first = isPut(QStringLiteral("id-1"));

    SECTION("an accepted change is told as such")
    {
        REQUIRE_CALL(server, send(trompeloeil::_)).WITH(first(_1)).RETURN(response{200, {}, {}});
        CHECK(runner.run(put).result == step_result::changed);
        CHECK(slept == 0ms);
    }

    SECTION("a conflict and a fault are refusals")
    {
        REQUIRE_CALL(server, send(trompeloeil::_)).RETURN(problem(409, QStringLiteral("conflict")));
        CHECK(runner.run(put).detail.startsWith(QStringLiteral("conflict")));
        REQUIRE_CALL(server, send(trompeloeil::_)).RETURN(problem(422, QStringLiteral("rejected")));
        CHECK(runner.run(put).isDependent);
    }

    SECTION("a lost answer is settled by asking for the change id")
    {
        trompeloeil::sequence order;
        REQUIRE_CALL(server, send(trompeloeil::_)).WITH(first(_1)).IN_SEQUENCE(order).RETURN(response{});
        REQUIRE_CALL(server, send(trompeloeil::_))
            .WITH(isQuery(_1))
            .IN_SEQUENCE(order)
            .RETURN(state(QStringLiteral("accepted")));
        CHECK(runner.run(put).result == step_result::changed);
    }

    SECTION("every attempt carries the same id, and what stays open is unknown")
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

    SECTION("a change that every attempt left out is refused, not unknown")
    {
        REQUIRE_CALL(server, send(trompeloeil::_))
            .WITH(first(_1))
            .TIMES(3)
            .RETURN(problem(503, QStringLiteral("not-run")));
        CHECK(runner.run(put).result == step_result::refused);
    }

    SECTION("but one lost attempt among them makes it unknown")
    {
        trompeloeil::sequence order;
        REQUIRE_CALL(server, send(trompeloeil::_)).WITH(first(_1)).IN_SEQUENCE(order).RETURN(response{});
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

TEST_CASE("steps that wait for each other are tried again while others succeed")
{
    mock_api server;
    std::deque<int> statuses;
    int sent = 0;
    ALLOW_CALL(server, send(trompeloeil::_))
        .LR_RETURN((
            ++sent, statuses.empty() ? response{200, {}, {}} : [&] {
                const response answer{statuses.front(), {}, {}};
                statuses.pop_front();
                return answer;
            }()));
    int reported = 0;
    change_runner runner(
        server, [](std::chrono::milliseconds) {}, [] { return QStringLiteral("id"); }, {1, 0ms});
    const auto report = [&](const step &, const step_outcome &) { ++reported; };

    SECTION("a step refused first succeeds after another")
    {
        statuses = {422, 200, 200};
        CHECK(runner.runAll({put, put}, report) == step_result::changed);
        CHECK(sent == 3);
    }
    SECTION("a step that nothing cures is refused in the end")
    {
        statuses = {422, 422, 422, 422};
        CHECK(runner.runAll({put, put}, report) == step_result::refused);
        CHECK(sent == 4);
        CHECK(reported == 2);
    }
}
