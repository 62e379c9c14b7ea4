#include "run-names.h"

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
