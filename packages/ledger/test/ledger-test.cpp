#include "run-keys.h"

#include <masticlever/common/errors.h>
#include <masticlever/ledger/ledger.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace masticlever;
using namespace masticlever::ledger;
using namespace std::chrono_literals;

namespace
{

const common::wall_time epochTime{1790000000000ms};

run_key makeRunKey(const std::string &team, unsigned number)
{
    return test::makeRunKey(team, number, epochTime);
}

/// An in-memory log with a virtual clock.
struct memory_log {
    platform::log_batch content;
    common::instant now{10s};
    common::wall_time wall = epochTime;

    void advanceTime(common::duration time)
    {
        now += time;
        wall += std::chrono::duration_cast<std::chrono::milliseconds>(time);
    }
    platform::log_offset append(const std::string &payload)
    {
        content.records.push_back({content.end, wall, payload});
        return content.end++;
    }
    void read(run_ledger &ledger) const
    {
        platform::log_batch batch{content.head, content.end, {}};
        const auto from = std::max(ledger.nextOffset(), content.head);
        std::copy_if(content.records.begin(), content.records.end(), std::back_inserter(batch.records),
                     [&](const auto &r) { return r.offset >= from; });
        ledger.onRecords(batch, now, wall);
    }
    /// Appends everything that \p ledger has to send.
    void write(run_ledger &ledger)
    {
        for (auto &action : ledger.takeAppends(now)) {
            ledger.onAppendEnded(action.id, append(action.payload), now);
        }
    }
    void writeAndRead(run_ledger &ledger)
    {
        write(ledger);
        read(ledger);
    }
    void truncateBefore(platform::log_offset offset)
    {
        content.head = offset;
        std::erase_if(content.records, [&](const auto &r) { return r.offset < offset; });
    }
};

run_ledger makeLedger(const std::string &name)
{
    ledger_options options;
    options.incarnation = name;
    return run_ledger(options);
}

template <typename T> int countOf(const std::vector<event> &events)
{
    return static_cast<int>(
        std::count_if(events.begin(), events.end(), [](const event &e) { return std::holds_alternative<T>(e); }));
}

template <typename T> T only(const std::vector<event> &events)
{
    REQUIRE(countOf<T>(events) == 1);
    return std::get<T>(
        *std::find_if(events.begin(), events.end(), [](const event &e) { return std::holds_alternative<T>(e); }));
}

claim_request claimOf(const run_key &run, std::uint32_t stage, epoch expected)
{
    return {run, "digest", "orders", stage, "position " + std::to_string(stage), expected, common::instant::max()};
}

} // namespace

TEST_CASE("an order's stage is claimed before it is sent")
{
    memory_log log;
    run_ledger first = makeLedger("first");
    run_ledger second = makeLedger("second");
    log.read(first);
    log.read(second);
    const run_key run = makeRunKey("hawick", 1);
    first.claim(claimOf(run, 0, 0), log.now);

    SECTION("the claim is granted only after it has been read back")
    {
        log.write(first);
        CHECK(countOf<claim_granted>(first.takeEvents()) == 0);
        log.read(first);
        const auto granted = only<claim_granted>(first.takeEvents());
        CHECK(granted.fencing == 1);
        log.read(second);
        CHECK(second.find(run, log.wall).standing == run_standing::started);
        CHECK(second.find(run, log.wall).owner == "first");

        SECTION("the result is recorded, and a repeat gets it")
        {
            first.finishStage(run, 0, "made", "answer", log.now);
            log.writeAndRead(first);
            log.read(second);
            CHECK(second.find(run, log.wall).standing == run_standing::finished);
            CHECK(second.find(run, log.wall).answer == "answer");
            CHECK(first.stateDigest() == second.stateDigest());
        }
        SECTION("a repeat at another instance is lost immediately")
        {
            second.claim(claimOf(run, 0, 0), log.now);
            CHECK(countOf<claim_lost>(second.takeEvents()) == 1);
        }
        SECTION("the same key of another team is another run")
        {
            CHECK(second.find(makeRunKey("selkirk", 1), log.wall).standing == run_standing::absent);
        }
    }
    SECTION("of two concurrent claims, the one with the lower offset wins")
    {
        second.claim(claimOf(run, 0, 0), log.now);
        log.write(second);
        log.write(first);
        log.read(first);
        log.read(second);
        CHECK(countOf<claim_granted>(first.takeEvents()) == 0);
        CHECK(countOf<claim_granted>(second.takeEvents()) == 1);
    }
}

TEST_CASE("an instance that has given up never sends")
{
    memory_log log;
    run_ledger first = makeLedger("first");
    run_ledger second = makeLedger("second");
    log.read(first);
    log.read(second);
    const run_key run = makeRunKey("hawick", 1);
    first.claim(claimOf(run, 0, 0), log.now);
    auto append = first.takeAppends(log.now);
    first.onAppendEnded(append.at(0).id, make_error_code(common::error::lost_answer), log.now);
    log.advanceTime(2s);
    first.onTimer(log.now);
    CHECK_FALSE(only<claim_unavailable>(first.takeEvents()).certain);

    SECTION("its claim is appended late, and only the instance itself voids it")
    {
        log.append(append.at(0).payload);
        log.read(first);
        CHECK(countOf<claim_granted>(first.takeEvents()) == 0);
        CHECK(first.counters().voidedClaims == 1);
        log.writeAndRead(first);
        CHECK(first.find(run, log.wall).standing == run_standing::absent);
        CHECK(first.find(run, log.wall).claimableFrom > log.wall);
    }
    SECTION("its refusal invalidates a claim that another instance has in flight")
    {
        second.claim(claimOf(run, 0, 0), log.now);
        first.refuse(run, log.now);
        log.writeAndRead(first);
        CHECK(countOf<refusal_recorded>(first.takeEvents()) == 1);
        log.writeAndRead(second);
        CHECK(countOf<claim_lost>(second.takeEvents()) == 1);

        SECTION("a caller who retries after the hold is served")
        {
            log.advanceTime(8s);
            log.read(first);
            claim_request again = claimOf(run, 0, first.find(run, log.wall).at);
            again.arrivedAt = log.now;
            log.advanceTime(100ms);
            first.claim(again, log.now);
            log.writeAndRead(first);
            CHECK(countOf<claim_lost>(first.takeEvents()) == 0);
            log.advanceTime(1s);
        }
    }
}

TEST_CASE("a run survives the loss of its owner")
{
    memory_log log;
    run_ledger first = makeLedger("first");
    run_ledger second = makeLedger("second");
    log.read(first);
    log.read(second);
    const run_key run = makeRunKey("hawick", 1);
    first.claim(claimOf(run, 0, 0), log.now);
    log.writeAndRead(first);
    log.read(second);
    second.take(run, log.now);
    log.writeAndRead(second);
    CHECK(only<run_taken>(second.takeEvents()).view.position == "position 0");

    SECTION("the old owner can still record the outcome of the call that it sent")
    {
        first.finishStage(run, 0, "made", "", log.now);
        log.writeAndRead(first);
        log.read(second);
        CHECK(second.find(run, log.wall).standing == run_standing::between_stages);
        CHECK(second.find(run, log.wall).owner == "second");

        SECTION("but cannot continue with the next stage")
        {
            first.claim(claimOf(run, 1, first.find(run, log.wall).at), log.now);
            CHECK(countOf<claim_lost>(first.takeEvents()) == 1);
            second.claim(claimOf(run, 1, second.find(run, log.wall).at), log.now);
            log.writeAndRead(second);
            CHECK(countOf<claim_granted>(second.takeEvents()) == 1);
        }
    }
    SECTION("without an outcome it must be settled, and checkpoints keep it beyond the log's retention")
    {
        second.markUnknown(run, log.now);
        log.writeAndRead(second);
        CHECK(second.unknownRuns() == std::vector{run});
        log.advanceTime(9h);
        log.writeAndRead(second);
        log.writeAndRead(second);
        log.truncateBefore(log.content.end - 1);
        run_ledger third = makeLedger("third");
        log.read(third);
        CHECK(third.stateDigest() == second.stateDigest());
        third.settle(run, 0, "made", log.now);
        log.writeAndRead(third);
        CHECK(third.find(run, log.wall).stageResult == "made");
    }
}

TEST_CASE("invalid log records are skipped, appends are batched, and old runs expire")
{
    memory_log log;
    run_ledger ledger = makeLedger("first");
    log.append("garbage");
    log.append(R"({"version":1,"entries":[{"kind":"take","team":"hawick","key":"no key","expected":0}]})");
    log.read(ledger);
    CHECK(ledger.isCaughtUp());
    CHECK(ledger.counters().malformedRecords == 2);

    SECTION("a log whose end moves backwards is refused")
    {
        ledger.onRecords({1, 2, {}}, log.now, log.wall);
        CHECK_FALSE(ledger.isCaughtUp());
        CHECK(ledger.counters().rejectedBatches == 1);
    }
    SECTION("entries that wait for the same append are sent as one record and read back byte for byte")
    {
        for (unsigned i = 0; i < 3; ++i) {
            ledger.claim({makeRunKey("hawick", i), "digest", "orders", 0, "\xff\xfe", 0}, log.now);
        }
        log.writeAndRead(ledger);
        CHECK(ledger.counters().appends == 1);
        CHECK(ledger.find(makeRunKey("hawick", 2), log.wall).position == "\xff\xfe");
    }
    SECTION("a busy instance respects the interval between its appends to the log")
    {
        ledger.setAppendInterval(60ms);
        ledger.claim(claimOf(makeRunKey("hawick", 1), 0, 0), log.now);
        log.writeAndRead(ledger);
        ledger.claim(claimOf(makeRunKey("hawick", 2), 0, 0), log.now);
        log.writeAndRead(ledger);
        CHECK(ledger.counters().appends == 1);
        CHECK(ledger.nextWakeUp() == log.now + 60ms);
        log.advanceTime(60ms);
        log.writeAndRead(ledger);
        CHECK(ledger.counters().appends == 2);
    }
    SECTION("a run whose window has ended is expired, never absent")
    {
        ledger.claim(claimOf(makeRunKey("hawick", 1), 0, 0), log.now);
        log.writeAndRead(ledger);
        ledger.finishStage(makeRunKey("hawick", 1), 0, "made", "answer", log.now);
        log.writeAndRead(ledger);
        log.advanceTime(25h);
        log.append("garbage");
        log.read(ledger);
        CHECK(ledger.size() == 0);
        CHECK(ledger.find(makeRunKey("hawick", 1), log.wall).standing == run_standing::expired);
    }
    SECTION("a reader of a truncated log does not report older runs as absent")
    {
        log.content.head = 3;
        run_ledger late = makeLedger("late");
        late.onRecords({3, 3, {}}, log.now, log.wall);
        CHECK(late.find(makeRunKey("hawick", 1), log.wall).standing == run_standing::expired);
    }
}

TEST_CASE("while the log is unreachable, absence is certain for new keys only")
{
    memory_log log;
    run_ledger ledger = makeLedger("first");
    log.read(ledger);
    const auto failReadsFor = [&](int halfSeconds) {
        for (int i = 0; i < halfSeconds; ++i) {
            log.advanceTime(500ms);
            ledger.onReadFailed(log.now, log.wall);
        }
    };
    failReadsFor(8);
    CHECK_FALSE(ledger.isLogReachable());
    CHECK_FALSE(ledger.isAbsenceCertain(epochTime + 2s, log.now));
    CHECK(ledger.isAbsenceCertain(epochTime + 4s, log.now));
    ledger.setPeerReachesLog(true);
    CHECK_FALSE(ledger.isAbsenceCertain(epochTime + 4s, log.now));
    ledger.setPeerReachesLog(false);
    failReadsFor(8);
    CHECK_FALSE(ledger.isAbsenceCertain(epochTime + 6s, log.now));
    CHECK(ledger.isAbsenceCertain(log.wall, log.now));
}
