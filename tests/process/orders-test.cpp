#include "generation.h"
#include "scenario.h"

#include <QJsonArray>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::process;
using namespace Qt::Literals::StringLiterals;

namespace
{

/// Polls daemon \p index until the run is finished.
bool waitUntilFinished(fleet &setup, std::size_t index, const QByteArray &key)
{
    return waitUntil([&] { return setup.runStatus(index, key)->json().value(u"state").toString() == u"finished"; });
}

} // namespace

TEST_CASE("the instance that runs an order is killed", "[kills]")
{
    const auto setup = bookingFleet().start();
    const QJsonObject body = request(u"two pairs in brown"_s);
    const caller_options caller;
    const auto repeat = [&] { return setup->run(1, u"booking"_s, body, caller); };

    SECTION("before it has claimed the run: a retry runs the order")
    {
        setup->injectFault(u"quote-1"_s, u"slow"_s, 1, 2'000);
        const auto lost = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"quote-1"_s));
        setup->daemon(0).kill();
        CHECK(repeat()->status() == 200);
        CHECK(setup->countCalls(caller.key) == 1);
    }

    SECTION("while its claim is in flight: the order is not sent and not reported as not run")
    {
        const int before = setup->receivedAppends(u"ledger"_s);
        setup->setPlatformFaults({{u"append_delay_ms"_s, 700}});
        const auto lost = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(waitUntil([&] { return setup->receivedAppends(u"ledger"_s) > before; }));
        setup->daemon(0).kill();
        setup->setPlatformFaults({{u"append_delay_ms"_s, 0}});
        runEventLoopFor(std::chrono::milliseconds(1'500));
        CHECK(problemOf(*repeat()) == u"unknown");
        CHECK(setup->countCalls(caller.key) == 0);

        SECTION("until an operator settles it")
        {
            const auto listed = [&] { return setup->operatorRequest("GET", u"/v1/operator/runs"_s, 1)->body(); };
            CHECK(waitUntil([&] { return listed().contains(caller.key); }));
            const QString target = u"/v1/operator/runs/hawick/%1/settle"_s.arg(QString::fromLatin1(caller.key));
            CHECK(setup->operatorRequest("POST", target, 1, R"({"booked":true})")->status() == 202);
            CHECK(waitUntilFinished(*setup, 2, caller.key));
            CHECK(setup->countCalls(caller.key) == 0);
        }
    }

    SECTION("after it has sent the order: the endpoint's status settles the run")
    {
        setup->injectFault(u"order-1"_s, u"slow"_s, 1, 1'500);
        const auto lost = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"order-1"_s));
        setup->daemon(0).kill();
        CHECK(waitUntilFinished(*setup, 2, caller.key));
        CHECK(repeat()->status() == 200);
        CHECK(setup->countCalls(caller.key) == 1);
    }

    SECTION("after the order's answer: another instance finishes the run without a caller")
    {
        setup->injectFault(u"confirm-1"_s, u"slow"_s, 1, 3'000);
        const auto lost = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"confirm-1"_s));
        runEventLoopFor(std::chrono::milliseconds(200));
        setup->daemon(0).kill();
        CHECK(waitUntilFinished(*setup, 2, caller.key));
        CHECK(repeat()->json().value(u"result").toObject().value(u"stage").toString() == u"confirm");
        CHECK(setup->countCalls(caller.key) == 1);
    }
}

TEST_CASE("an idempotency key is reused", "[repeats]")
{
    const auto setup = bookingFleet().start();
    const QJsonObject body = request(u"one pair in grey"_s);
    const caller_options caller;

    SECTION("at two other instances during the run: all get its result")
    {
        setup->injectFault(u"order-1"_s, u"slow"_s, 1, 1'000);
        const auto first = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"order-1"_s));
        const auto second = setup->send(1, u"booking"_s, body, caller);
        const auto third = setup->send(2, u"booking"_s, body, caller);
        REQUIRE(waitForAll({first, second, third}));
        CHECK(first->status() == 200);
        CHECK(second->json().value(u"result") == first->json().value(u"result"));
        CHECK(third->json().value(u"result") == first->json().value(u"result"));
        CHECK(setup->countCalls(caller.key) == 1);
    }

    SECTION("at three instances concurrently: the order is sent once")
    {
        std::vector<http_call_ptr> calls;
        calls.reserve(9);
        for (int i = 0; i < 9; ++i) {
            calls.push_back(setup->send(static_cast<std::size_t>(i % 3), u"booking"_s, body, caller));
        }
        REQUIRE(waitForAll(calls));
        for (const auto &call : calls) {
            CHECK(call->status() == 200);
        }
        CHECK(setup->countCalls(caller.key) == 1);
    }

    SECTION("after the run has finished")
    {
        const auto first = setup->run(0, u"booking"_s, body, caller);
        REQUIRE(first->status() == 200);

        SECTION("another instance returns the recorded result")
        {
            REQUIRE(waitUntilFinished(*setup, 1, caller.key));
            const auto repeated = setup->run(1, u"booking"_s, body, caller);
            CHECK(repeated->json().value(u"replayed").toBool());
            CHECK(repeated->json().value(u"result") == first->json().value(u"result"));
            CHECK(setup->countCalls(caller.key) == 1);
        }

        SECTION("with a different body, it is a conflict")
        {
            REQUIRE(waitUntilFinished(*setup, 1, caller.key));
            const auto other = setup->run(1, u"booking"_s, request(u"nine pairs"_s), caller);
            CHECK(other->status() == 409);
            CHECK(problemOf(*other) == u"conflict");
            CHECK(setup->countCalls(caller.key) == 1);
        }

        SECTION("from another team, it is a separate request")
        {
            CHECK(setup->runStatus(1, caller.key, otherTeamToken)->status() == 404);
            const QJsonObject otherBody = request(u"a rival's order"_s);
            const auto other = setup->run(1, u"booking"_s, otherBody, {.key = caller.key, .token = otherTeamToken});
            REQUIRE(other->status() == 200);
            const QString digest = other->json().value(u"result").toObject().value(u"prompt_digest").toString();
            CHECK(digest.toLatin1() == fakes::promptDigest(otherBody));
            CHECK(setup->countCalls(caller.key) == 2);
        }
    }

    SECTION("after its caller has disconnected: the run finishes without it")
    {
        setup->injectFault(u"order-1"_s, u"slow"_s, 1, 1'000);
        const auto first = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"order-1"_s));
        first->abort();
        CHECK(waitUntilFinished(*setup, 1, caller.key));
        CHECK(setup->run(1, u"booking"_s, body, caller)->json().value(u"replayed").toBool());
        CHECK(setup->countCalls(caller.key) == 1);
    }

    SECTION("after a call that may have run: the run stays unknown at every instance")
    {
        setup->injectFault(u"dispatch-1"_s, u"close_after_read"_s, 1);
        CHECK(problemOf(*setup->run(0, u"pickup"_s, body, caller)) == u"unknown");
        for (std::size_t i = 0; i < setup->size(); ++i) {
            CHECK(problemOf(*setup->run(i, u"pickup"_s, body, caller)) == u"unknown");
        }
        CHECK(setup->countCalls(caller.key) == 1);
    }
}

TEST_CASE("the instance that runs an order is paused past its lease", "[pauses]")
{
    const auto setup = bookingFleet().start();
    const QJsonObject body = request(u"a quilt"_s);
    const caller_options caller;

    SECTION("while its call is in flight")
    {
        setup->injectFault(u"order-1"_s, u"slow"_s, 1, 1'000);
        const auto first = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"order-1"_s));
        setup->daemon(0).stop();
        CHECK(waitUntilFinished(*setup, 1, caller.key));
        setup->daemon(0).resume();
        REQUIRE(waitForAll({first}));
        CHECK((first->status() == 200 || problemOf(*first) == u"unknown"));
        CHECK(setup->countCalls(caller.key) == 1);
    }

    SECTION("while its claim is in flight, and the key is sent to another instance")
    {
        const int before = setup->receivedAppends(u"ledger"_s);
        setup->setPlatformFaults({{u"append_delay_ms"_s, 500}});
        const auto first = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(waitUntil([&] { return setup->receivedAppends(u"ledger"_s) > before; }));
        setup->daemon(0).stop();
        setup->setPlatformFaults({{u"append_delay_ms"_s, 0}});
        const auto second = setup->send(1, u"booking"_s, body, caller);
        runEventLoopFor(std::chrono::milliseconds(3'000));
        setup->daemon(0).resume();
        REQUIRE(waitForAll({first, second}, std::chrono::milliseconds(40'000)));
        const bool anyAnswered = first->status() == 200 || second->status() == 200;
        CHECK(setup->countCalls(caller.key) <= 1);
        CHECK((!anyAnswered || setup->countCalls(caller.key) == 1));
        const bool anyNotRun = problemOf(*first) == u"not-run" || problemOf(*second) == u"not-run";
        CHECK((!anyNotRun || setup->countCalls(caller.key) == 0 || anyAnswered));
    }
}
