#include <masticlever/forwarding/rate-share.h>

#include <masticlever/common/digest.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace masticlever::forwarding;
using namespace std::chrono_literals;
using masticlever::common::duration;
using masticlever::common::instant;
using masticlever::common::stableHash;
using masticlever::membership::rate_limit;

namespace
{

const instant start(1h);
constexpr duration step = 25ms;
constexpr duration window = 4s;

/// What the users' rule allows an endpoint in any window.
double allowedAt(double rate)
{
    return 1.5 * rate * 4 + 5;
}

std::uint64_t keyOf(std::size_t instance)
{
    return stableHash("instance-" + std::to_string(instance));
}

std::vector<std::uint64_t> keysUpTo(std::size_t count)
{
    std::vector<std::uint64_t> keys;
    for (std::size_t i = 0; i < count; ++i) {
        keys.push_back(keyOf(i));
    }
    return keys;
}

/// Instances that all have more requests for one endpoint than it accepts.
class fleet
{
public:
    explicit fleet(std::size_t size) : m_shares(size, rate_share({}))
    {
        for (std::size_t i = 0; i < size; ++i) {
            setView(i, keysUpTo(size));
        }
    }

    void setView(std::size_t instance, const std::vector<std::uint64_t> &keys)
    {
        m_shares[instance].setMembers(keys, keyOf(instance), m_now);
    }

    void runFor(duration length, const rate_limit &limit, sender_role role = sender_role::one_of_fleet,
                std::size_t active = SIZE_MAX)
    {
        for (const instant end = m_now + length; m_now < end; m_now += step) {
            for (std::size_t i = 0; i < std::min(active, m_shares.size()); ++i) {
                if (m_shares[i].take("e1", limit, {role}, m_now)) {
                    m_sent.push_back(m_now);
                    m_senders.insert(i);
                }
            }
        }
    }

    std::size_t sent() const { return m_sent.size(); }
    std::size_t senders() const { return m_senders.size(); }
    instant now() const { return m_now; }

    double largestWindow() const
    {
        std::ptrdiff_t largest = 0;
        for (auto first = m_sent.begin(); first != m_sent.end(); ++first) {
            largest = std::max(largest, std::upper_bound(first, m_sent.end(), *first + window) - first);
        }
        return static_cast<double>(largest);
    }

private:
    std::vector<rate_share> m_shares;
    instant m_now = start;
    std::vector<instant> m_sent;
    std::set<std::size_t> m_senders;
};

} // namespace

TEST_CASE("The shares of all instances add up to no more than an endpoint's rate limit")
{
    const std::size_t size = GENERATE(1, 12, 30, 195, 340);
    const double rate = GENERATE(0.3, 1.0, 5.0, 20.0);
    const rate_limit limit{rate, start};
    fleet instances(size);
    CAPTURE(size, rate);

    SECTION("and use most of it when all have requests")
    {
        instances.runFor(12s, limit);
        CHECK(instances.largestWindow() <= allowedAt(rate));
        CHECK(instances.senders() <= std::min<std::size_t>(size, static_cast<std::size_t>(rate) + 2));
        for (int i = 0; i < 4; ++i) {
            instances.runFor(12s, {rate, instances.now()});
        }
        CHECK(static_cast<double>(instances.sent()) >= 0.75 * rate * 60 - 2);
        CHECK(instances.largestWindow() <= allowedAt(rate));
    }
    SECTION("after a time without requests, which saves up at most one for each sender")
    {
        instances.runFor(50ms, limit);
        instances.runFor(60s, limit, sender_role::one_of_fleet, 0);
        instances.runFor(10s, {rate, instances.now()});
        CHECK(instances.largestWindow() <= allowedAt(rate));
    }
    SECTION("while one instance hears nobody else")
    {
        instances.setView(0, {keyOf(0)});
        instances.runFor(9s, limit);
        CHECK(instances.largestWindow() <= allowedAt(rate));
    }
    SECTION("when no answer confirms the limit, and then all of them may send")
    {
        instances.runFor(60s, {rate, start - 1min});
        CHECK(instances.largestWindow() <= allowedAt(rate));
        CHECK(instances.senders() >= std::min<std::size_t>(size, static_cast<std::size_t>(rate * 20)));
    }
}

TEST_CASE("Instances that join late do not add to the shares of the others")
{
    const double rate = GENERATE(0.3, 1.0, 5.0, 20.0);
    const rate_limit limit{rate, start + 1min};
    constexpr std::size_t before = 12;
    constexpr std::size_t after = 18;
    fleet instances(after);
    for (std::size_t i = 0; i < before; ++i) {
        instances.setView(i, keysUpTo(before));
    }
    instances.runFor(6s, limit, sender_role::one_of_fleet, before);
    instances.runFor(2s, limit); // the new instances know all, the others do not know them yet
    for (std::size_t i = 0; i < before; ++i) {
        instances.setView(i, keysUpTo(after));
    }
    instances.runFor(6s, limit);
    CAPTURE(rate);
    CHECK(instances.largestWindow() <= allowedAt(rate));
}

TEST_CASE("An instance that sends on behalf of all others has the whole rate")
{
    fleet home(1);
    home.runFor(60s, {2.0, start}, sender_role::only);
    CHECK(home.sent() >= 100);
    CHECK(home.largestWindow() <= 1 + 2.0 * 4);

    SECTION("and two of them, while the home moves, stay within the limit")
    {
        fleet homes(2);
        homes.runFor(60s, {2.0, start}, sender_role::only);
        CHECK(homes.largestWindow() <= allowedAt(2.0));
    }
}

TEST_CASE("The shares of both roles add up to no more than an endpoint's rate limit")
{
    const double rate = GENERATE(0.3, 1.0, 5.0, 20.0);
    const rate_limit limit{rate, start + 1min};
    rate_share share({});
    share.setMembers(keysUpTo(1), keyOf(0), start);
    std::size_t sent = 0;
    for (instant now = start; now < start + 60s; now += 5ms) {
        for (const sender_role role : {sender_role::one_of_fleet, sender_role::only}) {
            sent += share.take("e1", limit, {role, 0.5}, now) ? 1 : 0;
        }
    }
    CHECK(static_cast<double>(sent) <= rate * 60);
    CHECK(static_cast<double>(sent) >= 0.8 * rate * 60 - 2);
}

TEST_CASE("An instance that may send nothing knows when others can")
{
    rate_share share({});
    const auto all = keysUpTo(40);
    std::size_t withoutShare = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        share.setMembers(all, all[i], start);
        const rate_limit limit{1.0, start};
        if (share.ownRate("e1", limit, {}, start) == 0) {
            ++withoutShare;
            CHECK(share.timeUntilAvailable("e1", limit, {}, start) > 1s);
            CHECK(share.timeUntilAvailable("e1", limit, {}, start) < 2s);
        }
    }
    CHECK(withoutShare == 37);

    SECTION("and one that leaves, and is no member any more, sends nothing")
    {
        share.setMembers(all, stableHash("leaving"), start);
        CHECK(share.ownRate("e1", {1.0, start}, {}, start) == 0);
    }
}

TEST_CASE("Absurd rates are kept within bounds")
{
    rate_share share({});
    share.setMembers(keysUpTo(1), keyOf(0), start);
    CHECK(share.ownRate("e1", {0, start}, {}, start) > 0);
    CHECK(share.ownRate("e1", {0, start}, {}, start) < 0.1);
    CHECK(share.ownRate("e2", {1e300, start}, {}, start) <= 1e6);
}
