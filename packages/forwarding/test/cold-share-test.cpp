#include <masticlever/forwarding/cold-share.h>

#include <masticlever/common/digest.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace masticlever::forwarding;
using namespace std::chrono_literals;
using masticlever::common::duration;
using masticlever::common::instant;
using masticlever::common::stableHash;

namespace
{

constexpr double sustainedRate = 8.3;
const cold_share_options platformOptions{.excess = 1.5, .slack = 5};
constexpr double bound = sustainedRate * 1.5 + 5;

enum class views {
    equal,
    incomplete, ///< each instance misses a tenth of the others, every moment other ones
    cut_off, ///< a third of the instances lose all others for a while, one after another
    islands, ///< the fleet falls apart into seven parts that do not hear each other
    replaced, ///< every second an instance is replaced by a new one that knows three others at first
    just_started, ///< all start at once, each alone for a while
};

/// A fleet in which every instance has more requests for one cold endpoint than it may send.
class fleet
{
public:
    fleet(std::size_t size, views kind, unsigned seed) : m_kind(kind), m_random(seed)
    {
        for (std::size_t i = 0; i < size; ++i) {
            m_instances.push_back(newInstance());
        }
    }

    /// Returns the times at which the endpoint receives requests, sorted.
    std::vector<instant> run(std::chrono::seconds time)
    {
        std::vector<instant> arrivals;
        const instant start(1h);
        for (instant now = start; now < start + time; now += 20ms) {
            if ((now - start) % duration(100ms) == duration{}) {
                updateViews(now, now - start);
            }
            for (instance &sender : m_instances) {
                if (sender.share.take("e1", sustainedRate, now)) {
                    arrivals.push_back(now + std::chrono::milliseconds(m_random() % 90));
                }
            }
        }
        std::ranges::sort(arrivals);
        return arrivals;
    }

private:
    struct instance {
        std::uint64_t key = 0;
        cold_share share{platformOptions};
        instant startedAt;
    };

    instance newInstance()
    {
        instance added;
        added.key = stableHash("instance " + std::to_string(++m_lastInstance) + " " + std::to_string(m_random()));
        return added;
    }

    bool isHeard(std::size_t self, std::size_t other, instant now, duration elapsed)
    {
        const bool isDisturbed = elapsed >= 20s;
        switch (m_kind) {
        case views::equal:
            return true;
        case views::incomplete:
            return m_random() % 10 != 0;
        case views::cut_off:
            return !isDisturbed || (!isCutOff(self, elapsed) && !isCutOff(other, elapsed));
        case views::islands:
            return !isDisturbed || self % 7 == other % 7;
        case views::replaced:
            return now - m_instances[self].startedAt >= 1s || other % m_instances.size() < 3;
        case views::just_started:
            break;
        }
        return elapsed >= 5s;
    }

    static bool isCutOff(std::size_t index, duration elapsed)
    {
        return index % 3 == 0 && (elapsed / duration(1s) + static_cast<std::int64_t>(index)) % 9 < 6;
    }

    void updateViews(instant now, duration elapsed)
    {
        if (m_kind == views::replaced && elapsed >= 20s && elapsed % duration(1s) == duration{}) {
            instance &replaced = m_instances[m_random() % m_instances.size()];
            replaced = newInstance();
            replaced.startedAt = now;
        }
        // Each instance learns of changes once a second, at its own time.
        const auto step = static_cast<std::size_t>(elapsed / duration(100ms));
        for (std::size_t i = step % 10; i < m_instances.size(); i += 10) {
            std::vector<std::uint64_t> live;
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (other == i || isHeard(i, other, now, elapsed)) {
                    live.push_back(m_instances[other].key);
                }
            }
            m_instances[i].share.setMembers(live, m_instances[i].key, now);
        }
    }

    views m_kind;
    std::mt19937 m_random;
    std::vector<instance> m_instances;
    std::size_t m_lastInstance = 0;
};

std::size_t mostInOneSecond(const std::vector<instant> &arrivals)
{
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = std::upper_bound(first, arrivals.end(), *first + 1s);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace

// Guards against a crash of a cold endpoint: one request of each instance already exceeds its bound.
TEST_CASE("A cold endpoint receives no more than its bound in any second, whatever the instances know of each other")
{
    const std::size_t size = GENERATE(65, 140, 340);
    const views kind = GENERATE(views::equal, views::incomplete, views::cut_off, views::islands, views::replaced,
                                views::just_started);
    for (unsigned seed = 1; seed <= 3; ++seed) {
        const auto arrivals = fleet(size, kind, seed).run(45s);
        INFO(size << " instances, kind " << static_cast<int>(kind) << ", seed " << seed);
        CHECK(static_cast<double>(mostInOneSecond(arrivals)) <= bound);
        // The endpoint is used: senders wait ten seconds, and from then on it gets half of what it sustains.
        CHECK(static_cast<double>(arrivals.size()) >= 25 * sustainedRate / 2);
    }
}

TEST_CASE("An instance that knows no other one sends nothing to a cold endpoint")
{
    cold_share share(platformOptions);
    const std::vector<std::uint64_t> alone{1};
    for (instant now(1h); now < instant(1h) + 60s; now += 100ms) {
        share.setMembers(alone, 1, now);
        CHECK_FALSE(share.timeUntilAvailable("e1", sustainedRate, now));
    }
}

TEST_CASE("Without a bound in the settings the share is off")
{
    CHECK_FALSE(cold_share({}).isEnabled());
    CHECK(cold_share(platformOptions).isEnabled());
}
