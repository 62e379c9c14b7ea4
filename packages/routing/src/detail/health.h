#pragma once

#include <masticlever/routing/router.h>

#include <algorithm>
#include <chrono>
#include <cstddef>

/// \file
/// What the calls to one endpoint say about its health.

namespace masticlever::routing::detail
{

class endpoint_health
{
public:
    enum class phase { serving, ejected, probing };

    void onSent(std::size_t inFlightBefore, common::instant now);
    /// Sign of life: a token or an answer.
    void onAlive(common::instant now)
    {
        m_lastAlive = now;
        m_suspectedUntil = {};
    }
    void onAnswered(common::duration latency);
    /// Counts a failure or timeout; true when the endpoint should be ejected.
    bool onFailure(call_outcome outcome, const router_options &options);

    void eject(const router_options &options, common::instant now);
    void reinstate(common::instant now, const router_options &options);
    void startProbe() { m_phase = phase::probing; }
    void startSlowly(common::instant now) { m_startedAt = now; }

    /// Calls are open and nothing was heard for longer than \p limit.
    bool isSilent(std::size_t inFlight, common::duration limit, common::instant now) const
    {
        return inFlight > 0 && now - m_lastAlive > limit;
    }
    bool isProbeDue(common::instant now) const { return m_phase == phase::ejected && now >= m_ejectedUntil; }
    void suspect(common::instant until) { m_suspectedUntil = until; }
    bool isSuspected(common::instant now) const { return now < m_suspectedUntil; }
    /// True once per \p interval.
    bool takeAnnouncement(common::instant now, common::duration interval);
    phase currentPhase() const { return m_phase; }
    double startWeight(common::instant now, const router_options &options) const;
    double latencyUs() const { return m_latencyUs; }
    std::size_t samples() const { return m_samples; }

private:
    phase m_phase = phase::serving;
    std::size_t m_failures = 0;
    std::size_t m_timeouts = 0;
    std::size_t m_ejections = 0; ///< in a row
    std::size_t m_samples = 0; ///< answers since the last ejection
    double m_latencyUs = 0; ///< moving average
    common::instant m_lastAlive;
    common::instant m_ejectedUntil;
    common::instant m_suspectedUntil;
    common::instant m_announcedAt;
    common::instant m_startedAt = common::instant::min();
};

} // namespace masticlever::routing::detail
