#include <masticlever/stages/batch-queue.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace masticlever;
using namespace masticlever::stages;
using namespace std::chrono_literals;

namespace
{

const common::instant start{1000s};

catalog::batch_limits limits()
{
    catalog::batch_limits result;
    result.batchSize = 4;
    result.callOverhead = 200ms;
    result.pieceTime = 10ms;
    result.resultCapacityBytes = 1000;
    result.resultLifetime = 4s;
    return result;
}

struct test_service {
    std::vector<catalog::endpoint_record> records;

    explicit test_service(std::size_t count)
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

piece_request makeRequest(std::uint64_t job, std::size_t count, int priority = 1)
{
    piece_request request;
    request.owner = 9;
    request.job = job;
    request.requestId = "r" + std::to_string(job);
    for (std::size_t i = 0; i < count; ++i) {
        request.pieces.push_back(i);
    }
    request.key = "k";
    request.priority = priority;
    request.resultBytes = 10;
    request.objective = start + 2s;
    request.deadline = start + 8s;
    return request;
}

std::vector<protocol::piece_result> successfulResults(const batch_call &call)
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
    test_service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    queue.onPieceRequest(makeRequest(1, 3), start);
    queue.onPieceRequest(makeRequest(2, 1), start);
    queue.onPieceRequest(makeRequest(3, 2), start);
    const auto calls = queue.takeCalls(start);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].orders.size() == 4);
    CHECK(queue.waitingPieces() == 2);
    CHECK(queue.takeCalls(start).empty()); // its only call slot is in use

    SECTION("results go to their owners and the remaining pieces go into the next call")
    {
        const auto finished = queue.onAnswer(calls[0].number, successfulResults(calls[0]), start + 240ms);
        CHECK(finished.size() == 4);
        CHECK(finished[3].piece.job == 2);
        CHECK(queue.takeCalls(start + 240ms)[0].orders.size() == 2);
    }
    SECTION("a rejected call is sent again after a backoff")
    {
        queue.onRejected(calls[0].number, start + 1ms);
        CHECK(queue.waitingPieces() == 6);
        CHECK(queue.takeCalls(start + 1ms).empty());
        CHECK(queue.takeCalls(start + 100ms).size() == 1);
    }
    SECTION("a call without an answer times out after a multiple of its expected time")
    {
        CHECK(calls[0].callTimeoutAt == start + 3 * 240ms + 300ms);
        queue.onLost(calls[0].number, start + 1s);
        CHECK(queue.waitingPieces() == 6);
    }
    SECTION("pieces rejected for lack of space are queued again, failed ones are reported")
    {
        auto results = successfulResults(calls[0]);
        results[0] = {{}, protocol::piece_failure::capacity_exhausted};
        results[1] = {{}, protocol::piece_failure::failed};
        const auto finished = queue.onAnswer(calls[0].number, results, start + 240ms);
        CHECK(finished.size() == 3);
        CHECK(queue.waitingPieces() == 3);
    }
    SECTION("a cancelled request leaves the queue; results of its calls in flight are still reported for release")
    {
        queue.onCancel(9, 1);
        queue.onCancel(9, 2);
        queue.onCancel(9, 3);
        CHECK(queue.waitingPieces() == 0);
        CHECK(queue.onAnswer(calls[0].number, successfulResults(calls[0]), start + 240ms).size() == 4);
    }
    SECTION("requests of a disconnected owner leave the queue")
    {
        queue.onOwnerGone(9);
        CHECK(queue.waitingPieces() == 0);
    }
    SECTION("an answer is that of the call only if it has a result for each piece and new handles")
    {
        auto results = successfulResults(calls[0]);
        CHECK(queue.isAnswerTo(calls[0].number, results));
        CHECK_FALSE(queue.isAnswerTo(calls[0].number + 1, results));
        results.pop_back();
        CHECK_FALSE(queue.isAnswerTo(calls[0].number, results));
        results.push_back(results.front());
        CHECK_FALSE(queue.isAnswerTo(calls[0].number, results));

        const auto answer = successfulResults(calls[0]);
        queue.onAnswer(calls[0].number, answer, start + 240ms);
        const auto next = queue.takeCalls(start + 240ms);
        REQUIRE(next.size() == 1);
        CHECK_FALSE(queue.isAnswerTo(next[0].number, {answer.begin(), next[0].orders.size()}));
        CHECK(queue.isAnswerTo(next[0].number, successfulResults(next[0])));
    }
    SECTION("an answer to a call that has ended is ignored")
    {
        queue.onLost(calls[0].number, start);
        CHECK(queue.onAnswer(calls[0].number, successfulResults(calls[0]), start).empty());
    }
}

TEST_CASE("Pieces of a request stay together, because their results occupy space until the last one is available")
{
    test_service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());

    SECTION("a request that does not fit into the call lets a smaller one pass")
    {
        queue.onPieceRequest(makeRequest(1, 3), start);
        queue.onPieceRequest(makeRequest(2, 2), start);
        queue.onPieceRequest(makeRequest(3, 1), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        REQUIRE(calls[0].orders.size() == 4);
        CHECK(calls[0].orders[3].requestId == "r3");
    }
    SECTION("a request larger than a batch is split over several calls")
    {
        queue.onPieceRequest(makeRequest(1, 6), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].orders.size() == 4);
        queue.onAnswer(calls[0].number, successfulResults(calls[0]), start + 240ms);
        CHECK(queue.takeCalls(start + 240ms)[0].orders.size() == 2);
    }
}

TEST_CASE("The space for results limits the size of a call")
{
    test_service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    piece_request large = makeRequest(1, 4);
    large.resultBytes = 400;
    queue.onPieceRequest(large, start);
    auto calls = queue.takeCalls(start);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].orders.size() == 2);
    const auto results = successfulResults(calls[0]);
    queue.onAnswer(calls[0].number, results, start + 220ms);
    CHECK(queue.takeCalls(start + 220ms).empty());

    SECTION("until results are released")
    {
        const std::vector<std::string> handles{results[0].handle, results[1].handle};
        CHECK(queue.onReleased(handles));
        CHECK_FALSE(queue.onReleased(handles)); // no additional space
        CHECK(queue.takeCalls(start + 221ms).size() == 1);
    }
    SECTION("until results expire at the endpoint")
    {
        CHECK(queue.takeCalls(start + 4221ms).size() == 1);
    }
}

TEST_CASE("Order of the queue")
{
    test_service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());

    SECTION("requests of higher priority go first")
    {
        queue.onPieceRequest(makeRequest(1, 4, 2), start);
        queue.onPieceRequest(makeRequest(2, 4, 0), start);
        CHECK(queue.takeCalls(start)[0].orders[0].requestId == "r2");
    }
    SECTION("requests that miss their objective go last, whatever their priority")
    {
        piece_request late = makeRequest(1, 4, 0);
        late.objective = start + 100ms;
        queue.onPieceRequest(late, start);
        queue.onPieceRequest(makeRequest(2, 4, 2), start);
        CHECK(queue.takeCalls(start)[0].orders[0].requestId == "r2");
    }
    SECTION("requests that cannot meet their deadline are dropped at once")
    {
        piece_request infeasible = makeRequest(1, 4);
        infeasible.deadline = start + 300ms;
        infeasible.downstreamTime = 100ms;
        queue.onPieceRequest(infeasible, start);
        const auto dropped = queue.takeInfeasible(start);
        REQUIRE(dropped.size() == 4);
        CHECK(dropped[0].result.failure == protocol::piece_failure::late);
        CHECK(queue.waitingPieces() == 0);
    }
}

TEST_CASE("The expected time of a call includes the other pieces in the batch")
{
    test_service one(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(one.pointers());
    piece_request tight = makeRequest(1, 1, 0);
    tight.objective = start + 230ms; // a call of one piece takes 210 ms, a full one 240 ms
    queue.onPieceRequest(tight, start);

    SECTION("a single request meets its objective")
    {
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].orders[0].requestId == "r1");
    }
    SECTION("a request that would be late in a full call goes behind those that are in time")
    {
        queue.onPieceRequest(makeRequest(2, 4), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].orders.size() == 4);
        CHECK(calls[0].orders[0].requestId == "r2");
    }
}

TEST_CASE("A draining home returns its queue and finishes the calls in flight")
{
    test_service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    queue.onPieceRequest(makeRequest(1, 4), start);
    const auto calls = queue.takeCalls(start);
    queue.onPieceRequest(makeRequest(2, 3), start);
    const auto returned = queue.failWaitingPieces();
    REQUIRE(returned.size() == 3);
    CHECK(returned[0].piece.job == 2);
    CHECK(returned[0].result.failure == protocol::piece_failure::failed);
    CHECK(queue.waitingPieces() == 0);
    CHECK(queue.onAnswer(calls[0].number, successfulResults(calls[0]), start + 240ms).size() == 4);
}

TEST_CASE("Under overload, requests are rejected at once")
{
    test_service endpoints(2);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    // Two endpoints compute eight pieces in 240 ms; twenty requests of four pieces each take them 2.4 s.
    for (std::uint64_t job = 1; job <= 20; ++job) {
        piece_request request = makeRequest(job, 4);
        request.objective = start + 1s;
        request.deadline = start + 1500ms;
        queue.onPieceRequest(request, start);
    }
    const auto dropped = queue.takeInfeasible(start);

    SECTION("pieces that cannot be computed in time are dropped in advance, the latest arrivals first")
    {
        REQUIRE_FALSE(dropped.empty());
        CHECK(std::all_of(dropped.begin(), dropped.end(), [](const auto &piece) { return piece.piece.job > 4; }));
        CHECK(dropped.back().piece.job == 20);
    }
    SECTION("remaining pieces are computed in time")
    {
        common::instant now = start;
        std::size_t finished = 0;
        while (queue.waitingPieces() > 0) {
            CHECK(queue.takeInfeasible(now).empty());
            const auto calls = queue.takeCalls(now);
            now += 240ms;
            for (const batch_call &call : calls) {
                finished += queue.onAnswer(call.number, successfulResults(call), now).size();
            }
        }
        CHECK(finished + dropped.size() == 80);
        CHECK(now <= start + 1500ms);
    }
}

TEST_CASE("Large results are computed in the data centre that needs them")
{
    test_service two(2); // e0 in the west, e1 in the east
    catalog::batch_limits largeLimits = limits();
    largeLimits.resultCapacityBytes = 1e8;
    batch_queue queue({}, largeLimits);
    queue.setEndpoints(two.pointers());
    queue.onPieceRequest(makeRequest(1, 4), start);
    REQUIRE(queue.takeCalls(start).size() == 1); // e0 is busy for 240 ms
    piece_request local = makeRequest(2, 2);
    local.dataCentre = "west";
    local.resultBytes = 400000;
    local.transferBytes = 800000;

    SECTION("requests wait for an endpoint there")
    {
        queue.onPieceRequest(local, start);
        CHECK(queue.takeCalls(start).empty());

        SECTION("even while other work fills several calls")
        {
            queue.onPieceRequest(makeRequest(3, 8), start);
            const auto calls = queue.takeCalls(start);
            REQUIRE(calls.size() == 1);
            CHECK(calls[0].endpointId == "e1");
            CHECK(calls[0].orders[0].requestId == "r3");
            CHECK(calls[0].remotePieces == 0);
        }
        SECTION("as long as their objective allows")
        {
            CHECK(queue.takeCalls(start + 1800ms).size() == 1); // one call takes 240 ms
        }
    }
    SECTION("not when the requests ahead of them there would make them late")
    {
        for (std::uint64_t job = 2; job < 12; ++job) {
            local.job = job;
            queue.onPieceRequest(local, start);
        }
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].endpointId == "e1");
        CHECK(calls[0].remotePieces == 4);
    }
    SECTION("small results are computed anywhere")
    {
        local.transferBytes = 2000;
        queue.onPieceRequest(local, start);
        CHECK(queue.takeCalls(start).size() == 1);
    }
    SECTION("results for a data centre without endpoints are computed anywhere")
    {
        local.dataCentre = "north";
        queue.onPieceRequest(local, start);
        CHECK(queue.takeCalls(start).size() == 1);
    }
}

TEST_CASE("Endpoints are chosen by speed")
{
    test_service two(2);
    batch_queue queue({}, limits());
    queue.setEndpoints(two.pointers());

    SECTION("an endpoint much slower than the fastest gets no calls and is tried again later")
    {
        common::instant now = start;
        for (int i = 0; i < 20; ++i) {
            queue.onPieceRequest(makeRequest(static_cast<std::uint64_t>(i), 8), now);
            for (const batch_call &call : queue.takeCalls(now)) {
                const auto time = call.endpointId == "e0" ? 240ms : 1200ms;
                queue.onAnswer(call.number, successfulResults(call), now + time);
            }
            now += 1200ms;
        }
        piece_request last = makeRequest(99, 4);
        last.deadline = now + 20s;
        queue.onPieceRequest(last, now);
        const auto calls = queue.takeCalls(now);
        REQUIRE_FALSE(calls.empty());
        CHECK(calls[0].endpointId == "e0");
        queue.onPieceRequest(makeRequest(100, 8), now + 20s);
        CHECK(queue.takeCalls(now + 20s).size() == 1); // e0 is still busy; e1 is tried again
    }
    SECTION("a removed endpoint gets no calls, and its calls in flight still count")
    {
        queue.onPieceRequest(makeRequest(1, 8), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 2);
        queue.setEndpoints({});
        CHECK(queue.onAnswer(calls[0].number, successfulResults(calls[0]), start + 240ms).size() == 4);
        queue.onPieceRequest(makeRequest(2, 4), start + 240ms);
        CHECK(queue.takeCalls(start + 240ms).empty());
    }
}

TEST_CASE("The expected delay grows with the queue and is shorter for higher priorities")
{
    test_service endpoints(1);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    const auto idle = queue.expectedDelay(0, start);
    for (std::uint64_t i = 0; i < 10; ++i) {
        queue.onPieceRequest(makeRequest(i, 4, 2), start);
    }
    queue.takeCalls(start);
    CHECK(queue.expectedDelay(2, start) > idle + 1s);
    CHECK(queue.expectedDelay(0, start) < queue.expectedDelay(2, start));
}

TEST_CASE("A paused endpoint counts as missing capacity")
{
    const test_service endpoints(2);
    batch_queue queue({}, limits());
    queue.setEndpoints(endpoints.pointers());
    queue.onPauseRequested("e0", start + 3s);
    const common::duration usual = queue.expectedDelay(1, start);

    SECTION("the other endpoints get its calls")
    {
        queue.onPieceRequest(makeRequest(1, 4), start);
        queue.onPieceRequest(makeRequest(2, 4), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].endpointId == "e1");
        CHECK(queue.takeCalls(start + 2900ms).empty());
        REQUIRE(queue.takeCalls(start + 3s).size() == 1);
    }
    SECTION("requests that need both endpoints to be in time are rejected at once")
    {
        // Forty calls of 240 ms: e1 alone completes 33 of them by the deadline.
        for (std::uint64_t job = 1; job <= 40; ++job) {
            piece_request request = makeRequest(job, 4);
            request.objective = start + 8s;
            queue.onPieceRequest(std::move(request), start);
        }
        CHECK(queue.takeInfeasible(start).size() >= 20);
    }
    SECTION("if all endpoints are paused, the expected delay includes the shortest pause")
    {
        queue.onPauseRequested("e1", start + 5s);
        CHECK(queue.expectedDelay(1, start) >= usual + 3s);
        queue.onPieceRequest(makeRequest(1, 4), start);
        CHECK(queue.takeCalls(start).empty());
        CHECK(queue.takeInfeasible(start).empty());
        REQUIRE(queue.takeCalls(start + 3s).size() == 1);

        SECTION("requests with a deadline before its end are rejected at once")
        {
            piece_request shortDeadline = makeRequest(2, 1);
            shortDeadline.deadline = start + 2s;
            queue.onPauseRequested("e0", start + 9s);
            queue.onPieceRequest(std::move(shortDeadline), start);
            CHECK(queue.takeInfeasible(start).size() == 1);
        }
    }
}

TEST_CASE("An endpoint with a rate limit counts with the calls that it takes")
{
    const test_service service(2);
    batch_queue queue({}, limits());
    queue.setEndpoints(service.pointers());
    const auto limitFirst = [&](common::instant nextCallAt) {
        const std::vector<call_rate_limit> limited{{"e0", 0.5, nextCallAt}};
        queue.setRateLimits(limited);
    };
    limitFirst(start);

    SECTION("it gets one call, and the next one when it takes it")
    {
        queue.onPieceRequest(makeRequest(1, 4), start);
        queue.onPieceRequest(makeRequest(2, 4), start);
        queue.onPieceRequest(makeRequest(3, 4), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 2);
        for (const batch_call &call : calls) {
            queue.onAnswer(call.number, successfulResults(call), start + 240ms);
        }
        limitFirst(start + 2s);
        const auto next = queue.takeCalls(start + 240ms);
        REQUIRE(next.size() == 1);
        CHECK(next.front().endpointId == "e1");
        queue.onPieceRequest(makeRequest(4, 4), start + 300ms);
        CHECK(queue.takeCalls(start + 1900ms).empty());
        CHECK(queue.takeCalls(start + 2s).size() == 1);
    }
    SECTION("requests that the other endpoint cannot complete are dropped at once, and no others")
    {
        limitFirst(start + 2s); // e1 completes 6 calls of 240 ms by the deadline
        for (std::uint64_t job = 1; job <= 20; ++job) {
            auto request = makeRequest(job, 4);
            request.objective = start + 1500ms;
            request.deadline = start + 1500ms;
            queue.onPieceRequest(request, start);
        }
        const std::size_t dropped = queue.takeInfeasible(start).size();
        CHECK(dropped >= std::size_t{52});
        CHECK(dropped <= std::size_t{60});
    }
    SECTION("the expected delay includes the time until it takes a call, if it is the only one")
    {
        queue.setEndpoints(std::vector{service.pointers().front()});
        limitFirst(start + 3s);
        CHECK(queue.expectedDelay(9, start) >= 3s);
        queue.setRateLimits({});
        CHECK(queue.expectedDelay(9, start) < 1s);
    }
    SECTION("requests do not wait for it in their data centre while another endpoint is free")
    {
        limitFirst(start + 1s);
        auto local = makeRequest(1, 4);
        local.dataCentre = "west";
        local.transferBytes = 1e6;
        queue.onPieceRequest(local, start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls.front().endpointId == "e1");
    }
}

// Guards against a plan that goes on with an endpoint's usual speed until several slow calls have been answered.
TEST_CASE("An endpoint that reports half its usual speed gets half the work")
{
    test_service service(2);
    batch_queue queue({}, limits());
    queue.setEndpoints(service.pointers());
    const auto inFlight = [&](const batch_call &call) { return call.endpointId == "e0"; };

    SECTION("as soon as it is known")
    {
        constexpr auto callTime = 240ms;
        constexpr int calls = 40;
        queue.setPace("e0", 2);
        std::map<std::string, std::size_t> pieces;
        std::multimap<common::instant, batch_call> running;
        common::instant now = start;
        for (std::uint64_t job = 1; job <= calls; ++job) {
            piece_request request = makeRequest(job, 4);
            request.resultBytes = 0;
            request.objective = request.deadline = start + 1h;
            queue.onPieceRequest(std::move(request), now);
        }
        while (queue.waitingPieces() > 0) {
            for (batch_call &call : queue.takeCalls(now)) {
                pieces[call.endpointId] += call.orders.size();
                const auto time = inFlight(call) ? 2 * callTime : callTime;
                running.emplace(now + time, std::move(call));
            }
            now = running.begin()->first;
            const batch_call ended = std::move(running.extract(running.begin()).mapped());
            queue.onAnswer(ended.number, successfulResults(ended), now);
        }
        const double share = static_cast<double>(pieces["e0"]) / static_cast<double>(pieces["e1"]);
        CHECK(share > 0.4);
        CHECK(share < 0.6);
    }
    SECTION("and a single request goes to the other one")
    {
        queue.setPace("e0", 2);
        queue.onPieceRequest(makeRequest(1, 1), start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].endpointId == "e1");
    }
    SECTION("and the plan counts on half of it")
    {
        for (std::uint64_t job = 1; job <= 40; ++job) {
            queue.onPieceRequest(makeRequest(job, 4), start);
        }
        const auto usual = queue.expectedDelay(1, start);
        queue.setPace("e0", 2);
        CHECK(queue.expectedDelay(1, start) > usual * 5 / 4);
    }
    SECTION("and is not taken for slow beyond its report")
    {
        // Four times as slow without a report, it would get no calls.
        queue.setPace("e0", 4);
        queue.setPace("e1", 4);
        common::instant now = start;
        for (std::uint64_t job = 1; job <= 20; ++job) {
            queue.onPieceRequest(makeRequest(job, 4), now);
            const auto calls = queue.takeCalls(now);
            REQUIRE(calls.size() == 1);
            now += 960ms;
            queue.onAnswer(calls[0].number, successfulResults(calls[0]), now);
        }
        queue.setPace("e0", 1);
        queue.setPace("e1", 1);
        CHECK(queue.expectedDelay(1, now) < 500ms);
    }
}

TEST_CASE("Calls whose pieces read many results stay small")
{
    constexpr std::size_t handleBytes = 97; // and three for the quotes and the comma
    constexpr std::size_t perPiece = 1000 * (handleBytes + 3);
    const test_service service(3);
    catalog::batch_limits large = limits();
    large.batchSize = 88;
    large.resultCapacityBytes = 1e9;
    batch_queue queue({.callInputBytes = 5 * perPiece, .smallCallInputBytes = perPiece / 2}, large);
    queue.setEndpoints(service.pointers());
    piece_request request = makeRequest(1, 400);
    request.inputs = protocol::handle_list(std::vector<std::string>(1000, std::string(handleBytes, 'h')));

    SECTION("a call has only as many pieces as its limit has room for")
    {
        queue.onPieceRequest(request, start);
        const auto calls = queue.takeCalls(start);
        REQUIRE(calls.size() == 3);
        for (const batch_call &call : calls) {
            CHECK(call.orders.size() == 5);
            CHECK(call.inputBytes == 5 * perPiece);
        }
    }
    SECTION("all calls together list no more than is left")
    {
        queue.onPieceRequest(request, start);
        const auto calls = queue.takeCalls(start, 7 * perPiece);
        REQUIRE(calls.size() == 2);
        CHECK(calls[0].orders.size() == 5);
        CHECK(calls[1].orders.size() == 2);
        CHECK(queue.takeCalls(start, 0).empty());
    }
    SECTION("a piece whose inputs alone exceed the limit is sent by itself")
    {
        request.inputs = protocol::handle_list(std::vector<std::string>(6000, std::string(handleBytes, 'h')));
        queue.onPieceRequest(request, start);
        const auto calls = queue.takeCalls(start, 1);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].orders.size() == 1);
    }
    SECTION("usual pieces are sent beside them, also when nothing is left")
    {
        piece_request usual = makeRequest(2, 4);
        usual.inputs = protocol::handle_list(std::vector<std::string>(25, std::string(handleBytes, 'h')));
        queue.onPieceRequest(request, start);
        queue.onPieceRequest(usual, start);
        const auto calls = queue.takeCalls(start, 0);
        REQUIRE(calls.size() == 1);
        CHECK(calls[0].orders.size() == 4);
        CHECK(calls[0].orders[0].requestId == "r2");
    }
    SECTION("pieces that are ordered again share the list of the others")
    {
        piece_request again = makeRequest(1, 1);
        again.inputs = protocol::handle_list(std::vector<std::string>(1000, std::string(handleBytes, 'h')));
        REQUIRE_FALSE(again.inputs.sharesWith(request.inputs));
        queue.onPieceRequest(request, start);
        queue.onPieceRequest(again, start);
        for (const batch_call &call : queue.takeCalls(start)) {
            for (const protocol::batch_item &order : call.orders) {
                CHECK(order.inputs.sharesWith(request.inputs));
            }
        }
    }
}
