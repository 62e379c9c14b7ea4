#include <masticlever/admission/admission.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <string>

using namespace masticlever;
using namespace std::chrono_literals;
using admission::decision;
using admission::refusal_reason;
using admission_outcome = decision::admission_outcome;

namespace
{

const common::instant start{1000s};

admission::admission_request makeRequest(std::string_view team, common::duration remaining = 4s,
                                         common::duration service = 100ms)
{
    return {.team = team, .pipeline = "advice", .remaining = remaining, .expectedService = service};
}

/// Finishes one request every \p interval, starts another for each, and returns the time of the last.
common::instant drainAtRate(admission::controller &subject, std::deque<admission::ticket> &running, int count,
                            common::duration interval, common::instant now)
{
    for (int i = 0; i < count; ++i) {
        now += interval;
        subject.onFinished(running.front(), true, now);
        running.pop_front();
        running.push_back(subject.request(makeRequest("large"), now).id);
    }
    return now;
}

} // namespace

TEST_CASE("a request is admitted immediately while there is capacity")
{
    admission::controller subject({.capacity = 2, .minimumCapacity = 1, .queueLimit = 500ms});
    const auto first = subject.request(makeRequest("large"), start);
    const auto second = subject.request(makeRequest("large"), start);
    CHECK(first.outcome == admission_outcome::admitted);
    CHECK(second.outcome == admission_outcome::admitted);
    CHECK(subject.inFlight() == 2);

    SECTION("the next request of the same team is queued")
    {
        const auto third = subject.request(makeRequest("large"), start);
        REQUIRE(third.outcome == admission_outcome::queued);
        CHECK(subject.nextWakeUp() == start + 500ms);

        SECTION("and admitted when a request ends")
        {
            subject.onFinished(first.id, true, start + 50ms);
            const auto events = subject.poll(start + 50ms);
            REQUIRE(events.size() == 1);
            CHECK(events[0].id == third.id);
            CHECK(events[0].admitted);
        }
        SECTION("and refused at the queue limit, with a retry delay")
        {
            CHECK(subject.poll(start + 499ms).empty());
            const auto events = subject.poll(start + 500ms);
            REQUIRE(events.size() == 1);
            CHECK_FALSE(events[0].admitted);
            CHECK(events[0].reason == refusal_reason::queue_timeout);
            CHECK(events[0].retryAfter > 0ms);
            CHECK(subject.queued() == 0);
        }
        SECTION("and removed when it is cancelled")
        {
            subject.cancel(third.id);
            CHECK(subject.poll(start + 600ms).empty());
            CHECK(subject.nextWakeUp() == common::instant::max());
        }
    }

    SECTION("a request is queued no longer than its deadline allows")
    {
        CHECK(subject.request(makeRequest("large", 300ms, 200ms), start).outcome == admission_outcome::queued);
        CHECK(subject.nextWakeUp() == start + 100ms);
        const auto events = subject.poll(start + 100ms);
        REQUIRE(events.size() == 1);
        CHECK(events[0].reason == refusal_reason::deadline_unreachable);
    }

    SECTION("another team gets its share although the first uses all the capacity")
    {
        CHECK(subject.request(makeRequest("small"), start).outcome == admission_outcome::admitted);
        CHECK(subject.request(makeRequest("third"), start).outcome == admission_outcome::queued);
    }
}

TEST_CASE("a request that cannot meet its deadline is refused immediately")
{
    admission::controller subject({.capacity = 4, .minimumCapacity = 1, .queueLimit = 500ms});

    SECTION("but not while nothing is in flight, as the estimate may be outdated")
    {
        CHECK(subject.request(makeRequest("large", 1s, 2s), start).outcome == admission_outcome::admitted);
        const auto second = subject.request(makeRequest("large", 1s, 2s), start);
        CHECK(second.outcome == admission_outcome::refused);
        CHECK(second.reason == refusal_reason::deadline_unreachable);
    }

    SECTION("by the expected wait at the current drain rate")
    {
        std::deque<admission::ticket> running;
        for (int i = 0; i < 4; ++i) {
            running.push_back(subject.request(makeRequest("large"), start).id);
        }
        const auto now = drainAtRate(subject, running, 40, 100ms, start);
        for (int i = 0; i < 4; ++i) {
            CHECK(subject.request(makeRequest("large"), now).outcome == admission_outcome::queued);
        }
        const auto tight = subject.request(makeRequest("large", 400ms, 100ms), now);
        CHECK(tight.reason == refusal_reason::deadline_unreachable);
        CHECK(tight.retryAfter > 100ms);
        CHECK(tight.retryAfter < 400ms);
        int queued = 0;
        decision last = subject.request(makeRequest("large"), now);
        while (last.outcome == admission_outcome::queued) {
            ++queued;
            last = subject.request(makeRequest("large"), now);
        }
        CHECK(queued <= 2);
        CHECK(last.reason == refusal_reason::queue_timeout);

        SECTION("while a team within its share is still admitted")
        {
            CHECK(subject.request(makeRequest("small"), now).outcome == admission_outcome::admitted);
        }
    }
}

TEST_CASE("a team never exceeds its limit")
{
    admission::controller subject({.capacity = 10});
    auto entry = makeRequest("small");
    entry.teamLimit = 2;
    CHECK(subject.request(entry, start).outcome == admission_outcome::admitted);
    CHECK(subject.request(entry, start).outcome == admission_outcome::admitted);
    const auto third = subject.request(entry, start);
    CHECK(third.outcome == admission_outcome::refused);
    CHECK(third.reason == refusal_reason::team_limit);
}

TEST_CASE("queued teams are served by weight")
{
    admission::controller subject({.capacity = 4, .minimumCapacity = 1, .queueLimit = 1h});
    std::deque<admission::ticket> running;
    std::map<admission::ticket, std::string> teamOf;
    const auto sendRequest = [&](const std::string &team, double weight) {
        auto entry = makeRequest(team, 1h);
        entry.weight = weight;
        const auto result = subject.request(entry, start);
        teamOf[result.id] = team;
        if (result.outcome == admission_outcome::admitted) {
            running.push_back(result.id);
        }
    };
    for (int i = 0; i < 4; ++i) {
        sendRequest("first", 1);
    }
    for (int i = 0; i < 40; ++i) {
        sendRequest("light", 1);
        sendRequest("heavy", 3);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 24; ++i) {
        REQUIRE_FALSE(running.empty());
        subject.onFinished(running.front(), true, start);
        running.pop_front();
        for (const auto &event : subject.poll(start)) {
            running.push_back(event.id);
            ++served[teamOf[event.id]];
        }
    }
    CHECK(served["heavy"] >= 2 * served["light"]);
    CHECK(served["light"] >= 4);
}

TEST_CASE("the capacity adapts to missed deadlines and to its upper bound")
{
    admission::controller subject({.capacity = 20, .minimumCapacity = 4});
    const auto fill = [&] {
        std::vector<admission::ticket> admitted;
        decision last = subject.request(makeRequest("large"), start);
        while (last.outcome == admission_outcome::admitted) {
            admitted.push_back(last.id);
            last = subject.request(makeRequest("large"), start);
        }
        subject.cancel(last.id);
        return admitted;
    };
    const auto finish = [&](const std::vector<admission::ticket> &admitted, bool met) {
        for (const auto id : admitted) {
            subject.onFinished(id, met, start);
        }
    };

    SECTION("missed deadlines lower it to no less than its minimum")
    {
        auto admitted = fill();
        CHECK(admitted.size() == 20);
        finish(admitted, false);
        admitted = fill();
        CHECK(admitted.size() < 20);
        for (int i = 0; i < 100; ++i) {
            finish(admitted, false);
            admitted = fill();
        }
        CHECK(admitted.size() == 4);

        SECTION("met deadlines raise it again")
        {
            for (int i = 0; i < 200; ++i) {
                finish(admitted, true);
                admitted = fill();
            }
            CHECK(admitted.size() == 20);
        }
    }
    SECTION("a lowered upper bound applies immediately")
    {
        subject.setCapacity(10);
        CHECK(fill().size() == 10);
    }
}
