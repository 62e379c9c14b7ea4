#include <masticlever/stages/batch-queue.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace masticlever;
using namespace masticlever::stages;
using namespace std::chrono_literals;

namespace
{

const common::instant start{1000s};

catalog::batch_limits limits()
{
    catalog::batch_limits made;
    made.batchSize = 4;
    made.callTime = 200ms;
    made.pieceTime = 10ms;
    made.resultBytes = 1000;
    made.resultLifetime = 4s;
    return made;
}

struct service {
    std::vector<catalog::endpoint_record> records;

    explicit service(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            catalog::endpoint_record record;
            record.id = "e" + std::to_string(i);
            record.address = record.id + ":1";
            record.dataCentre = i % 2 == 0 ? "west" : "east";
            records.push_back(record);
        }
    }

    std::vector<const catalog::endpoint_record *> pointers() const
    {
        std::vector<const catalog::endpoint_record *> all;
        for (const auto &record : records) {
            all.push_back(&record);
        }
        return all;
    }
};

piece_wish wish(std::uint64_t job, std::size_t count, int priority = 1)
{
    piece_wish made;
    made.owner = 9;
    made.job = job;
    made.requestId = "r" + std::to_string(job);
    for (std::size_t i = 0; i < count; ++i) {
        made.pieces.push_back(i);
    }
    made.key = "k";
    made.priority = priority;
    made.resultBytes = 10;
    made.objective = start + 2s;
    made.deadline = start + 8s;
    return made;
}

std::vector<protocol::piece_result> made(const batch_call &call)
{
    std::vector<protocol::piece_result> results;
    for (std::size_t i = 0; i < call.orders.size(); ++i) {
        results.push_back({call.address + "/" + std::to_string(call.number) + "-" + std::to_string(i), {}});
    }
    return results;
}

} // namespace

TEST_CASE("Pieces of several requests share a call")
{
    service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    queue.onWish(wish(1, 3), start);
    queue.onWish(wish(2, 1), start);
    queue.onWish(wish(3, 2), start);
    const auto calls = queue.takeCalls(start);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].orders.size() == 4);
    CHECK(queue.waitingPieces() == 2);
    CHECK(queue.takeCalls(start).empty()); // its one place is taken

    SECTION("and their results go to their owners; the rest follows")
    {
        const auto finished = queue.onAnswer(calls[0].number, made(calls[0]), start + 240ms);
        CHECK(finished.size() == 4);
        CHECK(finished[3].piece.job == 2);
        CHECK(queue.takeCalls(start + 240ms)[0].orders.size() == 2);
    }
    SECTION("a call that was not taken is sent again after a rest")
    {
        queue.onRejected(calls[0].number, start + 1ms);
        CHECK(queue.waitingPieces() == 6);
        CHECK(queue.takeCalls(start + 1ms).empty());
        CHECK(queue.takeCalls(start + 100ms).size() == 1);
    }
    SECTION("a call without an answer is given up after a multiple of its expected time")
    {
        CHECK(calls[0].giveUpAt == start + 3 * 240ms + 300ms);
        queue.onLost(calls[0].number, start + 1s);
        CHECK(queue.waitingPieces() == 6);
    }
    SECTION("pieces without room are made later, failed ones are reported")
    {
        auto results = made(calls[0]);
        results[0] = {{}, protocol::piece_failure::no_room};
        results[1] = {{}, protocol::piece_failure::failed};
        const auto finished = queue.onAnswer(calls[0].number, results, start + 240ms);
        CHECK(finished.size() == 3);
        CHECK(queue.waitingPieces() == 3);
    }
    SECTION("a cancelled request leaves the queue; what was under way is still told, to be released")
    {
        queue.onCancel(9, 1);
        queue.onCancel(9, 2);
        queue.onCancel(9, 3);
        CHECK(queue.waitingPieces() == 0);
        CHECK(queue.onAnswer(calls[0].number, made(calls[0]), start + 240ms).size() == 4);
    }
    SECTION("the requests of an owner that is gone leave the queue")
    {
        queue.onOwnerGone(9);
        CHECK(queue.waitingPieces() == 0);
    }
    SECTION("an answer to a call that is over is ignored")
    {
        queue.onLost(calls[0].number, start);
        CHECK(queue.onAnswer(calls[0].number, made(calls[0]), start).empty());
    }
}

TEST_CASE("A request's pieces stay together, as their results are held until the last is there")
{
    service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());

    SECTION("one that does not fit beside others lets a smaller one pass")
    {
        queue.onWish(wish(1, 3), start);
        queue.onWish(wish(2, 2), start);
        queue.onWish(wish(3, 1), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        REQUIRE(calls[0].orders.size() == 4);
        CHECK(calls[0].orders[3].requestId == "r3");
    }
    SECTION("one that no call can hold is made in several")
    {
        queue.onWish(wish(1, 6), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].orders.size() == 4);
        queue.onAnswer(calls[0].number, made(calls[0]), start + 240ms);
        CHECK(queue.takeCalls(start + 240ms)[0].orders.size() == 2);
    }
}

TEST_CASE("Room for results bounds a call")
{
    service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    piece_wish large = wish(1, 4);
    large.resultBytes = 400;
    queue.onWish(large, start);
    auto calls = queue.takeCalls(start);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].orders.size() == 2);
    const auto results = made(calls[0]);
    queue.onAnswer(calls[0].number, results, start + 220ms);
    CHECK(queue.takeCalls(start + 220ms).empty());

    SECTION("until results are released")
    {
        const std::vector<std::string> handles{results[0].handle, results[1].handle};
        CHECK(queue.onReleased(handles));
        CHECK_FALSE(queue.onReleased(handles)); // no more room than before
        CHECK(queue.takeCalls(start + 221ms).size() == 1);
    }
    SECTION("or expire at their maker")
    {
        CHECK(queue.takeCalls(start + 4221ms).size() == 1);
    }
}

TEST_CASE("The order of the queue")
{
    service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());

    SECTION("urgent requests first")
    {
        queue.onWish(wish(1, 4, 2), start);
        queue.onWish(wish(2, 4, 0), start);
        CHECK(queue.takeCalls(start)[0].orders[0].requestId == "r2");
    }
    SECTION("those that have missed their objective last, however urgent")
    {
        piece_wish late = wish(1, 4, 0);
        late.objective = start + 100ms;
        queue.onWish(late, start);
        queue.onWish(wish(2, 4, 2), start);
        CHECK(queue.takeCalls(start)[0].orders[0].requestId == "r2");
    }
    SECTION("those that cannot be made before their deadline are dropped at once")
    {
        piece_wish hopeless = wish(1, 4);
        hopeless.deadline = start + 300ms;
        hopeless.laterWork = 100ms;
        queue.onWish(hopeless, start);
        const auto dropped = queue.takeHopeless(start);
        REQUIRE(dropped.size() == 4);
        CHECK(dropped[0].result.failure == protocol::piece_failure::late);
        CHECK(queue.waitingPieces() == 0);
    }
}

TEST_CASE("A call takes as long as all that goes with it")
{
    service one(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(one.pointers());
    piece_wish tight = wish(1, 1, 0);
    tight.objective = start + 230ms; // a call of one piece takes 210 ms, a full one 240 ms
    queue.onWish(tight, start);

    SECTION("a request that is alone makes its objective")
    {
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].orders[0].requestId == "r1");
    }
    SECTION("one that a full call makes late goes behind those that are in time")
    {
        queue.onWish(wish(2, 4), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].orders.size() == 4);
        CHECK(calls[0].orders[0].requestId == "r2");
    }
}

TEST_CASE("A home that leaves hands its queue back and finishes the calls under way")
{
    service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    queue.onWish(wish(1, 4), start);
    const auto calls = queue.takeCalls(start);
    queue.onWish(wish(2, 3), start);
    const auto back = queue.handBack();
    REQUIRE(back.size() == 3);
    CHECK(back[0].piece.job == 2);
    CHECK(back[0].result.failure == protocol::piece_failure::failed);
    CHECK(queue.waitingPieces() == 0);
    CHECK(queue.onAnswer(calls[0].number, made(calls[0]), start + 240ms).size() == 4);
}

TEST_CASE("An overload is told at once")
{
    service endpoints(2);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    // Two endpoints make eight pieces in 240 ms; twenty requests of four want all of it for 2.4 s.
    for (std::uint64_t job = 1; job <= 20; ++job) {
        piece_wish added = wish(job, 4);
        added.objective = start + 1s;
        added.deadline = start + 1500ms;
        queue.onWish(added, start);
    }
    const auto dropped = queue.takeHopeless(start);

    SECTION("what cannot be made in time is dropped when it is known, the latest comers first")
    {
        REQUIRE_FALSE(dropped.empty());
        CHECK(std::all_of(dropped.begin(), dropped.end(), [](const auto &piece) { return piece.piece.job > 4; }));
        CHECK(dropped.back().piece.job == 20);
    }
    SECTION("what is kept is made in time")
    {
        common::instant now = start;
        std::size_t finished = 0;
        while (queue.waitingPieces() > 0) {
            CHECK(queue.takeHopeless(now).empty());
            const auto calls = queue.takeCalls(now);
            now += 240ms;
            for (const batch_call &call : calls) {
                finished += queue.onAnswer(call.number, made(call), now).size();
            }
        }
        CHECK(finished + dropped.size() == 80);
        CHECK(now <= start + 1500ms);
    }
}

TEST_CASE("Large results are made where they are wanted")
{
    service two(2); // e0 in the west, e1 in the east
    catalog::batch_limits roomy = limits();
    roomy.resultBytes = 1e8;
    batch_queue queue({}, roomy);
    queue.setEndpoints(two.pointers());
    queue.onWish(wish(1, 4), start);
    REQUIRE(queue.takeCalls(start).size() == 1); // e0 is busy for 240 ms
    piece_wish near = wish(2, 2);
    near.dataCentre = "west";
    near.resultBytes = 400000;
    near.nearBytes = 800000;

    SECTION("they wait for an endpoint there")
    {
        queue.onWish(near, start);
        CHECK(queue.takeCalls(start).empty());

        SECTION("even while there is work for several calls")
        {
            queue.onWish(wish(3, 8), start);
            const auto calls = queue.takeCalls(start);
            REQUIRE(calls.size() == 1);
            CHECK(calls[0].endpointId == "e1");
            CHECK(calls[0].orders[0].requestId == "r3");
            CHECK(calls[0].farPieces == 0);
        }
        SECTION("as long as their objective allows")
        {
            CHECK(queue.takeCalls(start + 1800ms).size() == 1); // one call takes 240 ms
        }
    }
    SECTION("not when those before them there would make them late")
    {
        for (std::uint64_t job = 2; job < 12; ++job) {
            near.job = job;
            queue.onWish(near, start);
        }
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].endpointId == "e1");
        CHECK(calls[0].farPieces == 4);
    }
    SECTION("small ones are made anywhere")
    {
        near.nearBytes = 2000;
        queue.onWish(near, start);
        CHECK(queue.takeCalls(start).size() == 1);
    }
    SECTION("those that are wanted where no endpoint stands are made anywhere")
    {
        near.dataCentre = "north";
        queue.onWish(near, start);
        CHECK(queue.takeCalls(start).size() == 1);
    }
}

TEST_CASE("Endpoints are chosen by speed")
{
    service two(2);
    batch_queue queue({}, limits());
    queue.setEndpoints(two.pointers());

    SECTION("one much slower than the fastest is left out, and tried again later")
    {
        common::instant now = start;
        for (int i = 0; i < 20; ++i) {
            queue.onWish(wish(static_cast<std::uint64_t>(i), 8), now);
            for (const batch_call &call : queue.takeCalls(now)) {
                const auto time = call.endpointId == "e0" ? 240ms : 1200ms;
                queue.onAnswer(call.number, made(call), now + time);
            }
            now += 1200ms;
        }
        piece_wish last = wish(99, 4);
        last.deadline = now + 20s;
        queue.onWish(last, now);
        const auto calls = queue.takeCalls(now);
        REQUIRE_FALSE(calls.empty());
        CHECK(calls[0].endpointId == "e0");
        queue.onWish(wish(100, 8), now + 20s);
        CHECK(queue.takeCalls(now + 20s).size() == 1); // e0 is still busy; e1 gets another chance
    }
    SECTION("one that has left takes no call, and its calls under way still count")
    {
        queue.onWish(wish(1, 8), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 2);
        queue.setEndpoints({});
        CHECK(queue.onAnswer(calls[0].number, made(calls[0]), start + 240ms).size() == 4);
        queue.onWish(wish(2, 4), start + 240ms);
        CHECK(queue.takeCalls(start + 240ms).empty());
    }
}

TEST_CASE("The expected delay grows with the queue and tells urgent requests less")
{
    service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    const auto idle = queue.expectedDelay(0, start);
    for (std::uint64_t i = 0; i < 10; ++i) {
        queue.onWish(wish(i, 4, 2), start);
    }
    queue.takeCalls(start);
    CHECK(queue.expectedDelay(2, start) > idle + 1s);
    CHECK(queue.expectedDelay(0, start) < queue.expectedDelay(2, start));
}

TEST_CASE("An endpoint that asks for quiet counts as capacity that is missing")
{
    const service makers(2);
    batch_queue queue({}, limits());
    queue.setEndpoints(makers.pointers());
    queue.onAskedQuiet("e0", start + 3s);
    const common::duration usual = queue.expectedDelay(1, start);

    SECTION("the others get its calls")
    {
        queue.onWish(wish(1, 4), start);
        queue.onWish(wish(2, 4), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].endpointId == "e1");
        CHECK(queue.takeCalls(start + 2900ms).empty());
        REQUIRE(queue.takeCalls(start + 3s).size() == 1);
    }
    SECTION("what only both could make in time is refused at once")
    {
        // Forty calls of 240 ms: e1 alone makes 33 of them by the deadline.
        for (std::uint64_t job = 1; job <= 40; ++job) {
            piece_wish added = wish(job, 4);
            added.objective = start + 8s;
            queue.onWish(std::move(added), start);
        }
        CHECK(queue.takeHopeless(start).size() >= 20);
    }
    SECTION("when all are quiet, the first end is what is told")
    {
        queue.onAskedQuiet("e1", start + 5s);
        CHECK(queue.expectedDelay(1, start) >= usual + 3s);
        queue.onWish(wish(1, 4), start);
        CHECK(queue.takeCalls(start).empty());
        CHECK(queue.takeHopeless(start).empty());
        REQUIRE(queue.takeCalls(start + 3s).size() == 1);

        SECTION("and requests that end before it are refused at once")
        {
            piece_wish hurried = wish(2, 1);
            hurried.deadline = start + 2s;
            queue.onAskedQuiet("e0", start + 9s);
            queue.onWish(std::move(hurried), start);
            CHECK(queue.takeHopeless(start).size() == 1);
        }
    }
}
