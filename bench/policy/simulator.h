#pragma once

#include <masticlever/common/moment.h>
#include <masticlever/common/random-source.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

/// \file
/// A virtual clock with an event queue, and seeded randomness.

namespace masticlever::policy_bench
{

class simulator
{
public:
    common::instant now() const { return m_now; }
    common::moment at() const
    {
        const auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch());
        return {m_now, common::wall_time(wallStart + sinceStart)};
    }

    void schedule(common::instant when, std::function<void()> what)
    {
        m_events.push({std::max(when, m_now), m_sequence++, std::move(what)});
    }
    void schedule(common::duration delay, std::function<void()> what) { schedule(m_now + delay, std::move(what)); }

    void runUntil(common::instant end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.what();
        }
        m_now = end;
    }

private:
    static constexpr std::chrono::milliseconds wallStart{1750000000000};

    struct event {
        common::instant when;
        std::uint64_t sequence = 0;
        std::function<void()> what;

        bool operator<(const event &other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    common::instant m_now{std::chrono::seconds(1000)};
    std::uint64_t m_sequence = 0;
    std::priority_queue<event> m_events;
};

class seeded_random : public common::random_source
{
public:
    explicit seeded_random(std::uint64_t seed) : m_engine(seed) { }

    std::uint64_t next() override { return m_engine(); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_engine); }
    common::duration exponential(common::duration mean)
    {
        const double us = std::exponential_distribution<double>(1.0 / static_cast<double>(mean.count()))(m_engine);
        return common::duration(static_cast<std::int64_t>(us));
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace masticlever::policy_bench
