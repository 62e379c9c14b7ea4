#include <masticlever/orders/order-book.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace masticlever::orders;
using masticlever::common::duration;
using masticlever::common::instant;
using namespace std::chrono_literals;

namespace
{

const instant start = instant{} + 1h;
const std::string pool = "models";
constexpr int lastVersion = 200;

engine_state makeState(int version)
{
    return {"generate", {{"lamb", "", std::to_string(version)}}};
}

std::vector<engine_target> makeEngines(int version)
{
    return {{"checks", true, makeState(version)},
            {"ignores-1", false, makeState(version)},
            {"ignores-2", false, makeState(version)}};
}

order_options makeOptions()
{
    order_options options;
    options.loadRate = {1, 3};
    return options;
}

/// A short lease, so that the holder changes often.
order_options makeShortLease()
{
    order_options options = makeOptions();
    options.leaseDuration = 14s;
    return options;
}

int versionOf(const engine_state &state)
{
    return std::stoi(state.models.front().version);
}

/// Applies every order; with checksFencing it refuses older fencing numbers.
struct fake_engine {
    bool checksFencing = false;
    std::uint64_t newestFencing = 0;
    int newestVersion = 0;
    engine_state state;
    int staleOrders = 0; ///< applied orders that are older than an earlier applied one

    bool apply(const engine_order &order)
    {
        if (checksFencing && order.fencing < newestFencing) {
            return false;
        }
        const int version = versionOf(order.wanted);
        staleOrders += order.fencing < newestFencing || version < newestVersion ? 1 : 0;
        newestFencing = std::max(newestFencing, order.fencing);
        newestVersion = std::max(newestVersion, version);
        state = order.wanted;
        return true;
    }
};

struct scheduled_order {
    instant due; ///< when it is sent or applied
    engine_order order;
};

struct simulated_instance {
    simulated_instance(std::string incarnation, std::uint64_t nonce)
        : book(makeShortLease(), std::move(incarnation), nonce)
    { }

    order_book book;
    instant pausedUntil;
    instant partitionedUntil; ///< its appends are lost until this time
    std::size_t recordsRead = 0; ///< number of log records read
    std::vector<scheduled_order> awaitingSend; ///< orders decided but not sent yet
    std::vector<std::pair<instant, std::pair<std::uint64_t, order_outcome>>> answers;
};

/// Simulates three instances, a log that delays and loses appends, and engines whose answers are lost, on one clock.
class simulation
{
public:
    explicit simulation(std::uint64_t seed) : m_random(seed)
    {
        for (std::uint64_t i = 0; i < names.size(); ++i) {
            nodes.push_back(std::make_unique<simulated_instance>(names[i], 1000 * i));
            nodes.back()->book.onHead(1);
            nodes.back()->book.setCaughtUp(true);
        }
        setAllLive();
        engines["checks"].checksFencing = true;
        setVersion(1);
    }

    void setAllLive()
    {
        for (auto &member : nodes) {
            member->book.setLive(names);
        }
    }

    void setVersion(int version)
    {
        for (auto &member : nodes) {
            member->book.setEngines(pool, makeEngines(version));
        }
    }

    void run(duration time, bool withFaults)
    {
        m_withFaults = withFaults;
        const instant end = now + time;
        for (; now < end; now += 100ms) {
            completeAppends();
            deliver();
            int count = 0;
            for (auto &member : nodes) {
                step(*member);
                if (member->book.isHolder(pool, now)) {
                    ++count;
                    holders.insert(member.get());
                }
            }
            maximumHolders = std::max(maximumHolders, count);
        }
    }

    const std::vector<std::string> names{"i0", "i1", "i2"};
    std::vector<std::unique_ptr<simulated_instance>> nodes;
    std::map<std::string, fake_engine> engines{{"checks", {}}, {"ignores-1", {}}, {"ignores-2", {}}};
    std::vector<instant> ordersSent;
    int maximumHolders = 0;
    std::set<const simulated_instance *> holders; ///< all instances that held the lease at some time
    instant now = start;

private:
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(m_random) < probability; }
    bool injectFault(double probability) { return m_withFaults && chance(probability); }
    duration randomUpTo(duration longest) { return duration(static_cast<long>(m_random() % longest.count())); }

    /// A random subset, as a wrong view of the live instances.
    std::vector<std::string> randomInstances()
    {
        std::vector<std::string> some;
        std::ranges::copy_if(names, std::back_inserter(some), [&](const auto &) { return chance(0.5); });
        return some;
    }

    void completeAppends()
    {
        std::erase_if(m_appends, [&](const auto &append) {
            const bool isDue = append.first <= now;
            if (isDue) {
                m_log.push_back(append.second);
            }
            return isDue;
        });
    }

    void step(simulated_instance &member)
    {
        if (injectFault(0.002)) {
            member.pausedUntil = now + randomUpTo(30s);
        }
        if (injectFault(0.002)) {
            member.partitionedUntil = now + randomUpTo(30s);
        }
        if (now < member.pausedUntil) {
            return;
        }
        if (injectFault(0.05)) {
            member.book.setLive(randomInstances());
        }
        const bool isLogSlow = injectFault(0.5);
        for (; !isLogSlow && member.recordsRead < m_log.size(); ++member.recordsRead) {
            member.book.onRecord(member.recordsRead + 1, m_log[member.recordsRead], now);
        }
        std::erase_if(member.answers, [&](const auto &answer) {
            if (answer.first <= now) {
                member.book.onOutcome(answer.second.first, answer.second.second, now);
            }
            return answer.first <= now;
        });
        const order_actions actions = member.book.advance(now);
        for (const auto &append : actions.appends) {
            const bool isAppendLost = injectFault(0.1) || (m_withFaults && now < member.partitionedUntil);
            if (!isAppendLost) {
                m_appends.emplace_back(now + randomUpTo(injectFault(0.2) ? 12s : 200ms), append);
            }
        }
        for (const auto &order : actions.orders) {
            member.awaitingSend.push_back({now + randomUpTo(m_withFaults ? 1200ms : 100ms), order});
        }
        sendDue(member);
    }

    void sendDue(simulated_instance &member)
    {
        std::erase_if(member.awaitingSend, [&](const scheduled_order &scheduled) {
            if (scheduled.due > now) {
                return false;
            }
            if (member.book.maySend(scheduled.order, now)) {
                ordersSent.push_back(now);
                // The delay before the first byte, then the transit to the engine.
                const duration delay = injectFault(0.5) ? randomUpTo(2900ms) + randomUpTo(10s) : randomUpTo(100ms);
                const bool isAnswerLost = injectFault(0.3);
                m_inFlight.push_back({{now + delay, scheduled.order}, isAnswerLost ? nullptr : &member});
                if (isAnswerLost) {
                    member.answers.push_back({now + randomUpTo(delay), {scheduled.order.id, order_outcome::unknown}});
                }
            } else {
                member.book.onOutcome(scheduled.order.id, order_outcome::refused, now);
            }
            return true;
        });
    }

    void deliver()
    {
        std::erase_if(m_inFlight, [&](const auto &item) {
            const auto &[sent, sender] = item;
            if (sent.due > now) {
                return false;
            }
            const bool isApplied = !injectFault(0.1) && engines[sent.order.address].apply(sent.order);
            const auto outcome = isApplied ? order_outcome::applied : order_outcome::refused;
            if (sender != nullptr) {
                sender->answers.push_back({now + randomUpTo(200ms), {sent.order.id, outcome}});
            }
            return true;
        });
    }

    std::mt19937_64 m_random;
    bool m_withFaults = true;
    std::vector<lease_record> m_log;
    std::vector<std::pair<instant, lease_record>> m_appends;
    /// Orders on their way to an engine, with their senders; the sender is null when the answer is lost.
    std::vector<std::pair<scheduled_order, simulated_instance *>> m_inFlight;
};

} // namespace

TEST_CASE("orders with paused instances, expired leases and lost answers")
{
    const std::uint64_t seed = GENERATE(range(1, 25));
    INFO("seed " << seed);
    simulation simulated(seed);
    for (int version = 1; version <= lastVersion; ++version) {
        simulated.setVersion(version);
        simulated.run(5s, true);
    }

    SECTION("no engine applies a stale order, and there is never more than one holder")
    {
        for (const auto &[address, engine] : simulated.engines) {
            INFO(address);
            CHECK(engine.staleOrders == 0);
            CHECK(engine.newestVersion > 1);
        }
        CHECK(simulated.maximumHolders == 1);
        CHECK(simulated.holders.size() > 1);
    }

    SECTION("the rate limit for the weight store holds across changes of holder")
    {
        const auto &sent = simulated.ordersSent;
        for (std::size_t i = 0; i < sent.size(); ++i) {
            const auto end = std::upper_bound(sent.begin(), sent.end(), sent[i] + 20s);
            // Up to a second passes between taking the token and the first byte, hence one order more.
            CHECK(end - sent.begin() - static_cast<long>(i) <= 20 + 3 + 1);
        }
    }

    SECTION("all engines reach the wanted state after the faults end")
    {
        simulated.setAllLive();
        simulated.run(3min, false);
        for (const auto &[address, engine] : simulated.engines) {
            INFO(address);
            CHECK(engine.state == makeState(lastVersion));
        }
    }
}

TEST_CASE("one instance takes the lease of a pool")
{
    order_book book(makeOptions(), "a", 1);
    const std::string live[] = {"a"};
    book.setLive(live);
    book.setEngines(pool, makeEngines(1));
    CHECK(book.advance(start).appends.empty());
    book.onHead(1);
    book.setCaughtUp(true);
    const auto takeover = book.advance(start).appends;
    REQUIRE(takeover.size() == 1);
    CHECK(takeover[0].follows == 0);
    CHECK(book.advance(start + 1s).appends.empty());

    SECTION("the lease counts from the time of the append")
    {
        book.onRecord(5, takeover[0], start + 10s);
        CHECK(book.isHolder(pool, start + 29s));
        CHECK_FALSE(book.isHolder(pool, start + 30s));

        SECTION("orders carry the fencing number, and an engine gets one order at a time")
        {
            const auto orders = book.advance(start + 20s).orders;
            REQUIRE(orders.size() == 3);
            CHECK(orders[0].fencing == 5);
            CHECK(orders[0].wanted == makeState(1));
            CHECK(book.advance(start + 21s).orders.empty());
            CHECK(book.maySend(orders[0], start + 21s));
            CHECK_FALSE(book.maySend(orders[0], start + 21100ms));
        }

        SECTION("the lease is renewed after half its duration")
        {
            const auto renewal = book.advance(start + 15s).appends;
            REQUIRE(renewal.size() == 1);
            CHECK(renewal[0].follows == 5);
            book.onRecord(6, renewal[0], start + 16s);
            CHECK(book.isHolder(pool, start + 44s));
        }

        SECTION("no order is sent in the last part of the lease")
        {
            CHECK(book.advance(start + 27s).orders.empty());
        }

        SECTION("a planned stop releases the lease once no order is in flight")
        {
            const auto orders = book.advance(start + 14s).orders;
            REQUIRE(orders.size() == 3);
            book.stop();
            CHECK(book.advance(start + 14s).appends.empty());
            for (const auto &order : orders) {
                book.onOutcome(order.id, order_outcome::applied, start + 14s);
            }
            const auto release = book.advance(start + 14s).appends;
            REQUIRE(release.size() == 1);
            CHECK(release[0].release);
            CHECK_FALSE(book.isDrained(start + 14s));
            book.onRecord(6, release[0], start + 14s);
            CHECK(book.isDrained(start + 14s));
        }
    }

    SECTION("another instance that was first keeps the lease until it expires")
    {
        const lease_record other{pool, "b", 77, 0, 30s, false};
        book.onRecord(5, other, start + 2s);
        book.onRecord(6, takeover[0], start + 2s);
        CHECK_FALSE(book.isHolder(pool, start + 3s));
        CHECK(book.advance(start + 32s).appends.empty());
        const auto second = book.advance(start + 32500ms).appends;
        REQUIRE(second.size() == 1);
        CHECK(second[0].follows == 5);
        book.onRecord(7, second[0], start + 33s);

        SECTION("engines that check fencing get orders immediately, the others after the wait")
        {
            const auto immediate = book.advance(start + 40s).orders;
            REQUIRE(immediate.size() == 1);
            CHECK(immediate[0].address == "checks");
            CHECK(book.advance(start + 42400ms).orders.empty());
            CHECK(book.advance(start + 42500ms).orders.size() == 2);
        }
    }
}
