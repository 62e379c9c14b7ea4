#include <masticlever/membership/prompt-faults.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

using namespace masticlever::membership;
using namespace std::chrono_literals;
using masticlever::common::duration;
using masticlever::common::instant;

namespace
{

using parts = std::vector<std::uint64_t>;

constexpr std::uint64_t crashing = 1;
constexpr std::uint64_t sound = 2; ///< in all requests with the crashing part, and in others
constexpr std::uint64_t common = 3; ///< in most requests
const instant start(1h);

/// A crash of an endpoint that cut off a request with \p interrupted, sent \p call before.
void crash(prompt_fault_table &table, std::uint64_t incarnation, const parts &interrupted, instant at,
           duration call = 100ms)
{
    std::vector<interrupted_part> items;
    for (const std::uint64_t part : interrupted) {
        items.push_back({part, call});
    }
    table.onCrash(incarnation, items, at, at);
}

bool isWithheld(const prompt_fault_table &table, const parts &request, instant now)
{
    return table.findWithheld(request, now).has_value();
}

void exchange(const prompt_fault_table &from, prompt_fault_table &to, instant now, duration transit = 2ms)
{
    for (const prompt_fault_notice &notice : from.notices(true, now)) {
        to.onNotice(notice, now + transit);
    }
}

} // namespace

TEST_CASE("A part that crashes three endpoints in sequence is withheld")
{
    prompt_fault_table table({});
    crash(table, 11, {crashing, common}, start);
    crash(table, 12, {crashing, common}, start + 1s);
    CHECK_FALSE(isWithheld(table, {crashing, common}, start + 1s));
    crash(table, 13, {crashing}, start + 2s);
    CHECK_FALSE(isWithheld(table, {crashing}, start + 2900ms)); // peers may know of an answer
    REQUIRE(isWithheld(table, {crashing, 9}, start + 3s));
    CHECK_FALSE(isWithheld(table, {common, 9}, start + 3s));
    CHECK(table.findWithheld(parts{crashing}, start + 3s)->part == crashing);
    CHECK(table.withheldCount(start + 3s) == 1);

    SECTION("until a while after the latest crash")
    {
        CHECK(isWithheld(table, {crashing}, start + 14min));
        CHECK(table.findWithheld(parts{crashing}, start + 14min)->releasedIn == 62s);
        CHECK_FALSE(isWithheld(table, {crashing}, start + 16min));
        crash(table, 14, {crashing}, start + 17min);
        CHECK(isWithheld(table, {crashing}, start + 17min)); // one more crash is enough
    }
    SECTION("until a request with it is answered")
    {
        table.onAnswered(parts{crashing}, start + 3s);
        CHECK_FALSE(isWithheld(table, {crashing}, start + 3s));
        crash(table, 14, {crashing}, start + 4s);
        CHECK_FALSE(isWithheld(table, {crashing}, start + 4s));
    }
    SECTION("unless one of the endpoints answers later and was only unreachable")
    {
        table.onAlive(13, start + 3s, start + 4s);
        CHECK_FALSE(isWithheld(table, {crashing}, start + 4s));
        crash(table, 13, {crashing}, start + 2s);
        CHECK_FALSE(isWithheld(table, {crashing}, start + 4s));
    }
    SECTION("and forgotten when its retention is over")
    {
        table.advance(start + 59min);
        CHECK(table.hasCrashes());
        table.advance(start + 61min);
        CHECK_FALSE(table.hasCrashes());
        CHECK(table.takeChanges().back().kind == prompt_fault_change::what::expired);
    }
}

TEST_CASE("Endpoints that fail together withhold nothing")
{
    prompt_fault_table table({});
    for (std::uint64_t incarnation = 1; incarnation <= 8; ++incarnation) {
        crash(table, incarnation, {common, sound}, start + std::chrono::milliseconds(incarnation), 200ms);
    }
    CHECK_FALSE(isWithheld(table, {common, sound}, start + 1s));

    SECTION("nor a second and a third time, although no request is answered between")
    {
        for (std::uint64_t incarnation = 21; incarnation < 24; ++incarnation) {
            crash(table, incarnation, {common, sound}, start + 3s);
            crash(table, incarnation + 10, {common, sound}, start + 6s);
        }
        CHECK_FALSE(isWithheld(table, {common, sound}, start + 8s));
    }
    SECTION("even if it is learnt later that another endpoint failed with one of them")
    {
        crash(table, 31, {sound}, start + 2s);
        crash(table, 32, {sound}, start + 3s);
        crash(table, 33, {sound}, start + 4s);
        CHECK(isWithheld(table, {sound}, start + 5s));
        prompt_fault_table other({});
        crash(other, 41, {common}, start + 3s + 1ms);
        exchange(other, table, start + 5s, 5ms);
        CHECK_FALSE(isWithheld(table, {sound}, start + 6s));
    }
    SECTION("nor a second and a third time, if requests are answered between")
    {
        table.onAnswered(parts{common, sound}, start + 2s);
        crash(table, 21, {common, sound}, start + 3s);
        crash(table, 22, {common, sound}, start + 4s);
        table.onAnswered(parts{common, sound}, start + 5s);
        crash(table, 23, {common, sound}, start + 6s);
        CHECK_FALSE(isWithheld(table, {common, sound}, start + 6s));
    }
}

TEST_CASE("A part that was in all requests with the crashing one")
{
    prompt_fault_table table({});
    for (std::uint64_t i = 0; i < 3; ++i) {
        crash(table, 11 + i, {sound, crashing}, start + i * 1s);
    }
    const instant now = start + 4s;

    SECTION("is not withheld by itself")
    {
        CHECK(isWithheld(table, {sound, crashing}, now));
        CHECK_FALSE(isWithheld(table, {sound}, now));
    }
    SECTION("does not protect the crashing one, which is withheld by itself after one more crash")
    {
        crash(table, 14, {crashing}, now);
        CHECK(isWithheld(table, {crashing}, now));
        CHECK_FALSE(isWithheld(table, {sound}, now));
    }
    SECTION("is cleared by an answer")
    {
        table.onAnswered(parts{sound}, now);
        CHECK(isWithheld(table, {sound, crashing}, now));
        CHECK(isWithheld(table, {crashing}, now));
        CHECK_FALSE(isWithheld(table, {sound}, now));
    }
}

TEST_CASE("A part that was answered before is not blamed for the crashes of two crashing ones")
{
    constexpr std::uint64_t other = 4;
    prompt_fault_table table({});
    table.onAnswered(parts{common}, start);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        crash(table, 10 + i, {common, crashing}, start + i * 1s);
        crash(table, 20 + i, {common, other}, start + i * 1s + 500ms);
    }
    const instant now = start + 6s;
    CHECK(isWithheld(table, {common, crashing}, now));
    CHECK(isWithheld(table, {common, other}, now));
    CHECK_FALSE(isWithheld(table, {common, sound}, now));
}

TEST_CASE("Observations of several instances are merged")
{
    prompt_fault_table first({});
    prompt_fault_table second({});
    crash(first, 11, {crashing}, start);
    crash(second, 11, {crashing}, start + 1ms, 400ms); // the same crash
    crash(second, 12, {crashing}, start + 1s);
    exchange(first, second, start + 1s);
    exchange(second, first, start + 1s);
    CHECK_FALSE(isWithheld(first, {crashing}, start + 2s));
    crash(first, 13, {crashing}, start + 2s);
    CHECK(isWithheld(first, {crashing}, start + 3s));
    exchange(first, second, start + 2s);
    CHECK(isWithheld(second, {crashing}, start + 3100ms));

    SECTION("an instance that starts later learns of withheld parts")
    {
        prompt_fault_table third({});
        exchange(second, third, start + 5min);
        CHECK(isWithheld(third, {crashing}, start + 5min));
    }
    SECTION("an answer to one of them clears the part for all, whatever is repeated")
    {
        const auto outdated = first.notices(true, start + 3s);
        second.onAnswered(parts{crashing}, start + 3s);
        exchange(second, first, start + 3s);
        CHECK_FALSE(isWithheld(first, {crashing}, start + 4s));
        for (const prompt_fault_notice &notice : outdated) {
            first.onNotice(notice, start + 3s);
            second.onNotice(notice, start + 3s);
        }
        CHECK_FALSE(isWithheld(first, {crashing}, start + 4s));
        CHECK_FALSE(isWithheld(second, {crashing}, start + 4s));
    }
}

TEST_CASE("The table of prompt faults is bounded")
{
    prompt_fault_options options;
    options.maximumParts = 16;
    options.maximumAnsweredParts = 16;
    prompt_fault_table table(options);
    for (std::uint64_t i = 0; i < 3; ++i) {
        crash(table, 1 + i, {crashing}, start + i * 1s);
    }
    for (std::uint64_t part = 100; part < 200; ++part) {
        crash(table, part, {part}, start + 4s);
        table.onAnswered(parts{part + 1000}, start + 4s);
    }
    CHECK(table.notices(true, start + 4s).size() <= options.maximumParts);
    CHECK(isWithheld(table, {crashing}, start + 4s));
    for (std::uint64_t i = 10; i < 100; ++i) {
        crash(table, i, {crashing}, start + i * 1s);
    }
    CHECK(table.notices(true, start + 99s).front().crashes.size() <= options.reportedCrashes);
}

namespace
{

/// A fleet with lossy gossip and endpoints that take a second to restart. Requests arrive at random instances.
class simulated_fleet
{
public:
    simulated_fleet(std::size_t instances, std::size_t endpoints, unsigned seed)
        : m_tables(instances, prompt_fault_table({})), m_endpoints(endpoints), m_random(seed)
    { }

    std::size_t crashes = 0;
    std::size_t arrivals = 0; ///< of requests with the crashing part, while its crashes are known well enough
    std::size_t withheldSound = 0;
    std::size_t sentSound = 0;

    void step(bool sendsCrashing)
    {
        m_now += 10ms;
        const std::size_t instance = m_random() % m_tables.size();
        const bool hasCrashing = sendsCrashing && m_random() % 20 == 0;
        const parts request = hasCrashing ? parts{100 + m_random() % 4, sound, crashing}
                                          : parts{100 + m_random() % 4, 200 + m_random() % 80};
        if (m_tables[instance].findWithheld(request, m_now)) {
            withheldSound += hasCrashing ? 0 : 1;
        } else {
            sentSound += hasCrashing ? 0 : 1;
            send(instance, request, 2);
        }
        beginAnswers();
        gossip();
    }

    /// Several endpoints fail at the same time, for another reason.
    void failTogether(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            endIncarnation(m_random() % m_endpoints.size());
        }
    }

    bool isBound() const { return m_fifthCrash && m_now > *m_fifthCrash + 3s; }

private:
    struct endpoint {
        std::uint64_t incarnation = 0;
        instant upAt;
    };
    struct call {
        std::size_t instance;
        std::size_t endpoint;
        parts request;
        instant sentAt;
        instant answerAt;
        std::size_t attempts;
    };

    bool isUp(std::size_t index) const { return m_endpoints[index].upAt <= m_now; }

    static bool isCrashing(const call &item) { return std::ranges::find(item.request, crashing) != item.request.end(); }

    void beginAnswers()
    {
        for (std::size_t i = 0; i < m_inFlight.size();) {
            const call begun = m_inFlight[i];
            if (begun.answerAt > m_now) {
                ++i;
            } else if (isCrashing(begun)) {
                endIncarnation(begun.endpoint);
                i = 0;
            } else {
                m_tables[begun.instance].onAnswered(begun.request, m_now);
                m_inFlight.erase(m_inFlight.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
    }

    void send(std::size_t instance, const parts &request, std::size_t attempts)
    {
        for (std::size_t tries = 0; tries < m_endpoints.size(); ++tries) {
            const std::size_t target = m_random() % m_endpoints.size();
            if (!isUp(target)) {
                continue;
            }
            m_inFlight.push_back({instance, target, request, m_now, m_now + 150ms, attempts});
            arrivals += isCrashing(m_inFlight.back()) && isBound() ? 1 : 0;
            return;
        }
    }

    void endIncarnation(std::size_t target)
    {
        if (!isUp(target)) {
            return;
        }
        const std::uint64_t incarnation = ++m_lastIncarnation;
        std::vector<call> cut;
        for (auto it = m_inFlight.begin(); it != m_inFlight.end();) {
            if (it->endpoint == target) {
                cut.push_back(*it);
                it = m_inFlight.erase(it);
            } else {
                ++it;
            }
        }
        m_endpoints[target].upAt = m_now + 1s;
        const bool isCausedCrash = std::ranges::any_of(cut, isCrashing);
        crashes += isCausedCrash ? 1 : 0;
        if (isCausedCrash && crashes == 5) {
            m_fifthCrash = m_now;
        }
        for (const call &item : cut) {
            crash(m_tables[item.instance], incarnation, item.request, m_now, m_now - item.sentAt);
        }
        m_now += 1ms;
        for (const call &item : cut) {
            if (item.attempts > 1 && !m_tables[item.instance].findWithheld(item.request, m_now)) {
                send(item.instance, item.request, item.attempts - 1);
            }
        }
    }

    /// Each instance reports to three others every 200 ms; a fifth of the messages is lost.
    void gossip()
    {
        if (m_now < m_gossipAt) {
            return;
        }
        m_gossipAt = m_now + 200ms;
        for (const prompt_fault_table &from : m_tables) {
            std::vector<prompt_fault_notice> notices = from.notices(false, m_now);
            const std::size_t fixed = std::min<std::size_t>(notices.size(), 5);
            std::shuffle(notices.begin() + static_cast<std::ptrdiff_t>(fixed), notices.end(), m_random);
            notices.resize(std::min<std::size_t>(notices.size(), 10));
            for (int i = 0; i < 3; ++i) {
                prompt_fault_table &to = m_tables[m_random() % m_tables.size()];
                const duration transit = std::chrono::milliseconds(m_random() % 5);
                const bool isLost = m_random() % 5 == 0;
                for (const prompt_fault_notice &notice : notices) {
                    if (!isLost && &to != &from) {
                        to.onNotice(notice, m_now + transit);
                    }
                }
            }
        }
    }

    std::vector<prompt_fault_table> m_tables;
    std::vector<endpoint> m_endpoints;
    std::vector<call> m_inFlight;
    std::mt19937 m_random;
    instant m_now = start;
    instant m_gossipAt = start;
    std::uint64_t m_lastIncarnation = 0;
    std::optional<instant> m_fifthCrash;
};

} // namespace

TEST_CASE("Fleets of 12 to 340 instances withhold a crashing part in time, and nothing else")
{
    for (const std::size_t instances : {12, 30, 120, 340}) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            CAPTURE(instances, seed);
            simulated_fleet fleet(instances, 9, seed);
            for (int i = 0; i < 3000; ++i) {
                fleet.step(i > 200);
            }
            CHECK(fleet.arrivals <= 3);
            CHECK(fleet.withheldSound * 50 <= fleet.sentSound);
        }
    }
}

TEST_CASE("Fleets whose endpoints fail together again and again withhold nothing")
{
    for (const std::size_t instances : {12, 120}) {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            CAPTURE(instances, seed);
            simulated_fleet fleet(instances, 9, seed);
            for (int i = 0; i < 3000; ++i) {
                fleet.step(false);
                if (i % 150 == 0) {
                    fleet.failTogether(4);
                }
            }
            CHECK(fleet.withheldSound == 0);
        }
    }
}
