#include "log-fixture.h"

#include <masticlever/configuration/snapshot-writer.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::configuration;
using namespace masticlever::configuration::test;
using namespace std::chrono_literals;

TEST_CASE("an instance keeps a base in the log")
{
    const common::instant start{};
    const common::wall_time wallStart{};
    snapshot_writer_options options;
    options.records = 3;
    snapshot_writer writer(options);
    memory_log log;
    replayer reader;
    const auto grow = [&](int count) {
        for (int i = 0; i < count; ++i) {
            const std::string number = std::to_string(log.end());
            log.append(encodeChange(putEndpoint("c" + number, "desk-" + number, 0)));
        }
        readAll(reader, log);
    };

    SECTION("an empty configuration needs none")
    {
        readAll(reader, log);
        CHECK_FALSE(writer.poll(reader, 0, start, wallStart));
    }

    SECTION("the first records get one, written by the first instance")
    {
        grow(1);
        const auto payload = writer.poll(reader, 0, start, wallStart);
        REQUIRE(payload);
        CHECK_FALSE(writer.poll(reader, 0, start, wallStart));
        log.append(*payload);
        writer.onAppendEnded(true, start);
        readAll(reader, log);
        CHECK_FALSE(writer.isDue(reader, wallStart));

        SECTION("the next follows after so many changes")
        {
            grow(3);
            CHECK_FALSE(writer.isDue(reader, wallStart));
            grow(1);
            CHECK(writer.isDue(reader, wallStart));
            CHECK(writer.poll(reader, 0, start, wallStart));
        }
        SECTION("or with time, so that a quiet log keeps its base")
        {
            CHECK(writer.isDue(reader, wallStart + options.refresh));
        }
        SECTION("or when retention comes close to the base")
        {
            grow(3);
            log.dropBelow(3);
            readAll(reader, log);
            CHECK(writer.isDue(reader, wallStart));
        }
    }

    SECTION("other instances wait for their turn")
    {
        grow(4);
        CHECK_FALSE(writer.poll(reader, 2, start, wallStart));
        CHECK_FALSE(writer.poll(reader, 2, start + options.stagger, wallStart));
        CHECK(writer.poll(reader, 2, start + 2 * options.stagger, wallStart));

        SECTION("and try again some time after a lost append")
        {
            const auto later = start + 2 * options.stagger;
            writer.onAppendEnded(false, later);
            CHECK_FALSE(writer.poll(reader, 2, later, wallStart));
            CHECK(writer.poll(reader, 2, later + options.retryInterval, wallStart));
        }
    }
}
