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
using verdict = decision::verdict;

namespace
{

const common::instant start{1000s};

admission::entry_request from(std::string_view team, common::duration remaining = 4s, common::duration service = 100ms)
{
    return {.team = team, .pipeline = "advice", .remaining = remaining, .expectedService = service};
}

/// Ends one request every \p interval and returns the time after the last.
common::instant drainAtRate(admission::controller &subject, std::deque<admission::ticket> &running, int count,
                            common::duration interval, common::instant now)
{
    for (int i = 0; i < count; ++i) {
        now += interval;
        subject.onFinished(running.front(), true, now);
        running.pop_front();
        running.push_back(subject.request(from("large"), now).id);
    }
    return now;
}

} // namespace

TEST_CASE("a request starts at once while there is room")
{
    admission::controller subject({.capacity = 2, .minimumCapacity = 1, .queueLimit = 500ms});
    const auto first = subject.request(from("large"), start);
    const auto second = subject.request(from("large"), start);
    CHECK(first.outcome == verdict::admitted);
    CHECK(second.outcome == verdict::admitted);
    CHECK(subject.inFlight() == 2);

    SECTION("the next one of the same team waits")
    {
        const auto third = subject.request(from("large"), start);
        REQUIRE(third.outcome == verdict::queued);
        CHECK(subject.nextWakeUp() == start + 500ms);

        SECTION("and starts when a request ends")
        {
            subject.onFinished(first.id, true, start + 50ms);
            const auto events = subject.poll(start + 50ms);
            REQUIRE(events.size() == 1);
            CHECK(events[0].id == third.id);
            CHECK(events[0].admitted);
        }
        SECTION("and is refused when its wait ends, with a time to ask again")
        {
            CHECK(subject.poll(start + 499ms).empty());
            const auto events = subject.poll(start + 500ms);
            REQUIRE(events.size() == 1);
            CHECK_FALSE(events[0].admitted);
            CHECK(events[0].reason == refusal_reason::queue_timeout);
            CHECK(events[0].retryAfter > 0ms);
            CHECK(subject.queued() == 0);
        }
        SECTION("and is forgotten when its caller goes")
        {
            subject.cancel(third.id);
            CHECK(subject.poll(start + 600ms).empty());
            CHECK(subject.nextWakeUp() == common::instant::max());
        }
    }

    SECTION("one with little time left waits only as long as it can")
    {
        CHECK(subject.request(from("large", 300ms, 200ms), start).outcome == verdict::queued);
        CHECK(subject.nextWakeUp() == start + 100ms);
        const auto events = subject.poll(start + 100ms);
        REQUIRE(events.size() == 1);
        CHECK(events[0].reason == refusal_reason::deadline_unreachable);
    }

    SECTION("another team has its share although the first holds all")
    {
        CHECK(subject.request(from("small"), start).outcome == verdict::admitted);
        CHECK(subject.request(from("third"), start).outcome == verdict::queued);
    }
}

TEST_CASE("what cannot be answered in time is refused at the door")
{
    admission::controller subject({.capacity = 4, .minimumCapacity = 1, .queueLimit = 500ms});

    SECTION("though never when nothing is in flight, as the estimate may be stale")
    {
        CHECK(subject.request(from("large", 1s, 2s), start).outcome == verdict::admitted);
        const auto second = subject.request(from("large", 1s, 2s), start);
        CHECK(second.outcome == verdict::refused);
        CHECK(second.reason == refusal_reason::deadline_unreachable);
    }

    SECTION("by the wait that the drain rate promises")
    {
        std::deque<admission::ticket> running;
        for (int i = 0; i < 4; ++i) {
            running.push_back(subject.request(from("large"), start).id);
        }
        const auto now = drainAtRate(subject, running, 40, 100ms, start);
        for (int i = 0; i < 4; ++i) {
            CHECK(subject.request(from("large"), now).outcome == verdict::queued);
        }
        const auto tight = subject.request(from("large", 400ms, 100ms), now);
        CHECK(tight.reason == refusal_reason::deadline_unreachable);
        CHECK(tight.retryAfter > 100ms);
        CHECK(tight.retryAfter < 400ms);
        int queued = 0;
        decision last = subject.request(from("large"), now);
        while (last.outcome == verdict::queued) {
            ++queued;
            last = subject.request(from("large"), now);
        }
        CHECK(queued <= 2);
        CHECK(last.reason == refusal_reason::queue_timeout);

        SECTION("while a team within its share still gets in")
        {
            CHECK(subject.request(from("small"), now).outcome == verdict::admitted);
        }
    }
}

TEST_CASE("a team never holds more than its own limit")
{
    admission::controller subject({.capacity = 10});
    auto entry = from("small");
    entry.teamLimit = 2;
    CHECK(subject.request(entry, start).outcome == verdict::admitted);
    CHECK(subject.request(entry, start).outcome == verdict::admitted);
    const auto third = subject.request(entry, start);
    CHECK(third.outcome == verdict::refused);
    CHECK(third.reason == refusal_reason::team_limit);
}

TEST_CASE("waiting teams are served by weight")
{
    admission::controller subject({.capacity = 4, .minimumCapacity = 1, .queueLimit = 1h});
    std::deque<admission::ticket> running;
    std::map<admission::ticket, std::string> teamOf;
    const auto ask = [&](const std::string &team, double weight) {
        auto entry = from(team, 1h);
        entry.weight = weight;
        const auto asked = subject.request(entry, start);
        teamOf[asked.id] = team;
        if (asked.outcome == verdict::admitted) {
            running.push_back(asked.id);
        }
    };
    for (int i = 0; i < 4; ++i) {
        ask("first", 1);
    }
    for (int i = 0; i < 40; ++i) {
        ask("light", 1);
        ask("heavy", 3);
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

TEST_CASE("the capacity follows deadlines and pools")
{
    admission::controller subject({.capacity = 20, .minimumCapacity = 4});
    const auto fill = [&] {
        std::vector<admission::ticket> admitted;
        decision last = subject.request(from("large"), start);
        while (last.outcome == verdict::admitted) {
            admitted.push_back(last.id);
            last = subject.request(from("large"), start);
        }
        subject.cancel(last.id);
        return admitted;
    };
    const auto finish = [&](const std::vector<admission::ticket> &admitted, bool met) {
        for (const auto id : admitted) {
            subject.onFinished(id, met, start);
        }
    };

    SECTION("missed deadlines lower it, down to its minimum")
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
    SECTION("a pool that shrinks lowers it at once")
    {
        subject.setCapacity(10);
        CHECK(fill().size() == 10);
    }
}
