#include "run-names.h"

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

run_key runNamed(const std::string &team, unsigned number)
{
    return test::runNamed(team, number, epochTime);
}

/// A log in memory, with a virtual clock.
struct world {
    platform::log_batch log;
    common::instant now{10s};
    common::wall_time wall = epochTime;

    void pass(common::duration time)
    {
        now += time;
        wall += std::chrono::duration_cast<std::chrono::milliseconds>(time);
    }
    platform::log_offset append(const std::string &payload)
    {
        log.records.push_back({log.end, wall, payload});
        return log.end++;
    }
    void read(run_ledger &ledger) const
    {
        platform::log_batch batch{log.head, log.end, {}};
        const auto from = std::max(ledger.nextOffset(), log.head);
        std::copy_if(log.records.begin(), log.records.end(), std::back_inserter(batch.records),
                     [&](const auto &r) { return r.offset >= from; });
        ledger.onRecords(batch, now, wall);
    }
    /// Appends all that \p ledger has to send.
    void write(run_ledger &ledger)
    {
        for (auto &action : ledger.takeAppends(now)) {
            ledger.onAppendEnded(action.id, append(action.payload), now);
        }
    }
    void exchange(run_ledger &ledger)
    {
        write(ledger);
        read(ledger);
    }
    void truncateBefore(platform::log_offset offset)
    {
        log.head = offset;
        std::erase_if(log.records, [&](const auto &r) { return r.offset < offset; });
    }
};

run_ledger instanceNamed(const std::string &name)
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
    world w;
    run_ledger first = instanceNamed("first");
    run_ledger second = instanceNamed("second");
    w.read(first);
    w.read(second);
    const run_key run = runNamed("hawick", 1);
    first.claim(claimOf(run, 0, 0), w.now);

    SECTION("the claim is granted only after it has been read back")
    {
        w.write(first);
        CHECK(countOf<claim_granted>(first.takeEvents()) == 0);
        w.read(first);
        const auto granted = only<claim_granted>(first.takeEvents());
        CHECK(granted.fencing == 1);
        w.read(second);
        CHECK(second.find(run, w.wall).standing == run_standing::started);
        CHECK(second.find(run, w.wall).owner == "first");

        SECTION("the result is recorded, and a repeat gets it")
        {
            first.finishStage(run, 0, "made", "answer", w.now);
            w.exchange(first);
            w.read(second);
            CHECK(second.find(run, w.wall).standing == run_standing::finished);
            CHECK(second.find(run, w.wall).answer == "answer");
            CHECK(first.stateDigest() == second.stateDigest());
        }
        SECTION("a repeat at another instance is lost at once")
        {
            second.claim(claimOf(run, 0, 0), w.now);
            CHECK(countOf<claim_lost>(second.takeEvents()) == 1);
        }
        SECTION("the same key of another team is another run")
        {
            CHECK(second.find(runNamed("selkirk", 1), w.wall).standing == run_standing::absent);
        }
    }
    SECTION("of two racing claims the lower offset wins")
    {
        second.claim(claimOf(run, 0, 0), w.now);
        w.write(second);
        w.write(first);
        w.read(first);
        w.read(second);
        CHECK(countOf<claim_granted>(first.takeEvents()) == 0);
        CHECK(countOf<claim_granted>(second.takeEvents()) == 1);
    }
}

TEST_CASE("an instance that has given up never sends")
{
    world w;
    run_ledger first = instanceNamed("first");
    run_ledger second = instanceNamed("second");
    w.read(first);
    w.read(second);
    const run_key run = runNamed("hawick", 1);
    first.claim(claimOf(run, 0, 0), w.now);
    auto append = first.takeAppends(w.now);
    first.onAppendEnded(append.at(0).id, make_error_code(common::error::lost_answer), w.now);
    w.pass(2s);
    first.onTimer(w.now);
    CHECK_FALSE(only<claim_unavailable>(first.takeEvents()).certain);

    SECTION("its claim lands late, and it alone voids it")
    {
        w.append(append.at(0).payload);
        w.read(first);
        CHECK(countOf<claim_granted>(first.takeEvents()) == 0);
        CHECK(first.counters().voidedClaims == 1);
        w.exchange(first);
        CHECK(first.find(run, w.wall).standing == run_standing::absent);
        CHECK(first.find(run, w.wall).claimableFrom > w.wall);
    }
    SECTION("its refusal kills a claim that another has under way")
    {
        second.claim(claimOf(run, 0, 0), w.now);
        first.refuse(run, w.now);
        w.exchange(first);
        CHECK(countOf<refusal_recorded>(first.takeEvents()) == 1);
        w.exchange(second);
        CHECK(countOf<claim_lost>(second.takeEvents()) == 1);

        SECTION("a caller who asks again after the hold is served")
        {
            w.pass(8s);
            w.read(first);
            claim_request again = claimOf(run, 0, first.find(run, w.wall).at);
            again.arrivedAt = w.now;
            w.pass(100ms);
            first.claim(again, w.now);
            w.exchange(first);
            CHECK(countOf<claim_lost>(first.takeEvents()) == 0);
            w.pass(1s);
        }
    }
}

TEST_CASE("a run outlives its owner")
{
    world w;
    run_ledger first = instanceNamed("first");
    run_ledger second = instanceNamed("second");
    w.read(first);
    w.read(second);
    const run_key run = runNamed("hawick", 1);
    first.claim(claimOf(run, 0, 0), w.now);
    w.exchange(first);
    w.read(second);
    second.take(run, w.now);
    w.exchange(second);
    CHECK(only<run_taken>(second.takeEvents()).view.position == "position 0");

    SECTION("the old owner still tells the outcome of what it alone could send")
    {
        first.finishStage(run, 0, "made", "", w.now);
        w.exchange(first);
        w.read(second);
        CHECK(second.find(run, w.wall).standing == run_standing::between_stages);
        CHECK(second.find(run, w.wall).owner == "second");

        SECTION("but cannot go on with the next stage")
        {
            first.claim(claimOf(run, 1, first.find(run, w.wall).at), w.now);
            CHECK(countOf<claim_lost>(first.takeEvents()) == 1);
            second.claim(claimOf(run, 1, second.find(run, w.wall).at), w.now);
            w.exchange(second);
            CHECK(countOf<claim_granted>(second.takeEvents()) == 1);
        }
    }
    SECTION("without an outcome it waits to be settled, and is carried past the log's retention")
    {
        second.markUnknown(run, w.now);
        w.exchange(second);
        CHECK(second.unknownRuns() == std::vector{run});
        w.pass(9h);
        w.exchange(second);
        w.exchange(second);
        w.truncateBefore(w.log.end - 1);
        run_ledger third = instanceNamed("third");
        w.read(third);
        CHECK(third.stateDigest() == second.stateDigest());
        third.settle(run, 0, "made", w.now);
        w.exchange(third);
        CHECK(third.find(run, w.wall).stageResult == "made");
    }
}

TEST_CASE("the log is read with care")
{
    world w;
    run_ledger ledger = instanceNamed("first");
    w.append("garbage");
    w.append(R"({"version":1,"entries":[{"kind":"take","team":"hawick","key":"no key","expected":0}]})");
    w.read(ledger);
    CHECK(ledger.isCaughtUp());
    CHECK(ledger.counters().malformedRecords == 2);

    SECTION("a log that goes back is refused")
    {
        ledger.onRecords({1, 2, {}}, w.now, w.wall);
        CHECK_FALSE(ledger.isCaughtUp());
        CHECK(ledger.counters().refusedBatches == 1);
    }
    SECTION("entries that meet an append under way go out as one record, and come back byte by byte")
    {
        for (unsigned i = 0; i < 3; ++i) {
            ledger.claim({runNamed("hawick", i), "digest", "orders", 0, "\xff\xfe", 0}, w.now);
        }
        w.exchange(ledger);
        CHECK(ledger.counters().appends == 1);
        CHECK(ledger.find(runNamed("hawick", 2), w.wall).position == "\xff\xfe");
    }
    SECTION("a busy instance keeps to its share of the log's appends")
    {
        ledger.setAppendInterval(60ms);
        ledger.claim(claimOf(runNamed("hawick", 1), 0, 0), w.now);
        w.exchange(ledger);
        ledger.claim(claimOf(runNamed("hawick", 2), 0, 0), w.now);
        w.exchange(ledger);
        CHECK(ledger.counters().appends == 1);
        CHECK(ledger.nextWakeUp() == w.now + 60ms);
        w.pass(60ms);
        w.exchange(ledger);
        CHECK(ledger.counters().appends == 2);
    }
    SECTION("what has left its window is expired, never absent")
    {
        ledger.claim(claimOf(runNamed("hawick", 1), 0, 0), w.now);
        w.exchange(ledger);
        ledger.finishStage(runNamed("hawick", 1), 0, "made", "answer", w.now);
        w.exchange(ledger);
        w.pass(25h);
        w.append("garbage");
        w.read(ledger);
        CHECK(ledger.size() == 0);
        CHECK(ledger.find(runNamed("hawick", 1), w.wall).standing == run_standing::expired);
    }
    SECTION("a reader behind the log's head trusts no run from before it")
    {
        w.log.head = 3;
        run_ledger late = instanceNamed("late");
        late.onRecords({3, 3, {}}, w.now, w.wall);
        CHECK(late.find(runNamed("hawick", 1), w.wall).standing == run_standing::expired);
    }
}

TEST_CASE("with the log down, absence is certain for new keys only")
{
    world w;
    run_ledger ledger = instanceNamed("first");
    w.read(ledger);
    const auto tickFor = [&](int halfSeconds) {
        for (int i = 0; i < halfSeconds; ++i) {
            w.pass(500ms);
            ledger.onReadFailed(w.now, w.wall);
        }
    };
    tickFor(8);
    CHECK_FALSE(ledger.isLogReachable());
    CHECK_FALSE(ledger.isAbsenceCertain(epochTime + 2s, w.now));
    CHECK(ledger.isAbsenceCertain(epochTime + 4s, w.now));
    ledger.setPeerReachesLog(true);
    CHECK_FALSE(ledger.isAbsenceCertain(epochTime + 4s, w.now));
    ledger.setPeerReachesLog(false);
    tickFor(8);
    CHECK_FALSE(ledger.isAbsenceCertain(epochTime + 6s, w.now));
    CHECK(ledger.isAbsenceCertain(w.wall, w.now));
}
