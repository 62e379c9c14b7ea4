#include "health.h"

namespace masticlever::routing::detail
{

namespace
{

constexpr double latencySmoothing = 0.1; ///< weight of a new sample
constexpr double lowestStartWeight = 0.1;
constexpr std::size_t forgiveAfter = 20; ///< answers after which earlier ejections no longer count

} // namespace

void endpoint_health::onSent(std::size_t inFlightBefore, common::instant now)
{
    if (inFlightBefore == 0) {
        m_lastAlive = now;
    }
}

void endpoint_health::onAnswered(common::duration latency)
{
    m_failures = 0;
    m_timeouts = 0;
    const auto us = static_cast<double>(latency.count());
    m_latencyUs = m_samples == 0 ? us : m_latencyUs + latencySmoothing * (us - m_latencyUs);
    ++m_samples;
    if (m_samples >= forgiveAfter) {
        m_ejections = 0;
    }
}

bool endpoint_health::onFailure(call_outcome outcome, const router_options &options)
{
    if (outcome == call_outcome::timed_out) {
        ++m_timeouts;
    }
    ++m_failures;
    return m_failures >= options.failuresToEject || m_timeouts >= options.timeoutsToEject;
}

void endpoint_health::eject(const router_options &options, common::instant now)
{
    common::duration length = options.ejectFor;
    for (std::size_t i = 0; i < m_ejections && length < options.longestEjection; ++i) {
        length *= 2;
    }
    m_ejectedUntil = now + std::min(length, options.longestEjection);
    ++m_ejections;
    m_phase = phase::ejected;
    m_failures = 0;
    m_timeouts = 0;
    m_samples = 0;
}

void endpoint_health::reinstate(common::instant now, const router_options &options)
{
    m_phase = phase::serving;
    m_failures = 0;
    m_timeouts = 0;
    m_lastAlive = now;
    // A returning endpoint has warm caches, so half of the newcomers' ramp is enough.
    m_startedAt = now - options.slowStart / 2;
}

bool endpoint_health::takeAnnouncement(common::instant now, common::duration interval)
{
    if (now - m_announcedAt < interval) {
        return false;
    }
    m_announcedAt = now;
    return true;
}

double endpoint_health::startWeight(common::instant now, const router_options &options) const
{
    if (m_startedAt == common::instant::min() || options.slowStart <= common::duration::zero()) {
        return 1;
    }
    const auto age = static_cast<double>((now - m_startedAt).count());
    return std::clamp(age / static_cast<double>(options.slowStart.count()), lowestStartWeight, 1.0);
}

} // namespace masticlever::routing::detail
