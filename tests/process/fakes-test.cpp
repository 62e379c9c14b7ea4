#include "fleet.h"
#include "generation.h"

#include <QJsonArray>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::process;
using namespace Qt::Literals::StringLiterals;

namespace
{

const QString records = u"/v1/logs/config/records"_s;

QByteArray callBody(const QJsonObject &request)
{
    return toJson({{u"request"_s, request}});
}

} // namespace

TEST_CASE("the fake platform applies its fault settings", "[fakes]")
{
    const auto setup = fleet_builder().daemons(0).start();
    const QString platform = setup->platform().address();
    http_caller &http = setup->http();
    const auto append = [&](const QByteArray &payload) { return http.request("POST", platform, records, payload); };
    const auto read = [&](const QString &query) { return http.request("GET", platform, records + query)->json(); };
    REQUIRE(append("one")->json().value(u"offset").toInt() == 1);

    SECTION("a read waits for the next record")
    {
        const auto waiting = http.send("GET", platform, records + u"?from=2&limit=9&wait_ms=20000"_s);
        runEventLoopFor(std::chrono::milliseconds(50));
        CHECK_FALSE(waiting->isDone());
        append("two");
        REQUIRE(waitForAll({waiting}));
        CHECK(waiting->json().value(u"records").toArray().size() == 1);
    }

    SECTION("an append with a lost answer takes effect, one during an outage does not")
    {
        setup->setPlatformFaults({{u"lose_answers"_s, 1}});
        CHECK_FALSE(append("two")->isComplete());
        setup->setPlatformFaults({{u"log_outage"_s, true}});
        CHECK(append("three")->header("Masticlever-Applied") == "no");
        setup->setPlatformFaults({{u"log_outage"_s, false}});
        CHECK(read(u"?from=1&limit=9"_s).value(u"end").toInt() == 3);
    }

    SECTION("retention advances the head")
    {
        append("two");
        setup->setPlatformFaults({{u"retention_records"_s, 1}});
        CHECK(read(u"?from=1&limit=9"_s).value(u"head").toInt() == 2);
    }
}

TEST_CASE("the fake endpoint applies injected faults", "[fakes]")
{
    const auto setup = fleet_builder().daemons(0).start();
    http_caller &http = setup->http();

    SECTION("a complete stream ends with length and digest, a truncated one does not")
    {
        const QString address
            = setup->startEndpoint(u"g"_s, u"generate"_s, {u"--tokens-per-second"_s, u"1000"_s}).address();
        const QJsonObject request{{u"prompt"_s, u"wool"_s}, {u"max_tokens"_s, 20}};
        const header_list headers{{"Accept", "text/event-stream"}, {"Masticlever-Call-Id", "a-1"}};
        const auto whole = http.request("POST", address, u"/run"_s, callBody(request), headers);
        const auto events = whole->events();
        REQUIRE(events.size() == 21);
        CHECK(events.back().name == "end");
        const QByteArray text = fakes::generatedText(request);
        CHECK(events.back().data.value(u"digest").toString().toLatin1() == fakes::sha256(text));

        setup->injectFault(u"g"_s, u"cut"_s, 1);
        const auto cut = http.request("POST", address, u"/run"_s, callBody(request), headers);
        CHECK_FALSE(cut->isComplete());
        CHECK(cut->events().size() == 3);
    }

    SECTION("a non-repeatable call continues after its caller disconnects, and its status becomes done")
    {
        const QString address
            = setup->startEndpoint(u"o"_s, u"order"_s, {u"--checks-fencing"_s, u"--service-ms"_s, u"300"_s}).address();
        const header_list headers{{"Idempotency-Key", "t/k/order"}, {"Masticlever-Fencing", "7"}};
        const auto call = http.send("POST", address, u"/run"_s, callBody({}), headers);
        REQUIRE(waitUntil([&] { return setup->counters(u"o"_s).value(u"in_flight").toInt() == 1; }));
        call->abort();
        const auto status = [&] {
            return http.request("GET", address, u"/status?run=t%2Fk%2Forder"_s)->json().value(u"state").toString();
        };
        CHECK(waitUntil([&] { return status() == u"done"; }));

        SECTION("a call with an older fencing number is refused")
        {
            const header_list older{{"Idempotency-Key", "t/k/order"}, {"Masticlever-Fencing", "6"}};
            const auto refused = http.request("POST", address, u"/run"_s, callBody({}), older);
            CHECK(refused->status() == 409);
            CHECK(refused->header("Masticlever-Run") == "no");
            CHECK(setup->countCalls("k") == 1);
        }
    }
}
