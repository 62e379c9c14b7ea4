#include "log-fixture.h"

#include <masticlever/common/errors.h>
#include <masticlever/configuration/change-tracker.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::configuration;
using namespace masticlever::configuration::test;
using namespace std::chrono_literals;

TEST_CASE("an instance brings an operator's change into the log")
{
    const common::instant start{};
    const change_tracker_options options;
    change_tracker tracker(options);
    memory_log log;
    replayer reader;
    log.append(encodeChange(putEndpoint("c0", "desk-1", 0)));
    readAll(reader, log);
    const change move = putEndpoint("c1", "desk-1", 1, "desk", 2);
    const auto replay = [&] {
        readAll(reader, log);
        tracker.onReplayed(reader, start);
    };

    SECTION("what can never be accepted is settled without an append")
    {
        CHECK(tracker.submit(putEndpoint("c2", "Desk", 0), reader, start).outcome.field == "name");
        CHECK(tracker.submit(putEndpoint("c3", "desk-1", 1, "p", 0), reader, start).outcome.field == "spec.slots");
        log.append(encodeChange(putEndpoint("other", "desk-1", 1, "desk", 3)));
        replay();
        CHECK(tracker.submit(move, reader, start).outcome.status == change_status::conflict);
        CHECK(tracker.takeAppends(start).empty());
    }

    SECTION("what only later records can make valid is left to the log")
    {
        CHECK(tracker.submit(putPipeline("p", "order", 0, "nowhere"), reader, start).progress
              == change_progress::pending);
        CHECK(tracker.submit(putEndpoint("v", "desk-1", 9), reader, start).progress == change_progress::pending);
    }

    SECTION("a change is settled when its record was read back")
    {
        REQUIRE(tracker.submit(move, reader, start).progress == change_progress::pending);
        const auto appends = tracker.takeAppends(start);
        REQUIRE(appends.size() == 1);
        CHECK(tracker.takeAppends(start).empty());
        tracker.onAppendEnded("c1", log.append(appends[0].payload), start);
        CHECK(tracker.takeEnded().empty());
        replay();
        const auto ended = tracker.takeEnded();
        REQUIRE(ended.size() == 1);
        CHECK(ended[0].outcome.status == change_status::accepted);
        CHECK(ended[0].outcome.version == 2);

        SECTION("and a repeated request gets the same outcome")
        {
            CHECK(tracker.submit(move, reader, start).outcome.version == 2);
            CHECK(tracker.takeAppends(start + 1min).empty());
        }
        SECTION("but its id is of no use for another change")
        {
            CHECK(tracker.submit(putEndpoint("c1", "desk-9", 0), reader, start).outcome.field == "change_id");
        }
        SECTION("and is forgotten here in the end")
        {
            tracker.onTimer(start + options.keepFor);
            CHECK(tracker.nextWakeUp() == common::instant::max());
            CHECK(tracker.find("c1", reader)->progress == change_progress::settled);
        }
    }

    SECTION("a lost answer is settled by reading")
    {
        tracker.submit(move, reader, start);
        log.append(tracker.takeAppends(start)[0].payload);
        tracker.onAppendEnded("c1", common::make_error_code(common::error::lost_answer), start);
        replay();
        CHECK(tracker.find("c1", reader)->outcome.version == 2);
        CHECK(tracker.takeAppends(start + 1min).empty());
    }

    SECTION("an append that vanished is made again under the same id")
    {
        tracker.submit(move, reader, start);
        const auto first = tracker.takeAppends(start);
        tracker.onAppendEnded("c1", common::make_error_code(common::error::lost_answer), start);
        CHECK(tracker.takeAppends(start).empty());
        CHECK(tracker.nextWakeUp() == start + options.retryInterval);
        const auto second = tracker.takeAppends(start + options.retryInterval);
        REQUIRE(second.size() == 1);
        CHECK(second[0].payload == first[0].payload);

        SECTION("and is unknown when neither shows in time")
        {
            tracker.onTimer(start + options.deadline);
            const auto ended = tracker.takeEnded();
            REQUIRE(ended.size() == 1);
            CHECK(ended[0].progress == change_progress::unknown);
            CHECK(ended[0].id == "c1");
            CHECK(tracker.takeAppends(start + options.deadline).empty());

            SECTION("until a late record settles it")
            {
                log.append(first[0].payload);
                log.append(second[0].payload);
                replay();
                CHECK(tracker.find("c1", reader)->outcome.status == change_status::accepted);
                CHECK(reader.current()->endpoints.at("desk-1").version == 2);
            }
            SECTION("or the operator asks again, with the same id")
            {
                tracker.onAppendEnded("c1", common::make_error_code(common::error::lost_answer), start);
                CHECK(tracker.submit(move, reader, start + 1min).progress == change_progress::pending);
                CHECK(tracker.takeAppends(start + 1min).size() == 1);
            }
        }
    }

    SECTION("a log that refuses every append leaves the change not applied")
    {
        tracker.submit(move, reader, start);
        for (auto now = start; now < start + options.deadline; now += options.retryInterval) {
            CHECK(tracker.takeAppends(now).size() == 1);
            tracker.onAppendEnded("c1", common::make_error_code(common::error::unavailable), now);
        }
        tracker.onTimer(start + options.deadline);
        CHECK(tracker.takeEnded().at(0).progress == change_progress::not_applied);
    }

    SECTION("another change under the same id that came first through another instance is no success")
    {
        tracker.submit(move, reader, start);
        log.append(encodeChange(putEndpoint("c1", "desk-9", 0)));
        replay();
        CHECK(tracker.takeEnded().at(0).outcome.field == "change_id");
    }

    SECTION("an id that nobody used is not known")
    {
        CHECK_FALSE(tracker.find("c9", reader));
    }
}
