#include "log-fixture.h"

#include <masticlever/common/errors.h>
#include <masticlever/configuration/change-tracker.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::configuration;
using namespace masticlever::configuration::test;
using namespace std::chrono_literals;

TEST_CASE("change tracker appends an operator's change to the log")
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

    SECTION("a change that can never be accepted is settled without an append")
    {
        CHECK(tracker.submit(putEndpoint("c2", "Desk", 0), reader, start).outcome.field == "name");
        CHECK(tracker.submit(putEndpoint("c3", "desk-1", 1, "p", 0), reader, start).outcome.field == "spec.slots");
        log.append(encodeChange(putEndpoint("other", "desk-1", 1, "desk", 3)));
        replay();
        CHECK(tracker.submit(move, reader, start).outcome.status == change_status::conflict);
        CHECK(tracker.takeAppends(start).empty());
    }

    SECTION("a change that later records could make valid stays pending")
    {
        CHECK(tracker.submit(putPipeline("p", "order", 0, "nowhere"), reader, start).progress
              == change_progress::pending);
        CHECK(tracker.submit(putEndpoint("v", "desk-1", 9), reader, start).progress == change_progress::pending);
    }

    SECTION("a change is settled when its record is replayed")
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
        SECTION("but another change can't reuse its id")
        {
            CHECK(tracker.submit(putEndpoint("c1", "desk-9", 0), reader, start).outcome.field == "change_id");
        }
        SECTION("and the tracker drops it after the retention time")
        {
            tracker.onTimer(start + options.keepFor);
            CHECK(tracker.nextWakeUp() == common::instant::max());
            CHECK(tracker.find("c1", reader)->progress == change_progress::settled);
        }
    }

    SECTION("a change whose append answer is lost is settled by replay")
    {
        tracker.submit(move, reader, start);
        log.append(tracker.takeAppends(start)[0].payload);
        tracker.onAppendEnded("c1", common::make_error_code(common::error::lost_answer), start);
        replay();
        CHECK(tracker.find("c1", reader)->outcome.version == 2);
        CHECK(tracker.takeAppends(start + 1min).empty());
    }

    SECTION("a lost append is retried under the same id")
    {
        tracker.submit(move, reader, start);
        const auto first = tracker.takeAppends(start);
        tracker.onAppendEnded("c1", common::make_error_code(common::error::lost_answer), start);
        CHECK(tracker.takeAppends(start).empty());
        CHECK(tracker.nextWakeUp() == start + options.retryInterval);
        const auto second = tracker.takeAppends(start + options.retryInterval);
        REQUIRE(second.size() == 1);
        CHECK(second[0].payload == first[0].payload);

        SECTION("and the change is unknown when neither append is replayed before the deadline")
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
            SECTION("or until the operator submits the same change again")
            {
                tracker.onAppendEnded("c1", common::make_error_code(common::error::lost_answer), start);
                CHECK(tracker.submit(move, reader, start + 1min).progress == change_progress::pending);
                CHECK(tracker.takeAppends(start + 1min).size() == 1);
            }
        }
    }

    SECTION("a change is not applied when the log refuses every append")
    {
        tracker.submit(move, reader, start);
        for (auto now = start; now < start + options.deadline; now += options.retryInterval) {
            CHECK(tracker.takeAppends(now).size() == 1);
            tracker.onAppendEnded("c1", common::make_error_code(common::error::unavailable), now);
        }
        tracker.onTimer(start + options.deadline);
        CHECK(tracker.takeEnded().at(0).progress == change_progress::not_applied);
    }

    SECTION("a change is invalid when another instance's change used the id first")
    {
        tracker.submit(move, reader, start);
        log.append(encodeChange(putEndpoint("c1", "desk-9", 0)));
        replay();
        CHECK(tracker.takeEnded().at(0).outcome.field == "change_id");
    }

    SECTION("an unused id is not found")
    {
        CHECK_FALSE(tracker.find("c9", reader));
    }
}
