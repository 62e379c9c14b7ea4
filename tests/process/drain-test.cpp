#include "generation.h"
#include "scenario.h"

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::process;
using namespace Qt::Literals::StringLiterals;

TEST_CASE("an instance drains its requests after SIGTERM", "[drain]")
{
    auto builder = bookingFleet();
    builder.endpoint(u"generate-1"_s, u"generate"_s, {u"--tokens-per-second"_s, u"50"_s});
    builder.pipeline(u"chat"_s,
                     pipelineOf({stage(u"generate"_s, {{u"streamed"_s, true}})}, {{u"deadline_ms"_s, 30'000}}));
    const auto setup = builder.start();
    setup->injectFault(u"order-1"_s, u"slow"_s, 1, 1'500);

    std::vector<http_call_ptr> streams;
    streams.reserve(8);
    for (int i = 0; i < 8; ++i) {
        streams.push_back(setup->send(0, u"chat"_s, request(u"lot %1"_s.arg(i), 150), {.stream = true}));
    }
    const caller_options caller;
    const auto order = setup->send(0, u"booking"_s, request(u"lot"_s), caller);
    REQUIRE(setup->waitUntilBusy(u"order-1"_s));
    REQUIRE(waitUntil([&] { return streams.back()->events().size() > 2; }));

    setup->daemon(0).terminate();
    const auto late = setup->run(0, u"chat"_s, request(u"still here"_s, 5), {.stream = true});
    CHECK(completeText(*late) == fakes::generatedText(request(u"still here"_s, 5)));

    const auto exitCode = setup->daemon(0).waitForExit();
    REQUIRE(exitCode.has_value());
    CHECK(*exitCode == 0);
    REQUIRE(waitForAll(streams));
    for (int i = 0; i < 8; ++i) {
        CHECK(completeText(*streams[static_cast<std::size_t>(i)])
              == fakes::generatedText(request(u"lot %1"_s.arg(i), 150)));
    }
    REQUIRE(waitForAll({order}));
    CHECK(order->status() == 200);
    CHECK(setup->countCalls(caller.key) == 1);
}
