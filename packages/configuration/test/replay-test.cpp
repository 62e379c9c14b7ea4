#include "log-fixture.h"

#include <masticlever/configuration/replay.h>

#include <catch2/catch.hpp>

using namespace masticlever::configuration;
using namespace masticlever::configuration::test;

namespace
{

change_outcome decided(const replayer &reader, std::string_view id)
{
    const auto outcome = reader.outcomeOf(id);
    REQUIRE(outcome);
    return *outcome;
}

} // namespace

TEST_CASE("operators change the configuration through the log")
{
    memory_log log;
    replayer reader;
    const auto apply = [&](const change &what) {
        log.append(encodeChange(what));
        REQUIRE(readAll(reader, log) == replay_state::current);
        return decided(reader, what.id);
    };
    REQUIRE(apply(putEndpoint("c1", "desk-1", 0)).status == change_status::accepted);

    SECTION("a resource's version is the offset of the record that wrote it")
    {
        CHECK(decided(reader, "c1").version == 1);
        CHECK(reader.current()->endpoints.at("desk-1").version == 1);
        CHECK(apply(putEndpoint("c2", "desk-1", 1, "desk", 2)).version == 2);

        SECTION("and stays so when the same specification is put again")
        {
            const auto again = apply(putEndpoint("c3", "desk-1", 2, "desk", 2));
            CHECK(again.status == change_status::unchanged);
            CHECK(again.version == 2);
        }
    }

    SECTION("of two racing changes the lower offset wins")
    {
        CHECK(apply(putEndpoint("left", "desk-1", 1, "desk", 2)).status == change_status::accepted);
        const auto loser = apply(putEndpoint("right", "desk-1", 1, "desk", 3));
        CHECK(loser.status == change_status::conflict);
        CHECK(loser.version == 2);
        CHECK(reader.current()->endpoints.at("desk-1").spec.slots == 2);
    }

    SECTION("a second record of a change has no second effect")
    {
        const auto twice = putEndpoint("twice", "desk-2", 0);
        CHECK(apply(twice).version == 2);
        CHECK(apply(removal("gone", resource_kind::endpoint, "desk-2", 2)).status == change_status::accepted);
        CHECK(apply(twice).version == 2);
        CHECK_FALSE(reader.current()->endpoints.contains("desk-2"));
    }

    SECTION("the id of a change is of no use for another one")
    {
        CHECK(reader.outcomeOf(putEndpoint("c1", "desk-1", 0))->status == change_status::accepted);
        CHECK(reader.outcomeOf(putEndpoint("c1", "desk-9", 0))->field == "change_id");
        CHECK(reader.check(putEndpoint("c1", "desk-9", 0)).status == change_status::invalid);
    }

    SECTION("references hold at every offset")
    {
        CHECK(apply(putPipeline("p0", "order", 0, "nowhere")).field == "spec.stages[0].pool");
        REQUIRE(apply(putPipeline("p1", "order", 0)).status == change_status::accepted);
        CHECK(apply(putTeam("t0", "hawick", 0, "absent")).field == "spec.pipelines[0]");
        REQUIRE(apply(putTeam("t1", "hawick", 0, "order")).status == change_status::accepted);
        CHECK(apply(putTeam("t2", "selkirk", 0, "order")).field == "spec.token_digests[0]");
        CHECK(apply(putTeam("t3", "selkirk", 0, "order", 'b')).status == change_status::accepted);

        SECTION("so the last endpoint of a pool and a pipeline in use stay")
        {
            const auto endpoint = apply(removal("r1", resource_kind::endpoint, "desk-1", 1));
            CHECK(endpoint.status == change_status::invalid);
            CHECK(endpoint.field == "pipeline/order/spec.stages[0].pool");
            CHECK(apply(putEndpoint("r2", "desk-1", 1, "other")).field == "pipeline/order/spec.stages[0].pool");
            const auto version = reader.current()->pipelines.at("order").version;
            const auto pipeline = apply(removal("r3", resource_kind::pipeline, "order", version));
            CHECK(pipeline.field == "team/hawick/spec.pipelines[0]");
        }
        SECTION("and an endpoint of several may go")
        {
            REQUIRE(apply(putEndpoint("e2", "desk-2", 0)).status == change_status::accepted);
            CHECK(apply(removal("r4", resource_kind::endpoint, "desk-1", 1)).status == change_status::accepted);
        }
    }

    SECTION("a change can be checked without an effect")
    {
        CHECK(reader.check(putEndpoint("c9", "desk-9", 0)).status == change_status::accepted);
        CHECK(reader.check(putEndpoint("c9", "desk-9", 7)).status == change_status::conflict);
        CHECK(reader.check(putEndpoint("bad id", "desk-9", 0)).field == "change_id");
        CHECK(reader.check(putEndpoint("c9", "desk-9", 0, std::string(70000, 'p'))).field == "spec");
        CHECK(reader.current()->endpoints.size() == 1);
        CHECK_FALSE(reader.outcomeOf("c9"));
    }

    SECTION("records that are no changes are counted and skipped")
    {
        for (const std::string payload :
             {"", "{", "[]", R"({"change":{}})", R"({"snapshot":{}})",
              R"({"change":{"id":"x","op":"put","kind":"pool","name":"a","expected":0}})"}) {
            log.append(payload);
        }
        log.append(R"({"change":{"id":")" + std::string(70000, 'x') + "\"}}");
        REQUIRE(readAll(reader, log) == replay_state::current);
        CHECK(reader.counters().skipped == 7);
        CHECK(reader.current()->offset == 8);
    }
}

TEST_CASE("a log drops its old records")
{
    memory_log log;
    replayer first;
    for (int i = 0; i < 10; ++i) {
        log.append(encodeChange(putEndpoint("c" + std::to_string(i), "desk-" + std::to_string(i), 0)));
    }
    readAll(first, log);
    const std::string covers10 = first.encodeSnapshot();
    log.append(encodeChange(putEndpoint("c10", "desk-10", 0)));

    SECTION("a new instance is not ready while nothing shows the dropped records' effect")
    {
        log.dropBelow(6);
        replayer fresh;
        CHECK(readAll(fresh, log) == replay_state::needs_base);
        CHECK_FALSE(fresh.isReady());
        CHECK(fresh.current()->offset == 0);

        SECTION("a snapshot record gives it the state, and the records above it are replayed")
        {
            log.append(covers10);
            CHECK(readAll(fresh, log) == replay_state::current);
            CHECK(fresh.isReady());
            CHECK(fresh.current()->endpoints.size() == 11);
            readAll(first, log);
            CHECK(fresh.encodeSnapshot() == first.encodeSnapshot());
            CHECK(fresh.outcomeOf("c0")->version == 1);
            CHECK(first.counters().divergences == 0);
        }
        SECTION("so does the state of a peer")
        {
            CHECK(fresh.onPeerState(covers10));
            CHECK(fresh.isReady());
            CHECK(fresh.current()->endpoints.size() == 11);
        }
    }

    SECTION("a snapshot is no base when records above it are gone")
    {
        log.append(covers10);
        log.dropBelow(12);
        replayer fresh;
        CHECK(readAll(fresh, log) == replay_state::needs_base);
        CHECK(fresh.current()->endpoints.empty());
    }

    SECTION("the newest usable snapshot is the base, also when an older one was appended after it")
    {
        readAll(first, log);
        log.append(first.encodeSnapshot());
        log.append(encodeChange(removal("r", resource_kind::endpoint, "desk-0", 1)));
        log.append(covers10);
        log.dropBelow(11);
        replayer fresh;
        CHECK(readAll(fresh, log) == replay_state::current);
        CHECK_FALSE(fresh.current()->endpoints.contains("desk-0"));
        CHECK(fresh.newestSnapshot().covers == 11);
        readAll(first, log);
        CHECK(first.encodeSnapshot() == fresh.encodeSnapshot());
    }

    SECTION("an instance that fell behind the head keeps its state until it finds a base")
    {
        replayer late;
        late.onRecords(log.read(1, 3));
        REQUIRE(late.current()->endpoints.size() == 3);
        readAll(first, log);
        log.dropBelow(12);
        CHECK(readAll(late, log) == replay_state::needs_base);
        CHECK(late.current()->endpoints.size() == 3);
        log.append(first.encodeSnapshot());
        CHECK(readAll(late, log) == replay_state::current);
        CHECK(late.current()->endpoints.size() == 11);
    }

    SECTION("an empty log that once held records is not an empty configuration")
    {
        log.dropBelow(log.end());
        replayer fresh;
        CHECK(readAll(fresh, log) == replay_state::needs_base);
        CHECK_FALSE(fresh.isReady());
    }

    SECTION("a snapshot is due after so many changes")
    {
        CHECK(first.isSnapshotDue(9));
        CHECK_FALSE(first.isSnapshotDue(10));
        readAll(first, log);
        log.append(covers10);
        readAll(first, log);
        CHECK(first.recordsSinceSnapshot() == 1);
    }
}

TEST_CASE("nothing reverts")
{
    memory_log log;
    replayer reader;
    log.append(encodeChange(putEndpoint("c1", "desk-1", 0)));
    log.append(encodeChange(putEndpoint("c2", "desk-1", 1, "desk", 2)));
    readAll(reader, log);
    const auto before = reader.current();

    SECTION("a log that ends below what was applied is refused")
    {
        CHECK(reader.onRecords({1, 2, log.read(1, 1).records}) == replay_state::regressed);
        CHECK(reader.onRecords({1, 1, {}}) == replay_state::regressed);
        CHECK(reader.current() == before);
        CHECK(reader.counters().regressed == 2);
    }
    SECTION("records that were applied are ignored when they come again")
    {
        CHECK(reader.onRecords(log.read(1)) == replay_state::current);
        CHECK(reader.current() == before);
    }
    SECTION("an old state of a peer is ignored")
    {
        replayer old;
        old.onRecords({1, 2, log.read(1, 1).records});
        CHECK_FALSE(reader.onPeerState(old.encodeSnapshot()));
        CHECK(reader.current() == before);
    }
    SECTION("a snapshot with other content is reported and changes nothing")
    {
        replayer other;
        memory_log otherLog;
        otherLog.append(encodeChange(putEndpoint("x1", "desk-7", 0)));
        otherLog.append(encodeChange(putEndpoint("x2", "desk-8", 0)));
        readAll(other, otherLog);
        log.append(other.encodeSnapshot());
        readAll(reader, log);
        CHECK(reader.counters().divergences == 1);
        CHECK_FALSE(reader.current()->endpoints.contains("desk-7"));
        CHECK(reader.newestSnapshot().offset == 0);
    }
    SECTION("a snapshot that claims to cover its own future is garbage")
    {
        readAll(reader, log);
        std::string early = reader.encodeSnapshot();
        memory_log shorter;
        shorter.append(early);
        replayer fresh;
        readAll(fresh, shorter);
        CHECK(fresh.counters().skipped == 1);
        CHECK(fresh.current()->endpoints.empty());
    }
}

TEST_CASE("instances pass records to each other")
{
    memory_log log;
    replayer source;
    for (int i = 0; i < 5; ++i) {
        log.append(encodeChange(putEndpoint("c" + std::to_string(i), "desk-" + std::to_string(i), 0)));
    }
    replayer cut;
    CHECK_FALSE(source.recordsFrom(1, 10));
    readAll(source, log);

    SECTION("an instance that is cut from the log follows a peer and is ready with it")
    {
        cut.onPeerRecords(*source.recordsFrom(cut.nextOffset(), 2));
        CHECK(cut.current()->offset == 2);
        CHECK_FALSE(cut.isReady());
        cut.onPeerRecords(*source.recordsFrom(cut.nextOffset(), 10));
        CHECK(cut.isReady());
        CHECK(cut.encodeSnapshot() == source.encodeSnapshot());
    }
    SECTION("two instances without a state do not make each other ready")
    {
        replayer other;
        CHECK_FALSE(other.recordsFrom(1, 10));
    }
    SECTION("records that are kept no more are not offered")
    {
        replayer based;
        based.onPeerState(source.encodeSnapshot());
        CHECK_FALSE(based.recordsFrom(3, 10));
        CHECK(based.recordsFrom(6, 10)->records.empty());
    }
}
