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

TEST_CASE("replay applies changes from the log")
{
    memory_log log;
    replayer reader;
    const auto apply = [&](const change &requested) {
        log.append(encodeChange(requested));
        REQUIRE(readAll(reader, log) == replay_state::current);
        return decided(reader, requested.id);
    };
    REQUIRE(apply(putEndpoint("c1", "desk-1", 0)).status == change_status::accepted);

    SECTION("a resource's version is the offset of the record that wrote it")
    {
        CHECK(decided(reader, "c1").version == 1);
        CHECK(reader.current()->endpoints.at("desk-1").version == 1);
        CHECK(apply(putEndpoint("c2", "desk-1", 1, "desk", 2)).version == 2);

        SECTION("and does not change when the same specification is put again")
        {
            const auto again = apply(putEndpoint("c3", "desk-1", 2, "desk", 2));
            CHECK(again.status == change_status::unchanged);
            CHECK(again.version == 2);
        }
    }

    SECTION("of two concurrent changes the one with the lower offset wins")
    {
        CHECK(apply(putEndpoint("left", "desk-1", 1, "desk", 2)).status == change_status::accepted);
        const auto loser = apply(putEndpoint("right", "desk-1", 1, "desk", 3));
        CHECK(loser.status == change_status::conflict);
        CHECK(loser.version == 2);
        CHECK(reader.current()->endpoints.at("desk-1").spec.slots == 2);
    }

    SECTION("a duplicate record of a change has no effect")
    {
        const auto twice = putEndpoint("twice", "desk-2", 0);
        CHECK(apply(twice).version == 2);
        CHECK(apply(removeResource("gone", resource_kind::endpoint, "desk-2", 2)).status == change_status::accepted);
        CHECK(apply(twice).version == 2);
        CHECK_FALSE(reader.current()->endpoints.contains("desk-2"));
    }

    SECTION("another change can't reuse a change id")
    {
        CHECK(reader.outcomeOf(putEndpoint("c1", "desk-1", 0))->status == change_status::accepted);
        CHECK(reader.outcomeOf(putEndpoint("c1", "desk-9", 0))->field == "change_id");
        CHECK(reader.check(putEndpoint("c1", "desk-9", 0)).status == change_status::invalid);
    }

    SECTION("references between resources are enforced")
    {
        CHECK(apply(putPipeline("p0", "order", 0, "nowhere")).field == "spec.stages[0].pool");
        REQUIRE(apply(putPipeline("p1", "order", 0)).status == change_status::accepted);
        CHECK(apply(putTeam("t0", "hawick", 0, "absent")).field == "spec.pipelines[0]");
        REQUIRE(apply(putTeam("t1", "hawick", 0, "order")).status == change_status::accepted);
        CHECK(apply(putTeam("t2", "selkirk", 0, "order")).field == "spec.token_digests[0]");
        CHECK(apply(putTeam("t3", "selkirk", 0, "order", 'b')).status == change_status::accepted);

        SECTION("so the last endpoint of a pool in use and a pipeline in use can't be removed")
        {
            const auto endpoint = apply(removeResource("r1", resource_kind::endpoint, "desk-1", 1));
            CHECK(endpoint.status == change_status::invalid);
            CHECK(endpoint.field == "pipeline/order/spec.stages[0].pool");
            CHECK(apply(putEndpoint("r2", "desk-1", 1, "other")).field == "pipeline/order/spec.stages[0].pool");
            const auto version = reader.current()->pipelines.at("order").version;
            const auto pipeline = apply(removeResource("r3", resource_kind::pipeline, "order", version));
            CHECK(pipeline.field == "team/hawick/spec.pipelines[0]");
        }
        SECTION("and an endpoint of a pool with several can be removed")
        {
            REQUIRE(apply(putEndpoint("e2", "desk-2", 0)).status == change_status::accepted);
            CHECK(apply(removeResource("r4", resource_kind::endpoint, "desk-1", 1)).status == change_status::accepted);
        }
    }

    SECTION("a change can be checked without applying it")
    {
        CHECK(reader.check(putEndpoint("c9", "desk-9", 0)).status == change_status::accepted);
        CHECK(reader.check(putEndpoint("c9", "desk-9", 7)).status == change_status::conflict);
        CHECK(reader.check(putEndpoint("bad id", "desk-9", 0)).field == "change_id");
        CHECK(reader.check(putEndpoint("c9", "desk-9", 0, std::string(70000, 'p'))).field == "spec");
        CHECK(reader.current()->endpoints.size() == 1);
        CHECK_FALSE(reader.outcomeOf("c9"));
    }

    SECTION("invalid records are counted and skipped")
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

TEST_CASE("replay works on a log that has dropped old records")
{
    memory_log log;
    replayer existing;
    for (int i = 0; i < 10; ++i) {
        log.append(encodeChange(putEndpoint("c" + std::to_string(i), "desk-" + std::to_string(i), 0)));
    }
    readAll(existing, log);
    const std::string snapshotAt10 = existing.encodeSnapshot();
    log.append(encodeChange(putEndpoint("c10", "desk-10", 0)));

    SECTION("a new instance is not ready without a state that covers the dropped records")
    {
        log.dropBelow(6);
        replayer newInstance;
        CHECK(readAll(newInstance, log) == replay_state::needs_base);
        CHECK_FALSE(newInstance.isReady());
        CHECK(newInstance.current()->offset == 0);

        SECTION("a snapshot record provides the state, and the records above it are replayed")
        {
            log.append(snapshotAt10);
            CHECK(readAll(newInstance, log) == replay_state::current);
            CHECK(newInstance.isReady());
            CHECK(newInstance.current()->endpoints.size() == 11);
            readAll(existing, log);
            CHECK(newInstance.encodeSnapshot() == existing.encodeSnapshot());
            CHECK(newInstance.outcomeOf("c0")->version == 1);
            CHECK(existing.counters().divergences == 0);
        }
        SECTION("the state of a peer makes it ready as well")
        {
            CHECK(newInstance.onPeerState(snapshotAt10));
            CHECK(newInstance.isReady());
            CHECK(newInstance.current()->endpoints.size() == 11);
        }
    }

    SECTION("a snapshot is not usable as a base when records above it are gone")
    {
        log.append(snapshotAt10);
        log.dropBelow(12);
        replayer newInstance;
        CHECK(readAll(newInstance, log) == replay_state::needs_base);
        CHECK(newInstance.current()->endpoints.empty());
    }

    SECTION("the newest usable snapshot is the base even when an older one was appended after it")
    {
        readAll(existing, log);
        log.append(existing.encodeSnapshot());
        log.append(encodeChange(removeResource("r", resource_kind::endpoint, "desk-0", 1)));
        log.append(snapshotAt10);
        log.dropBelow(11);
        replayer newInstance;
        CHECK(readAll(newInstance, log) == replay_state::current);
        CHECK_FALSE(newInstance.current()->endpoints.contains("desk-0"));
        CHECK(newInstance.newestSnapshot().covers == 11);
        readAll(existing, log);
        CHECK(existing.encodeSnapshot() == newInstance.encodeSnapshot());
    }

    SECTION("an instance that lags behind the log's head keeps its state until it reads a base")
    {
        replayer lagging;
        lagging.onRecords(log.read(1, 3));
        REQUIRE(lagging.current()->endpoints.size() == 3);
        readAll(existing, log);
        log.dropBelow(12);
        CHECK(readAll(lagging, log) == replay_state::needs_base);
        CHECK(lagging.current()->endpoints.size() == 3);
        log.append(existing.encodeSnapshot());
        CHECK(readAll(lagging, log) == replay_state::current);
        CHECK(lagging.current()->endpoints.size() == 11);
    }

    SECTION("a log whose records were all dropped does not yield an empty configuration")
    {
        log.dropBelow(log.end());
        replayer newInstance;
        CHECK(readAll(newInstance, log) == replay_state::needs_base);
        CHECK_FALSE(newInstance.isReady());
    }

    SECTION("a snapshot is due after the given number of changes")
    {
        CHECK(existing.isSnapshotDue(9));
        CHECK_FALSE(existing.isSnapshotDue(10));
        readAll(existing, log);
        log.append(snapshotAt10);
        readAll(existing, log);
        CHECK(existing.recordsSinceSnapshot() == 1);
    }
}

TEST_CASE("applied changes are not reverted")
{
    memory_log log;
    replayer reader;
    log.append(encodeChange(putEndpoint("c1", "desk-1", 0)));
    log.append(encodeChange(putEndpoint("c2", "desk-1", 1, "desk", 2)));
    readAll(reader, log);
    const auto before = reader.current();

    SECTION("a log that ends below the applied records is rejected")
    {
        CHECK(reader.onRecords({1, 2, log.read(1, 1).records}) == replay_state::regressed);
        CHECK(reader.onRecords({1, 1, {}}) == replay_state::regressed);
        CHECK(reader.current() == before);
        CHECK(reader.counters().regressed == 2);
    }
    SECTION("records that were already applied are ignored")
    {
        CHECK(reader.onRecords(log.read(1)) == replay_state::current);
        CHECK(reader.current() == before);
    }
    SECTION("an older state from a peer is ignored")
    {
        replayer old;
        old.onRecords({1, 2, log.read(1, 1).records});
        CHECK_FALSE(reader.onPeerState(old.encodeSnapshot()));
        CHECK(reader.current() == before);
    }
    SECTION("a snapshot that differs from the replayed state is counted and not applied")
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
    SECTION("a snapshot that claims to cover its own or later offsets is invalid")
    {
        readAll(reader, log);
        std::string early = reader.encodeSnapshot();
        memory_log shorter;
        shorter.append(early);
        replayer newInstance;
        readAll(newInstance, shorter);
        CHECK(newInstance.counters().skipped == 1);
        CHECK(newInstance.current()->endpoints.empty());
    }
}

TEST_CASE("instances exchange records")
{
    memory_log log;
    replayer source;
    for (int i = 0; i < 5; ++i) {
        log.append(encodeChange(putEndpoint("c" + std::to_string(i), "desk-" + std::to_string(i), 0)));
    }
    replayer isolated;
    CHECK_FALSE(source.recordsFrom(1, 10));
    readAll(source, log);

    SECTION("an instance without access to the log becomes ready by following a peer")
    {
        isolated.onPeerRecords(*source.recordsFrom(isolated.nextOffset(), 2));
        CHECK(isolated.current()->offset == 2);
        CHECK_FALSE(isolated.isReady());
        isolated.onPeerRecords(*source.recordsFrom(isolated.nextOffset(), 10));
        CHECK(isolated.isReady());
        CHECK(isolated.encodeSnapshot() == source.encodeSnapshot());
    }
    SECTION("an instance that is not ready offers no records")
    {
        replayer other;
        CHECK_FALSE(other.recordsFrom(1, 10));
    }
    SECTION("records that are no longer kept are not offered")
    {
        replayer based;
        based.onPeerState(source.encodeSnapshot());
        CHECK_FALSE(based.recordsFrom(3, 10));
        CHECK(based.recordsFrom(6, 10)->records.empty());
    }
}
