#include <masticlever/routing/router.h>

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace masticlever;
using namespace std::chrono_literals;
using routing::call_outcome;

namespace
{

const common::instant start{1000s};

configuration::snapshot desks(std::size_t count, std::size_t slots = 4)
{
    configuration::snapshot made;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string name = "desk-" + std::to_string(i);
        configuration::resource<configuration::endpoint_spec> endpoint;
        endpoint.name = name;
        endpoint.spec.pool = "desk";
        endpoint.spec.address = "10.0.0." + std::to_string(i) + ":80";
        endpoint.spec.slots = slots;
        made.endpoints[name] = endpoint;
    }
    return made;
}

/// Chooses with a stream of random numbers that repeats from run to run.
class picker
{
public:
    explicit picker(routing::router &subject) : m_router(subject) { }

    std::string pick(common::instant now, bool repeatable = true, std::uint64_t prefix = 0,
                     std::span<const std::string> exclude = {})
    {
        m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
        const auto chosen = m_router.choose({.pool = "desk",
                                             .prefixHash = prefix,
                                             .exclude = exclude,
                                             .random = m_random ^ (m_random >> 29U),
                                             .now = now,
                                             .repeatable = repeatable});
        return chosen ? chosen->name : std::string();
    }

    std::map<std::string, int> pickMany(common::instant now, int count, bool repeatable = true)
    {
        std::map<std::string, int> picked;
        for (int i = 0; i < count; ++i) {
            ++picked[pick(now, repeatable)];
        }
        return picked;
    }

private:
    routing::router &m_router;
    std::uint64_t m_random = 42;
};

void answer(routing::router &router, const std::string &endpoint, common::duration latency, common::instant now)
{
    router.onSent(endpoint, now - latency);
    router.onEnded(endpoint, call_outcome::answered, latency, now);
}

void fail(routing::router &router, const std::string &endpoint, call_outcome outcome, common::instant now)
{
    router.onSent(endpoint, now - 10ms);
    router.onEnded(endpoint, outcome, 10ms, now);
}

} // namespace

TEST_CASE("each policy uses all endpoints of a pool")
{
    using routing::policy_kind;
    for (const auto kind : {policy_kind::random, policy_kind::round_robin, policy_kind::least_in_flight,
                            policy_kind::two_choices, policy_kind::two_choices_aged, policy_kind::prefix_affinity}) {
        routing::router router({.policy = kind});
        router.update(desks(4), start);
        picker calls(router);
        CHECK(calls.pickMany(start, 400).size() == 4);
    }
}

TEST_CASE("load decides between two endpoints")
{
    routing::router router({.policy = routing::policy_kind::two_choices_aged});
    router.update(desks(2), start);
    picker calls(router);

    SECTION("a call that is in flight here counts at once")
    {
        router.onSent("desk-0", start);
        CHECK(calls.pickMany(start, 20)["desk-1"] == 20);
    }

    SECTION("a fresh report of other instances' calls counts")
    {
        router.onLoadReport("desk-0", 3, 0ms, start);
        router.onLoadReport("desk-1", 0, 0ms, start);
        CHECK(calls.pickMany(start, 20)["desk-1"] == 20);

        SECTION("and fades against calls of this instance as it ages")
        {
            router.onSent("desk-1", start);
            CHECK(calls.pickMany(start, 20)["desk-1"] == 20);
            CHECK(calls.pickMany(start + 10s, 20)["desk-0"] == 20);
        }
        SECTION("and is not replaced by an older one that arrives late")
        {
            router.onLoadReport("desk-0", 0, 500ms, start);
            CHECK(calls.pickMany(start, 20)["desk-1"] == 20);
        }
    }
}

TEST_CASE("requests with the same prompt prefix meet the same engine")
{
    routing::router router({});
    router.update(desks(6, 2), start);
    picker calls(router);
    const auto prefix = routing::hashPrefix("You advise on heirloom quilts.");
    const std::string home = calls.pick(start, true, prefix);
    for (int i = 0; i < 20; ++i) {
        CHECK(calls.pick(start, true, prefix) == home);
    }

    SECTION("a loaded engine passes them on to one other, not to all")
    {
        for (int i = 0; i < 6; ++i) {
            router.onSent(home, start);
        }
        const std::string second = calls.pick(start, true, prefix);
        CHECK(second != home);
        CHECK(calls.pick(start, true, prefix) == second);
    }

    SECTION("an engine that joins takes over few prefixes")
    {
        int moved = 0;
        std::map<std::uint64_t, std::string> homes;
        for (std::uint64_t p = 1; p <= 100; ++p) {
            homes[p] = calls.pick(start, true, p);
        }
        router.update(desks(7, 2), start);
        for (std::uint64_t p = 1; p <= 100; ++p) {
            moved += homes[p] == calls.pick(start, true, p) ? 0 : 1;
        }
        CHECK(moved < 35);
    }
}

TEST_CASE("an endpoint that leaves or was tried gets no call")
{
    routing::router router({});
    auto snapshot = desks(3);
    router.update(snapshot, start);
    picker calls(router);

    SECTION("leaving is kept when the configuration changes")
    {
        router.setLeaving("10.0.0.1:80", true);
        CHECK(calls.pickMany(start, 50).count("desk-1") == 0);
        router.update(desks(4), start);
        CHECK(calls.pickMany(start, 50).count("desk-1") == 0);
        CHECK(router.poolSlots("desk") == 12);
        router.setLeaving("10.0.0.1:80", false);
        CHECK(calls.pickMany(start, 50).count("desk-1") == 1);
    }

    SECTION("a draining endpoint is out")
    {
        snapshot.endpoints["desk-2"].spec.draining = true;
        router.update(snapshot, start);
        CHECK(calls.pickMany(start, 50).count("desk-2") == 0);
    }

    SECTION("a retry goes elsewhere until every endpoint was tried")
    {
        std::vector<std::string> tried;
        for (int i = 0; i < 3; ++i) {
            const std::string next = calls.pick(start, true, 0, tried);
            REQUIRE_FALSE(next.empty());
            CHECK(std::find(tried.begin(), tried.end(), next) == tried.end());
            tried.push_back(next);
        }
        CHECK(calls.pick(start, true, 0, tried).empty());
    }
}

TEST_CASE("a failing endpoint is ejected")
{
    routing::router router({.failuresToEject = 3, .timeoutsToEject = 2, .ejectFor = 5s});
    router.update(desks(3), start);
    picker calls(router);

    SECTION("after consecutive failures")
    {
        for (int i = 0; i < 2; ++i) {
            fail(router, "desk-0", call_outcome::failed, start);
        }
        CHECK(calls.pickMany(start, 60).count("desk-0") == 1);
        fail(router, "desk-0", call_outcome::failed, start);
        CHECK(calls.pickMany(start, 60).count("desk-0") == 0);
        CHECK(router.poolSlots("desk") == 8);

        SECTION("the floor keeps the next failing endpoint in use")
        {
            for (int i = 0; i < 9; ++i) {
                fail(router, "desk-1", call_outcome::failed, start);
            }
            CHECK(calls.pickMany(start, 60).count("desk-1") == 1);
        }

        SECTION("a single repeatable call probes it after a while")
        {
            CHECK(calls.pickMany(start + 6s, 60, false).count("desk-0") == 0);
            REQUIRE(calls.pick(start + 6s) == "desk-0");
            router.onSent("desk-0", start + 6s);
            CHECK(calls.pickMany(start + 6s, 60).count("desk-0") == 0);
            SECTION("whose answer brings it back")
            {
                router.onEnded("desk-0", call_outcome::answered, 10ms, start + 6s);
                CHECK(calls.pickMany(start + 11s, 60)["desk-0"] > 1);
            }
            SECTION("whose failure keeps it out for longer")
            {
                router.onEnded("desk-0", call_outcome::failed, 10ms, start + 6s);
                CHECK(calls.pickMany(start + 12s, 60).count("desk-0") == 0);
                CHECK(calls.pick(start + 17s) == "desk-0");
            }
        }

        SECTION("a probe of the instance's own brings it back as well")
        {
            CHECK(router.dueProbes(start + 1s).empty());
            REQUIRE(router.dueProbes(start + 6s).size() == 1);
            CHECK(router.dueProbes(start + 6s).empty());
            router.onProbed("desk-0", true, start + 6s);
            CHECK(calls.pickMany(start + 11s, 60)["desk-0"] > 1);
        }
    }

    SECTION("after consecutive timeouts")
    {
        fail(router, "desk-0", call_outcome::timed_out, start);
        fail(router, "desk-0", call_outcome::timed_out, start);
        CHECK(calls.pickMany(start, 60).count("desk-0") == 0);
    }

    SECTION("when it is far slower than the others")
    {
        for (int i = 0; i < 16; ++i) {
            answer(router, "desk-0", 400ms, start);
            answer(router, "desk-1", 50ms, start);
            answer(router, "desk-2", 50ms, start);
        }
        CHECK(calls.pickMany(start, 60).count("desk-0") == 0);
    }

    SECTION("cancelled calls say nothing against it")
    {
        for (int i = 0; i < 20; ++i) {
            fail(router, "desk-0", call_outcome::cancelled, start);
        }
        CHECK(calls.pickMany(start, 60).count("desk-0") == 1);
    }
}

TEST_CASE("an endpoint that takes calls and says nothing is avoided before any call has timed out")
{
    routing::router router({.policy = routing::policy_kind::random});
    router.update(desks(3), start);
    picker calls(router);
    for (const std::string name : {"desk-0", "desk-1", "desk-2"}) {
        answer(router, name, 20ms, start);
    }
    router.onSent("desk-0", start);
    CHECK(calls.pickMany(start + 100ms, 60).count("desk-0") == 1);
    CHECK(calls.pickMany(start + 300ms, 60).count("desk-0") == 0);

    SECTION("a sign of life brings it back")
    {
        router.onProgress("desk-0", 300ms, start + 300ms);
        CHECK(calls.pickMany(start + 310ms, 60).count("desk-0") == 1);
    }
    SECTION("giving the call up ejects it, even when a hedge made the call needless")
    {
        router.onEnded("desk-0", call_outcome::cancelled, 300ms, start + 300ms);
        CHECK(calls.pickMany(start + 310ms, 60).count("desk-0") == 0);
    }
    SECTION("the floor holds when all but one are silent")
    {
        router.onSent("desk-1", start);
        CHECK(calls.pickMany(start + 300ms, 60).size() == 2);
    }
}

TEST_CASE("instances warn each other of an endpoint that takes calls and says nothing")
{
    routing::router first({});
    routing::router second({});
    for (routing::router *router : {&first, &second}) {
        router->update(desks(3), start);
        answer(*router, "desk-0", 20ms, start);
    }
    first.onSent("desk-0", start);
    CHECK(first.takeSuspects(start + 100ms).empty());
    CHECK(first.takeSuspects(start + 300ms) == std::vector<std::string>{"desk-0"});
    CHECK(first.takeSuspects(start + 400ms).empty());
    CHECK(first.takeSuspects(start + 1400ms).size() == 1);

    second.onPeerSuspects("desk-0", start + 300ms);
    picker calls(second);
    SECTION("calls that may not be repeated avoid it, others find out")
    {
        CHECK(calls.pickMany(start + 300ms, 60, false).count("desk-0") == 0);
        CHECK(calls.pickMany(start + 300ms, 60).count("desk-0") == 1);
    }
    SECTION("an answer clears it here")
    {
        answer(second, "desk-0", 20ms, start + 400ms);
        CHECK(calls.pickMany(start + 400ms, 60, false).count("desk-0") == 1);
    }
    SECTION("a warning that is not repeated lapses")
    {
        CHECK(calls.pickMany(start + 4s, 60, false).count("desk-0") == 1);
    }
    SECTION("warnings about all endpoints leave enough in use")
    {
        second.onPeerSuspects("desk-1", start + 300ms);
        second.onPeerSuspects("desk-2", start + 300ms);
        CHECK(calls.pickMany(start + 300ms, 60, false).size() == 2);
    }
}

TEST_CASE("a newcomer starts slowly")
{
    routing::router router({.policy = routing::policy_kind::least_in_flight, .slowStart = 10s});
    router.update(desks(2), start);
    router.update(desks(3), start + 1s);
    picker calls(router);
    std::map<std::string, int> sent;
    for (int i = 0; i < 22; ++i) {
        const std::string chosen = calls.pick(start + 1s);
        router.onSent(chosen, start + 1s);
        ++sent[chosen];
    }
    CHECK(sent["desk-2"] <= 2);
    CHECK(sent["desk-0"] >= 9);
}

TEST_CASE("a large pool is divided between instances")
{
    std::map<std::string, int> users;
    constexpr int instances = 40;
    for (int i = 0; i < instances; ++i) {
        routing::router router({.subsetSize = 10, .instanceName = "entry-" + std::to_string(i)});
        router.update(desks(60), start);
        CHECK(router.poolSize("desk") == 10);
        picker calls(router);
        for (const auto &[name, count] : calls.pickMany(start, 300)) {
            ++users[name];
        }
    }
    CHECK(users.size() == 60);
}
