#include "generation.h"
#include "scenario.h"

#include <QJsonArray>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::process;
using namespace Qt::Literals::StringLiterals;

namespace
{

/// Asks daemon \p index for the run until it is finished.
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

    SECTION("before it has claimed: the repeat runs it")
    {
        setup->fault(u"quote-1"_s, u"slow"_s, 1, 2'000);
        const auto lost = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"quote-1"_s));
        setup->daemon(0).kill();
        CHECK(repeat()->status() == 200);
        CHECK(setup->callsOf(caller.key) == 1);
    }

    SECTION("while its claim is under way: nobody sends, and nobody says that it was not run")
    {
        const int before = setup->appendsArrived(u"ledger"_s);
        setup->knobs({{u"append_delay_ms"_s, 700}});
        const auto lost = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(waitUntil([&] { return setup->appendsArrived(u"ledger"_s) > before; }));
        setup->daemon(0).kill();
        setup->knobs({{u"append_delay_ms"_s, 0}});
        letPass(std::chrono::milliseconds(1'500));
        CHECK(problemOf(*repeat()) == u"unknown");
        CHECK(setup->callsOf(caller.key) == 0);

        SECTION("until an operator settles it")
        {
            const auto listed = [&] { return setup->operate("GET", u"/v1/operator/runs"_s, 1)->body(); };
            CHECK(waitUntil([&] { return listed().contains(caller.key); }));
            const QString target = u"/v1/operator/runs/hawick/%1/settle"_s.arg(QString::fromLatin1(caller.key));
            CHECK(setup->operate("POST", target, 1, R"({"booked":true})")->status() == 202);
            CHECK(waitUntilFinished(*setup, 2, caller.key));
            CHECK(setup->callsOf(caller.key) == 0);
        }
    }

    SECTION("after it has sent: the endpoint's status settles it")
    {
        setup->fault(u"order-1"_s, u"slow"_s, 1, 1'500);
        const auto lost = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"order-1"_s));
        setup->daemon(0).kill();
        CHECK(waitUntilFinished(*setup, 2, caller.key));
        CHECK(repeat()->status() == 200);
        CHECK(setup->callsOf(caller.key) == 1);
    }

    SECTION("after the order's answer: another instance goes on without a caller")
    {
        setup->fault(u"confirm-1"_s, u"slow"_s, 1, 3'000);
        const auto lost = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"confirm-1"_s));
        letPass(std::chrono::milliseconds(200));
        setup->daemon(0).kill();
        CHECK(waitUntilFinished(*setup, 2, caller.key));
        CHECK(repeat()->json().value(u"result").toObject().value(u"stage").toString() == u"confirm");
        CHECK(setup->callsOf(caller.key) == 1);
    }
}

TEST_CASE("a key is used again", "[repeats]")
{
    const auto setup = bookingFleet().start();
    const QJsonObject body = request(u"one pair in grey"_s);
    const caller_options caller;

    SECTION("at two other instances while it runs: all join it")
    {
        setup->fault(u"order-1"_s, u"slow"_s, 1, 1'000);
        const auto first = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"order-1"_s));
        const auto second = setup->send(1, u"booking"_s, body, caller);
        const auto third = setup->send(2, u"booking"_s, body, caller);
        REQUIRE(waitForAll({first, second, third}));
        CHECK(first->status() == 200);
        CHECK(second->json().value(u"result") == first->json().value(u"result"));
        CHECK(third->json().value(u"result") == first->json().value(u"result"));
        CHECK(setup->callsOf(caller.key) == 1);
    }

    SECTION("at three instances at once: one sends")
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
        CHECK(setup->callsOf(caller.key) == 1);
    }

    SECTION("after its end")
    {
        const auto first = setup->run(0, u"booking"_s, body, caller);
        REQUIRE(first->status() == 200);

        SECTION("another instance gives the recorded result")
        {
            REQUIRE(waitUntilFinished(*setup, 1, caller.key));
            const auto repeated = setup->run(1, u"booking"_s, body, caller);
            CHECK(repeated->json().value(u"replayed").toBool());
            CHECK(repeated->json().value(u"result") == first->json().value(u"result"));
            CHECK(setup->callsOf(caller.key) == 1);
        }

        SECTION("with another body it is a conflict")
        {
            REQUIRE(waitUntilFinished(*setup, 1, caller.key));
            const auto other = setup->run(1, u"booking"_s, request(u"nine pairs"_s), caller);
            CHECK(other->status() == 409);
            CHECK(problemOf(*other) == u"conflict");
            CHECK(setup->callsOf(caller.key) == 1);
        }

        SECTION("from another team it is another request")
        {
            CHECK(setup->runStatus(1, caller.key, otherTeamToken)->status() == 404);
            const QJsonObject otherBody = request(u"a rival's order"_s);
            const auto other = setup->run(1, u"booking"_s, otherBody, {.key = caller.key, .token = otherTeamToken});
            REQUIRE(other->status() == 200);
            const QString digest = other->json().value(u"result").toObject().value(u"prompt_digest").toString();
            CHECK(digest.toLatin1() == fakes::promptDigest(otherBody));
            CHECK(setup->callsOf(caller.key) == 2);
        }
    }

    SECTION("after its caller has hung up: the order was finished without it")
    {
        setup->fault(u"order-1"_s, u"slow"_s, 1, 1'000);
        const auto first = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"order-1"_s));
        first->hangUp();
        CHECK(waitUntilFinished(*setup, 1, caller.key));
        CHECK(setup->run(1, u"booking"_s, body, caller)->json().value(u"replayed").toBool());
        CHECK(setup->callsOf(caller.key) == 1);
    }

    SECTION("after a call that may have run: it stays unknown, everywhere")
    {
        setup->fault(u"dispatch-1"_s, u"close_after_read"_s, 1);
        CHECK(problemOf(*setup->run(0, u"pickup"_s, body, caller)) == u"unknown");
        for (std::size_t i = 0; i < setup->size(); ++i) {
            CHECK(problemOf(*setup->run(i, u"pickup"_s, body, caller)) == u"unknown");
        }
        CHECK(setup->callsOf(caller.key) == 1);
    }
}

TEST_CASE("the instance that runs an order is paused past its lease", "[pauses]")
{
    const auto setup = bookingFleet().start();
    const QJsonObject body = request(u"a quilt"_s);
    const caller_options caller;

    SECTION("while its call is under way")
    {
        setup->fault(u"order-1"_s, u"slow"_s, 1, 1'000);
        const auto first = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(setup->waitUntilBusy(u"order-1"_s));
        setup->daemon(0).stop();
        CHECK(waitUntilFinished(*setup, 1, caller.key));
        setup->daemon(0).resume();
        REQUIRE(waitForAll({first}));
        CHECK((first->status() == 200 || problemOf(*first) == u"unknown"));
        CHECK(setup->callsOf(caller.key) == 1);
    }

    SECTION("while its claim is under way, and the key comes to another instance")
    {
        const int before = setup->appendsArrived(u"ledger"_s);
        setup->knobs({{u"append_delay_ms"_s, 500}});
        const auto first = setup->send(0, u"booking"_s, body, caller);
        REQUIRE(waitUntil([&] { return setup->appendsArrived(u"ledger"_s) > before; }));
        setup->daemon(0).stop();
        setup->knobs({{u"append_delay_ms"_s, 0}});
        const auto second = setup->send(1, u"booking"_s, body, caller);
        letPass(std::chrono::milliseconds(3'000));
        setup->daemon(0).resume();
        REQUIRE(waitForAll({first, second}, std::chrono::milliseconds(40'000)));
        const bool anyAnswered = first->status() == 200 || second->status() == 200;
        CHECK(setup->callsOf(caller.key) <= 1);
        CHECK((!anyAnswered || setup->callsOf(caller.key) == 1));
        const bool anySaysNotRun = problemOf(*first) == u"not-run" || problemOf(*second) == u"not-run";
        CHECK((!anySaysNotRun || setup->callsOf(caller.key) == 0 || anyAnswered));
    }
}
