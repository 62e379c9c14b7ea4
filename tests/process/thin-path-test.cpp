#include "generation.h"
#include "scenario.h"

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::process;
using namespace Qt::Literals::StringLiterals;

TEST_CASE("every instance runs a request through its stages", "[thin]")
{
    SECTION("a stream is complete and belongs to its own request")
    {
        const auto setup = adviceFleet().start();
        for (std::size_t i = 0; i < setup->size(); ++i) {
            const QJsonObject body = request(u"lot %1"_s.arg(i));
            const auto call = setup->run(i, u"advice"_s, body, {.stream = true});
            CHECK(call->status() == 200);
            CHECK(completeText(*call) == fakes::generatedText(body));
        }
    }

    SECTION("an order runs once under the caller's key")
    {
        const auto setup = bookingFleet().start();
        for (std::size_t i = 0; i < setup->size(); ++i) {
            const QJsonObject body = request(u"order %1"_s.arg(i));
            const caller_options caller;
            const auto call = setup->run(i, u"booking"_s, body, caller);
            REQUIRE(call->status() == 200);
            const QJsonObject result = call->json().value(u"result").toObject();
            CHECK(result.value(u"stage").toString() == u"confirm");
            CHECK(result.value(u"prompt_digest").toString().toLatin1() == fakes::promptDigest(body));
            CHECK(setup->countCalls(caller.key) == 1);
        }
    }
}
