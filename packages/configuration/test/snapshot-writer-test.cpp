#include "log-fixture.h"

#include <masticlever/configuration/snapshot-writer.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::configuration;
using namespace masticlever::configuration::test;
using namespace std::chrono_literals;

TEST_CASE("snapshot writer keeps a usable snapshot in the log")
{
    const common::instant start{};
    const common::wall_time wallStart{};
    snapshot_writer_options options;
    options.records = 3;
    snapshot_writer writer(options);
    memory_log log;
    replayer reader;
    const auto appendChanges = [&](int count) {
        for (int i = 0; i < count; ++i) {
            const std::string number = std::to_string(log.end());
            log.append(encodeChange(putEndpoint("c" + number, "desk-" + number, 0)));
        }
        readAll(reader, log);
    };

    SECTION("no snapshot is due for an empty configuration")
    {
        readAll(reader, log);
        CHECK_FALSE(writer.poll(reader, 0, start, wallStart));
    }

    SECTION("the instance of rank 0 writes a snapshot after the first records")
    {
        appendChanges(1);
        const auto payload = writer.poll(reader, 0, start, wallStart);
        REQUIRE(payload);
        CHECK_FALSE(writer.poll(reader, 0, start, wallStart));
        log.append(*payload);
        writer.onAppendEnded(true, start);
        readAll(reader, log);
        CHECK_FALSE(writer.isDue(reader, wallStart));

        SECTION("the next one is due after the configured number of records")
        {
            appendChanges(3);
            CHECK_FALSE(writer.isDue(reader, wallStart));
            appendChanges(1);
            CHECK(writer.isDue(reader, wallStart));
            CHECK(writer.poll(reader, 0, start, wallStart));
        }
        SECTION("or after the maximum age, so that an idle log keeps a snapshot")
        {
            CHECK(writer.isDue(reader, wallStart + options.maximumAge));
        }
        SECTION("or when retention comes close to the snapshot")
        {
            appendChanges(3);
            log.dropBelow(3);
            readAll(reader, log);
            CHECK(writer.isDue(reader, wallStart));
        }
    }

    SECTION("instances of higher rank wait longer")
    {
        appendChanges(4);
        CHECK_FALSE(writer.poll(reader, 2, start, wallStart));
        CHECK_FALSE(writer.poll(reader, 2, start + options.stagger, wallStart));
        CHECK(writer.poll(reader, 2, start + 2 * options.stagger, wallStart));

        SECTION("and retry a lost append after the retry interval")
        {
            const auto later = start + 2 * options.stagger;
            writer.onAppendEnded(false, later);
            CHECK_FALSE(writer.poll(reader, 2, later, wallStart));
            CHECK(writer.poll(reader, 2, later + options.retryInterval, wallStart));
        }
    }
}
