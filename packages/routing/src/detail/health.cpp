#include "health.h"

namespace masticlever::routing::detail
{

namespace
{

constexpr double latencySmoothing = 0.1; ///< weight of a new sample
constexpr double minSlowStartWeight = 0.1;
constexpr std::size_t answersToResetEjections = 20; ///< answers after which earlier ejections are disregarded

} // namespace

void endpoint_health::onSent(std::size_t inFlightBefore, common::instant now)
{
    if (inFlightBefore == 0) {
        m_lastActivity = now;
    }
}

void endpoint_health::onAnswered(common::duration latency)
{
    m_failures = 0;
    m_timeouts = 0;
    const auto us = static_cast<double>(latency.count());
    m_latencyUs = m_samples == 0 ? us : m_latencyUs + latencySmoothing * (us - m_latencyUs);
    ++m_samples;
    if (m_samples >= answersToResetEjections) {
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
    common::duration length = options.baseEjectionTime;
    for (std::size_t i = 0; i < m_ejections && length < options.maxEjectionTime; ++i) {
        length *= 2;
    }
    m_ejectedUntil = now + std::min(length, options.maxEjectionTime);
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
    m_lastActivity = now;
    // A reinstated endpoint has warm caches, so it skips the first half of slow start.
    m_slowStartAt = now - options.slowStart / 2;
}

bool endpoint_health::tryAnnounce(common::instant now, common::duration interval)
{
    if (now - m_announcedAt < interval) {
        return false;
    }
    m_announcedAt = now;
    return true;
}

double endpoint_health::slowStartWeight(common::instant now, const router_options &options) const
{
    if (m_slowStartAt == common::instant::min() || options.slowStart <= common::duration::zero()) {
        return 1;
    }
    const auto age = static_cast<double>((now - m_slowStartAt).count());
    return std::clamp(age / static_cast<double>(options.slowStart.count()), minSlowStartWeight, 1.0);
}

} // namespace masticlever::routing::detail
