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

configuration::snapshot makeSnapshot(std::size_t count, std::size_t slots = 4)
{
    configuration::snapshot created;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string name = "desk-" + std::to_string(i);
        configuration::resource<configuration::endpoint_spec> endpoint;
        endpoint.name = name;
        endpoint.spec.pool = "desk";
        endpoint.spec.address = "10.0.0." + std::to_string(i) + ":80";
        endpoint.spec.slots = slots;
        created.endpoints[name] = endpoint;
    }
    return created;
}

/// Chooses endpoints with a deterministic sequence of random numbers.
class endpoint_picker
{
public:
    explicit endpoint_picker(routing::router &subject) : m_router(subject) { }

    std::string pick(common::instant now, bool repeatable = true, std::uint64_t prefix = 0,
                     std::span<const std::string> exclude = {})
    {
        m_state = m_state * 6364136223846793005ULL + 1442695040888963407ULL;
        const auto chosen = m_router.choose({.pool = "desk",
                                             .prefixHash = prefix,
                                             .exclude = exclude,
                                             .random = m_state ^ (m_state >> 29U),
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
    std::uint64_t m_state = 42;
};

void answerCall(routing::router &router, const std::string &endpoint, common::duration latency, common::instant now)
{
    router.onSent(endpoint, now - latency);
    router.onEnded(endpoint, call_outcome::answered, latency, now);
}

void failCall(routing::router &router, const std::string &endpoint, call_outcome outcome, common::instant now)
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
        router.update(makeSnapshot(4), start);
        endpoint_picker calls(router);
        CHECK(calls.pickMany(start, 400).size() == 4);
    }
}

TEST_CASE("the less loaded of two endpoints is chosen")
{
    routing::router router({.policy = routing::policy_kind::two_choices_aged});
    router.update(makeSnapshot(2), start);
    endpoint_picker calls(router);

    SECTION("a call of this instance counts immediately")
    {
        router.onSent("desk-0", start);
        CHECK(calls.pickMany(start, 20)["desk-1"] == 20);
    }

    SECTION("a recent report of other instances' calls counts")
    {
        router.onLoadReport("desk-0", 3, 0ms, start);
        router.onLoadReport("desk-1", 0, 0ms, start);
        CHECK(calls.pickMany(start, 20)["desk-1"] == 20);

        SECTION("and weighs less than calls of this instance as it ages")
        {
            router.onSent("desk-1", start);
            CHECK(calls.pickMany(start, 20)["desk-1"] == 20);
            CHECK(calls.pickMany(start + 10s, 20)["desk-0"] == 20);
        }
        SECTION("and is not replaced by an older report that arrives later")
        {
            router.onLoadReport("desk-0", 0, 500ms, start);
            CHECK(calls.pickMany(start, 20)["desk-1"] == 20);
        }
    }
}

TEST_CASE("requests with the same prompt prefix use the same endpoint")
{
    routing::router router({});
    router.update(makeSnapshot(6, 2), start);
    endpoint_picker calls(router);
    const auto prefix = routing::hashPrefix("You advise on heirloom quilts.");
    const std::string preferred = calls.pick(start, true, prefix);
    for (int i = 0; i < 20; ++i) {
        CHECK(calls.pick(start, true, prefix) == preferred);
    }

    SECTION("when it is overloaded, they all use the same other endpoint")
    {
        for (int i = 0; i < 6; ++i) {
            router.onSent(preferred, start);
        }
        const std::string second = calls.pick(start, true, prefix);
        CHECK(second != preferred);
        CHECK(calls.pick(start, true, prefix) == second);
    }

    SECTION("an added endpoint moves only a few prefixes")
    {
        int moved = 0;
        std::map<std::uint64_t, std::string> preferredBefore;
        for (std::uint64_t p = 1; p <= 100; ++p) {
            preferredBefore[p] = calls.pick(start, true, p);
        }
        router.update(makeSnapshot(7, 2), start);
        for (std::uint64_t p = 1; p <= 100; ++p) {
            moved += preferredBefore[p] == calls.pick(start, true, p) ? 0 : 1;
        }
        CHECK(moved < 35);
    }
}

TEST_CASE("endpoints that are leaving, draining or already tried get no calls")
{
    routing::router router({});
    auto snapshot = makeSnapshot(3);
    router.update(snapshot, start);
    endpoint_picker calls(router);

    SECTION("an endpoint stays leaving when the configuration changes")
    {
        router.setLeaving("10.0.0.1:80", true);
        CHECK(calls.pickMany(start, 50).count("desk-1") == 0);
        router.update(makeSnapshot(4), start);
        CHECK(calls.pickMany(start, 50).count("desk-1") == 0);
        CHECK(router.poolSlots("desk") == 12);
        router.setLeaving("10.0.0.1:80", false);
        CHECK(calls.pickMany(start, 50).count("desk-1") == 1);
    }

    SECTION("a draining endpoint is not chosen")
    {
        snapshot.endpoints["desk-2"].spec.draining = true;
        router.update(snapshot, start);
        CHECK(calls.pickMany(start, 50).count("desk-2") == 0);
    }

    SECTION("a retry uses another endpoint until all have been tried")
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
    routing::router router({.failuresToEject = 3, .timeoutsToEject = 2, .baseEjectionTime = 5s});
    router.update(makeSnapshot(3), start);
    endpoint_picker calls(router);

    SECTION("after consecutive failures")
    {
        for (int i = 0; i < 2; ++i) {
            failCall(router, "desk-0", call_outcome::failed, start);
        }
        CHECK(calls.pickMany(start, 60).count("desk-0") == 1);
        failCall(router, "desk-0", call_outcome::failed, start);
        CHECK(calls.pickMany(start, 60).count("desk-0") == 0);
        CHECK(router.poolSlots("desk") == 8);

        SECTION("the limit on ejections keeps the next failing endpoint in use")
        {
            for (int i = 0; i < 9; ++i) {
                failCall(router, "desk-1", call_outcome::failed, start);
            }
            CHECK(calls.pickMany(start, 60).count("desk-1") == 1);
        }

        SECTION("a single repeatable call probes it after the ejection time")
        {
            CHECK(calls.pickMany(start + 6s, 60, false).count("desk-0") == 0);
            REQUIRE(calls.pick(start + 6s) == "desk-0");
            router.onSent("desk-0", start + 6s);
            CHECK(calls.pickMany(start + 6s, 60).count("desk-0") == 0);
            SECTION("and an answer reinstates it")
            {
                router.onEnded("desk-0", call_outcome::answered, 10ms, start + 6s);
                CHECK(calls.pickMany(start + 11s, 60)["desk-0"] > 1);
            }
            SECTION("and a failure ejects it for longer")
            {
                router.onEnded("desk-0", call_outcome::failed, 10ms, start + 6s);
                CHECK(calls.pickMany(start + 12s, 60).count("desk-0") == 0);
                CHECK(calls.pick(start + 17s) == "desk-0");
            }
        }

        SECTION("a separate probe reinstates it as well")
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
        failCall(router, "desk-0", call_outcome::timed_out, start);
        failCall(router, "desk-0", call_outcome::timed_out, start);
        CHECK(calls.pickMany(start, 60).count("desk-0") == 0);
    }

    SECTION("when it is far slower than the others")
    {
        for (int i = 0; i < 16; ++i) {
            answerCall(router, "desk-0", 400ms, start);
            answerCall(router, "desk-1", 50ms, start);
            answerCall(router, "desk-2", 50ms, start);
        }
        CHECK(calls.pickMany(start, 60).count("desk-0") == 0);
    }

    SECTION("but not by cancelled calls")
    {
        for (int i = 0; i < 20; ++i) {
            failCall(router, "desk-0", call_outcome::cancelled, start);
        }
        CHECK(calls.pickMany(start, 60).count("desk-0") == 1);
    }
}

TEST_CASE("an unresponsive endpoint is avoided before any call has timed out")
{
    routing::router router({.policy = routing::policy_kind::random});
    router.update(makeSnapshot(3), start);
    endpoint_picker calls(router);
    for (const std::string name : {"desk-0", "desk-1", "desk-2"}) {
        answerCall(router, name, 20ms, start);
    }
    router.onSent("desk-0", start);
    CHECK(calls.pickMany(start + 100ms, 60).count("desk-0") == 1);
    CHECK(calls.pickMany(start + 300ms, 60).count("desk-0") == 0);

    SECTION("a token makes it available again")
    {
        router.onProgress("desk-0", 300ms, start + 300ms);
        CHECK(calls.pickMany(start + 310ms, 60).count("desk-0") == 1);
    }
    SECTION("cancelling the call ejects it, even if a hedge was answered first")
    {
        router.onEnded("desk-0", call_outcome::cancelled, 300ms, start + 300ms);
        CHECK(calls.pickMany(start + 310ms, 60).count("desk-0") == 0);
    }
    SECTION("the limit holds when two of three are unresponsive")
    {
        router.onSent("desk-1", start);
        CHECK(calls.pickMany(start + 300ms, 60).size() == 2);
    }
}

TEST_CASE("instances report unresponsive endpoints to each other")
{
    routing::router first({});
    routing::router second({});
    for (routing::router *router : {&first, &second}) {
        router->update(makeSnapshot(3), start);
        answerCall(*router, "desk-0", 20ms, start);
    }
    first.onSent("desk-0", start);
    CHECK(first.takeSuspects(start + 100ms).empty());
    CHECK(first.takeSuspects(start + 300ms) == std::vector<std::string>{"desk-0"});
    CHECK(first.takeSuspects(start + 400ms).empty());
    CHECK(first.takeSuspects(start + 1400ms).size() == 1);

    second.onPeerSuspects("desk-0", start + 300ms);
    endpoint_picker calls(second);
    SECTION("only calls that must not be repeated avoid it")
    {
        CHECK(calls.pickMany(start + 300ms, 60, false).count("desk-0") == 0);
        CHECK(calls.pickMany(start + 300ms, 60).count("desk-0") == 1);
    }
    SECTION("an answer to this instance clears the suspicion")
    {
        answerCall(second, "desk-0", 20ms, start + 400ms);
        CHECK(calls.pickMany(start + 400ms, 60, false).count("desk-0") == 1);
    }
    SECTION("a suspicion that is not renewed expires")
    {
        CHECK(calls.pickMany(start + 4s, 60, false).count("desk-0") == 1);
    }
    SECTION("reports about all endpoints leave enough of them in use")
    {
        second.onPeerSuspects("desk-1", start + 300ms);
        second.onPeerSuspects("desk-2", start + 300ms);
        CHECK(calls.pickMany(start + 300ms, 60, false).size() == 2);
    }
}

TEST_CASE("an added endpoint goes through slow start")
{
    routing::router router({.policy = routing::policy_kind::least_in_flight, .slowStart = 10s});
    router.update(makeSnapshot(2), start);
    router.update(makeSnapshot(3), start + 1s);
    endpoint_picker calls(router);
    std::map<std::string, int> sent;
    for (int i = 0; i < 22; ++i) {
        const std::string chosen = calls.pick(start + 1s);
        router.onSent(chosen, start + 1s);
        ++sent[chosen];
    }
    CHECK(sent["desk-2"] <= 2);
    CHECK(sent["desk-0"] >= 9);
}

TEST_CASE("each instance uses a subset of a large pool")
{
    std::map<std::string, int> usage;
    constexpr int instances = 40;
    for (int i = 0; i < instances; ++i) {
        routing::router router({.subsetSize = 10, .instanceName = "entry-" + std::to_string(i)});
        router.update(makeSnapshot(60), start);
        CHECK(router.poolSize("desk") == 10);
        endpoint_picker calls(router);
        for (const auto &[name, count] : calls.pickMany(start, 300)) {
            ++usage[name];
        }
    }
    CHECK(usage.size() == 60);
}
