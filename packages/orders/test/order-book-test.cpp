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

/// A short lease, so that it changes hands often.
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

/// An engine that takes what arrives; one that checks refuses old fencing numbers.
struct fake_engine {
    bool checksFencing = false;
    std::uint64_t newestFencing = 0;
    int newestVersion = 0;
    engine_state state;
    int stepsBack = 0; ///< orders taken that are older than one taken before

    bool take(const engine_order &order)
    {
        if (checksFencing && order.fencing < newestFencing) {
            return false;
        }
        const int version = versionOf(order.wanted);
        stepsBack += order.fencing < newestFencing || version < newestVersion ? 1 : 0;
        newestFencing = std::max(newestFencing, order.fencing);
        newestVersion = std::max(newestVersion, version);
        state = order.wanted;
        return true;
    }
};

struct parcel {
    instant due;
    engine_order order;
};

struct node {
    node(std::string incarnation, std::uint64_t nonce) : book(makeShortLease(), std::move(incarnation), nonce) { }

    order_book book;
    instant pausedUntil;
    instant cutUntil; ///< its appends are lost until then
    std::size_t read = 0; ///< records of the log
    std::vector<parcel> decided; ///< orders between the decision and the socket
    std::vector<std::pair<instant, std::pair<std::uint64_t, order_outcome>>> answers;
};

/// Three instances, a log that delays and loses appends, and engines whose answers get lost; all on one clock.
class world
{
public:
    explicit world(std::uint64_t seed) : m_random(seed)
    {
        for (std::uint64_t i = 0; i < names.size(); ++i) {
            nodes.push_back(std::make_unique<node>(names[i], 1000 * i));
            nodes.back()->book.onHead(1);
            nodes.back()->book.setCaughtUp(true);
        }
        haveAllLive();
        engines["checks"].checksFencing = true;
        setVersion(1);
    }

    void haveAllLive()
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
            landAppends();
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
    std::vector<std::unique_ptr<node>> nodes;
    std::map<std::string, fake_engine> engines{{"checks", {}}, {"ignores-1", {}}, {"ignores-2", {}}};
    std::vector<instant> ordersSent;
    int maximumHolders = 0;
    std::set<const node *> holders; ///< over the whole run
    instant now = start;

private:
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(m_random) < probability; }
    bool fault(double probability) { return m_withFaults && chance(probability); }
    duration upTo(duration longest) { return duration(static_cast<long>(m_random() % longest.count())); }

    /// What an instance may wrongly hold for the live ones.
    std::vector<std::string> someInstances()
    {
        std::vector<std::string> some;
        std::ranges::copy_if(names, std::back_inserter(some), [&](const auto &) { return chance(0.5); });
        return some;
    }

    void landAppends()
    {
        std::erase_if(m_appends, [&](const auto &append) {
            const bool isDue = append.first <= now;
            if (isDue) {
                m_log.push_back(append.second);
            }
            return isDue;
        });
    }

    void step(node &member)
    {
        if (fault(0.002)) {
            member.pausedUntil = now + upTo(30s);
        }
        if (fault(0.002)) {
            member.cutUntil = now + upTo(30s);
        }
        if (now < member.pausedUntil) {
            return;
        }
        if (fault(0.05)) {
            member.book.setLive(someInstances());
        }
        const bool isLogSlow = fault(0.5);
        for (; !isLogSlow && member.read < m_log.size(); ++member.read) {
            member.book.onRecord(member.read + 1, m_log[member.read], now);
        }
        std::erase_if(member.answers, [&](const auto &answer) {
            if (answer.first <= now) {
                member.book.onOutcome(answer.second.first, answer.second.second, now);
            }
            return answer.first <= now;
        });
        const order_actions actions = member.book.advance(now);
        for (const auto &append : actions.appends) {
            const bool isLost = fault(0.1) || (m_withFaults && now < member.cutUntil);
            if (!isLost) {
                m_appends.emplace_back(now + upTo(fault(0.2) ? 12s : 200ms), append);
            }
        }
        for (const auto &order : actions.orders) {
            member.decided.push_back({now + upTo(m_withFaults ? 1200ms : 100ms), order});
        }
        sendDecided(member);
    }

    void sendDecided(node &member)
    {
        std::erase_if(member.decided, [&](const parcel &decided) {
            if (decided.due > now) {
                return false;
            }
            if (member.book.maySend(decided.order, now)) {
                ordersSent.push_back(now);
                // A pause before the first byte, then the way to the engine.
                const duration delay = fault(0.5) ? upTo(2900ms) + upTo(10s) : upTo(100ms);
                const bool isAnswerLost = fault(0.3);
                m_underWay.push_back({{now + delay, decided.order}, isAnswerLost ? nullptr : &member});
                if (isAnswerLost) {
                    member.answers.push_back({now + upTo(delay), {decided.order.id, order_outcome::unknown}});
                }
            } else {
                member.book.onOutcome(decided.order.id, order_outcome::refused, now);
            }
            return true;
        });
    }

    void deliver()
    {
        std::erase_if(m_underWay, [&](const auto &item) {
            const auto &[sent, sender] = item;
            if (sent.due > now) {
                return false;
            }
            const bool isTaken = !fault(0.1) && engines[sent.order.address].take(sent.order);
            const auto outcome = isTaken ? order_outcome::applied : order_outcome::refused;
            if (sender != nullptr) {
                sender->answers.push_back({now + upTo(200ms), {sent.order.id, outcome}});
            }
            return true;
        });
    }

    std::mt19937_64 m_random;
    bool m_withFaults = true;
    std::vector<lease_record> m_log;
    std::vector<std::pair<instant, lease_record>> m_appends;
    std::vector<std::pair<parcel, node *>> m_underWay; ///< null: the answer is lost
};

} // namespace

TEST_CASE("orders under pauses, lapsed leases and lost answers")
{
    const std::uint64_t seed = GENERATE(range(1, 25));
    INFO("seed " << seed);
    world today(seed);
    for (int version = 1; version <= lastVersion; ++version) {
        today.setVersion(version);
        today.run(5s, true);
    }

    SECTION("no engine is ever led back, and there is one holder at most")
    {
        for (const auto &[address, engine] : today.engines) {
            INFO(address);
            CHECK(engine.stepsBack == 0);
            CHECK(engine.newestVersion > 1);
        }
        CHECK(today.maximumHolders == 1);
        CHECK(today.holders.size() > 1);
    }

    SECTION("the weight store's rate is kept over changes of holder")
    {
        const auto &sent = today.ordersSent;
        for (std::size_t i = 0; i < sent.size(); ++i) {
            const auto end = std::upper_bound(sent.begin(), sent.end(), sent[i] + 20s);
            // Orders wait up to a second between the token and the first byte.
            CHECK(end - sent.begin() - static_cast<long>(i) <= 20 + 3 + 1);
        }
    }

    SECTION("all engines reach the wanted state once the faults end")
    {
        today.haveAllLive();
        today.run(3min, false);
        for (const auto &[address, engine] : today.engines) {
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
    const auto taking = book.advance(start).appends;
    REQUIRE(taking.size() == 1);
    CHECK(taking[0].follows == 0);
    CHECK(book.advance(start + 1s).appends.empty());

    SECTION("its lease counts from before the append was sent")
    {
        book.onRecord(5, taking[0], start + 10s);
        CHECK(book.isHolder(pool, start + 29s));
        CHECK_FALSE(book.isHolder(pool, start + 30s));

        SECTION("orders carry the fencing number, and no pool's engine gets two at a time")
        {
            const auto orders = book.advance(start + 20s).orders;
            REQUIRE(orders.size() == 3);
            CHECK(orders[0].fencing == 5);
            CHECK(orders[0].wanted == makeState(1));
            CHECK(book.advance(start + 21s).orders.empty());
            CHECK(book.maySend(orders[0], start + 21s));
            CHECK_FALSE(book.maySend(orders[0], start + 21100ms));
        }

        SECTION("it is renewed at half time")
        {
            const auto renewal = book.advance(start + 15s).appends;
            REQUIRE(renewal.size() == 1);
            CHECK(renewal[0].follows == 5);
            book.onRecord(6, renewal[0], start + 16s);
            CHECK(book.isHolder(pool, start + 44s));
        }

        SECTION("in its last part nothing is ordered")
        {
            CHECK(book.advance(start + 27s).orders.empty());
        }

        SECTION("a planned stop releases it once no order is under way")
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

    SECTION("another instance that was first keeps it until it lapses there")
    {
        const lease_record other{pool, "b", 77, 0, 30s, false};
        book.onRecord(5, other, start + 2s);
        book.onRecord(6, taking[0], start + 2s);
        CHECK_FALSE(book.isHolder(pool, start + 3s));
        CHECK(book.advance(start + 32s).appends.empty());
        const auto second = book.advance(start + 32500ms).appends;
        REQUIRE(second.size() == 1);
        CHECK(second[0].follows == 5);
        book.onRecord(7, second[0], start + 33s);

        SECTION("engines that check fencing get orders at once, the others after the wait")
        {
            const auto atOnce = book.advance(start + 40s).orders;
            REQUIRE(atOnce.size() == 1);
            CHECK(atOnce[0].address == "checks");
            CHECK(book.advance(start + 42400ms).orders.empty());
            CHECK(book.advance(start + 42500ms).orders.size() == 2);
        }
    }
}
