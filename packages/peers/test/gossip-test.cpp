#include <masticlever/peers/gossip.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

using namespace masticlever::peers;
using namespace masticlever::membership;
using masticlever::common::instant;
using masticlever::platform::instance_kind;
using masticlever::platform::instance_state;
using masticlever::platform::listed_instance;
using namespace std::chrono_literals;

namespace
{

instance_notice makeNotice(int number)
{
    instance_notice notice;
    notice.name = "entry-" + std::to_string(number);
    notice.incarnation = "incarnation-" + std::to_string(number);
    notice.peerAddress = std::to_string(number);
    return notice;
}

struct node {
    explicit node(int number, const membership_options &membershipOptions = {},
                  const gossip_options &gossipOptions = {})
        : table(membershipOptions, makeNotice(number)), protocol(gossipOptions, table)
    { }

    membership_table table;
    gossip protocol;
    bool isDown = false;
    std::function<bool(std::size_t to)> isCut = [](std::size_t) { return false; };
};

/// A fleet on a virtual clock. Messages arrive immediately unless they are lost at random or by a network partition.
class fleet
{
public:
    fleet(int size, std::uint64_t seed) : m_random(seed)
    {
        std::vector<listed_instance> list;
        for (int i = 0; i < size; ++i) {
            const auto notice = makeNotice(i);
            list.push_back({notice.name, instance_kind::entry, instance_state::live, "", notice.peerAddress, "",
                            notice.incarnation});
            nodes.push_back(std::make_unique<node>(i));
        }
        for (auto &member : nodes) {
            member->table.onList(list, now);
        }
    }

    /// Creates instances that are not running yet. They know all contact addresses but no other instance.
    static fleet notStarted(int size, std::uint64_t seed, const membership_options &membershipOptions = {},
                            const gossip_options &gossipOptions = {})
    {
        fleet result(0, seed);
        for (int i = 0; i < size; ++i) {
            result.nodes.push_back(std::make_unique<node>(i, membershipOptions, gossipOptions));
            result.nodes.back()->isDown = true;
        }
        return result;
    }

    void start(std::size_t number)
    {
        nodes[number]->isDown = false;
        std::vector<std::string> contacts;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (i != number) {
                contacts.push_back(std::to_string(i));
            }
        }
        nodes[number]->protocol.setContacts(contacts);
        while (const auto greeting = nodes[number]->protocol.takeGreeting(now)) {
            deliver(number, *greeting);
        }
    }

    void run(masticlever::common::duration time)
    {
        const instant end = now + time;
        for (; now < end; now += 50ms) {
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                step(i);
            }
        }
    }

    /// Returns how many running instances consider instance \p number live.
    int countLiveViews(int number) const
    {
        int count = 0;
        for (const auto &member : nodes) {
            const std::string incarnation = makeNotice(number).incarnation;
            count += !member->isDown && member->table.isLive(incarnation, now) ? 1 : 0;
        }
        return count;
    }

    std::vector<std::unique_ptr<node>> nodes;
    double lossRate = 0;
    std::size_t messages = 0;
    instant now = instant{} + 1h;

private:
    void step(std::size_t from)
    {
        node &sender = *nodes[from];
        // Instances do not run in lockstep.
        const bool isTurn = m_random() % 4 != 0;
        if (sender.isDown || !isTurn) {
            return;
        }
        if (const auto request = sender.protocol.takeHeartbeatRequest(now)) {
            deliver(from, *request);
        }
        if (const auto round = sender.protocol.onTime(now)) {
            deliver(from, *round);
        }
        if (const auto report = sender.protocol.takePromptFaultReport(now)) {
            deliver(from, *report);
        }
    }

    void deliver(std::size_t from, const gossip_round &round)
    {
        for (const std::string &address : round.addresses) {
            const std::size_t to = std::stoul(address);
            const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < lossRate;
            ++messages;
            if (isLost || nodes[from]->isCut(to) || nodes[to]->isDown) {
                continue;
            }
            nodes[to]->protocol.onMessage(round.message, now);
            for (const gossip_round &answer : nodes[to]->protocol.takeIntroductions(now)) {
                deliver(to, answer);
            }
        }
    }

    std::mt19937_64 m_random;
};

} // namespace

TEST_CASE("updates spread through the fleet")
{
    const int size = GENERATE(5, 16, 100);
    const std::uint64_t seed = GENERATE(1, 2, 3);
    INFO("size " << size << " seed " << seed);
    fleet instances(size, seed);
    instances.lossRate = 0.05;
    instances.run(30s);
    CHECK(instances.countLiveViews(0) == size);

    SECTION("a stopped instance is detected by all others within seconds")
    {
        instances.nodes[0]->isDown = true;
        instances.run(14s);
        CHECK(instances.countLiveViews(0) == 0);
        CHECK(instances.countLiveViews(1) == size - 1);

        SECTION("and considered live again when it resumes")
        {
            instances.nodes[0]->isDown = false;
            instances.run(9s);
            CHECK(instances.countLiveViews(0) == size);
            CHECK(instances.countLiveViews(1) == size);
        }
    }

    SECTION("a leaving endpoint is known everywhere within seconds")
    {
        instances.nodes[1]->table.onEndpointLeaving({"10.0.0.1:80", "e"}, instances.now);
        instances.nodes[1]->protocol.sendEarly(instances.now);
        instances.run(5s);
        for (const auto &member : instances.nodes) {
            CHECK(member->table.isEndpointLeaving("10.0.0.1:80"));
        }
    }

    SECTION("a prompt part that crashes endpoints is withheld everywhere within seconds, by instances that restart too")
    {
        const std::vector<std::uint64_t> request{7};
        const std::vector<interrupted_part> parts{{7, 100ms}};
        for (std::uint64_t crash = 0; crash < 3; ++crash) {
            membership_table &table = instances.nodes[crash]->table;
            table.promptFaults().onCrash(crash + 1, parts, instances.now, instances.now);
            instances.run(1s);
        }
        instances.run(2s);
        for (const auto &member : instances.nodes) {
            CHECK(member->table.promptFaults().findWithheld(request, instances.now).has_value());
        }
        instances.run(1min);
        instances.nodes[2]->table.promptFaults() = prompt_fault_table({});
        instances.run(5s);
        CHECK(instances.nodes[2]->table.promptFaults().findWithheld(request, instances.now).has_value());
    }

    SECTION("an endpoint's rate limit and its end are known everywhere within seconds")
    {
        const auto sentAt = instances.now;
        instances.nodes[1]->table.rateLimits().onAnswer("e1", 7, 2.0, sentAt, instances.now);
        instances.run(5s);
        for (const auto &member : instances.nodes) {
            const auto known = member->table.rateLimits().find("e1", 7);
            REQUIRE(known.has_value());
            CHECK(known->rate == 2.0);
            CHECK(known->confirmedAt >= sentAt);
        }
        instances.nodes[3]->table.rateLimits().onAnswer("e1", 7, std::nullopt, instances.now, instances.now);
        instances.run(5s);
        for (const auto &member : instances.nodes) {
            CHECK_FALSE(member->table.rateLimits().find("e1", 7).has_value());
        }
    }

    SECTION("a leaving instance is known everywhere within seconds and stays live until it stops")
    {
        auto self = instances.nodes[2]->table.self();
        self.leaving = true;
        instances.nodes[2]->table.setSelf(self);
        instances.nodes[2]->protocol.sendEarly(instances.now);
        instances.run(5s);
        CHECK(instances.countLiveViews(2) == size);
        for (const auto &member : instances.nodes) {
            const auto live = member->table.liveInstances(instances.now);
            CHECK(std::ranges::count_if(live, &instance_notice::leaving) == 1);
        }
    }
}

TEST_CASE("instances that start together know each other immediately")
{
    const int size = GENERATE(3, 18, 100);
    fleet instances = fleet::notStarted(size, 7);
    for (int i = 0; i < size; ++i) {
        instances.start(static_cast<std::size_t>(i));
    }
    for (int i = 0; i < size; ++i) {
        CHECK(instances.countLiveViews(i) == size);
    }
    // One greeting to each address, and one reply from each instance that was already running.
    const std::size_t count = instances.nodes.size();
    const std::size_t pairs = count * (count - 1);
    CHECK(instances.messages == pairs + pairs / 2);
}

TEST_CASE("a running instance is not declared lost while views of the ring differ")
{
    // The timings used on the users' platform, where all instances start within 0.3 s.
    membership_options membershipOptions;
    membershipOptions.suspectAfter = 850ms;
    membershipOptions.firstHeartbeatTimeout = 2500ms;
    gossip_options gossipOptions;
    gossipOptions.interval = 200ms;
    gossipOptions.minimumGap = 50ms;
    const std::uint64_t seed = GENERATE(1, 2, 3);
    constexpr int size = 119;
    fleet instances = fleet::notStarted(size, seed, membershipOptions, gossipOptions);
    instances.lossRate = 0.3; // sockets of starting instances are full or not open yet
    for (int i = 0; i < size; ++i) {
        instances.start(static_cast<std::size_t>(i));
        instances.run(i % 20 == 0 ? 50ms : 0ms);
    }
    instances.lossRate = 0;
    instances.run(5s);
    int missing = 0;
    for (int second = 0; second < 10; ++second) {
        instances.run(1s);
        for (int i = 0; i < size; ++i) {
            missing += size - instances.countLiveViews(i);
        }
    }
    CHECK(missing == 0);
}

TEST_CASE("a fleet rejoins after a network partition")
{
    fleet instances(20, 4);
    instances.run(5s);
    for (std::size_t from = 0; from < 20; ++from) {
        instances.nodes[from]->isCut = [from](std::size_t to) { return (from < 10) != (to < 10); };
    }
    instances.run(15s);
    CHECK(instances.countLiveViews(0) == 10);
    for (auto &member : instances.nodes) {
        member->isCut = [](std::size_t) { return false; };
    }
    instances.run(40s);
    for (int i = 0; i < 20; ++i) {
        CHECK(instances.countLiveViews(i) == 20);
    }
}

TEST_CASE("a round is sent early when an instance or endpoint is leaving")
{
    node first(0);
    const instant now = instant{} + 1h;
    first.table.onNotice(makeNotice(1), now);
    REQUIRE(first.protocol.onTime(now).has_value());
    CHECK_FALSE(first.protocol.onTime(now + 300ms).has_value());
    first.protocol.sendEarly(now + 300ms);
    CHECK(first.protocol.nextDueAt() == now + 300ms);
    const auto round = first.protocol.onTime(now + 300ms);
    REQUIRE(round.has_value());

    SECTION("but no sooner than the minimum gap")
    {
        first.protocol.sendEarly(now + 301ms);
        CHECK(first.protocol.nextDueAt() == now + 500ms);
    }

    SECTION("a duplicate message and a message from itself are rejected")
    {
        node second(1);
        CHECK(second.protocol.onMessage(round->message, now));
        CHECK_FALSE(second.protocol.onMessage(round->message, now));
        CHECK_FALSE(first.protocol.onMessage(round->message, now));
    }
}

TEST_CASE("updates that exceed one message are sent in rotation")
{
    node first(0);
    instant now = instant{} + 1h;
    for (int i = 0; i < 20; ++i) {
        first.table.onEndpointLeaving({"10.0.0.1:" + std::to_string(i), "e"}, now);
    }
    std::vector<endpoint_notice> sent;
    for (int round = 0; round < 3; ++round, now += 1s) {
        const auto next = first.protocol.onTime(now);
        REQUIRE(next.has_value());
        sent.insert(sent.end(), next->message.leavingEndpoints.begin(), next->message.leavingEndpoints.end());
    }
    std::ranges::sort(sent);
    sent.erase(std::unique(sent.begin(), sent.end()), sent.end());
    CHECK(sent.size() == 20);
}
