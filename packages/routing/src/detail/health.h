#pragma once

#include <masticlever/routing/router.h>

#include <algorithm>
#include <chrono>
#include <cstddef>

/// \file
/// Health of one endpoint, derived from the calls to it.

namespace masticlever::routing::detail
{

class endpoint_health
{
public:
    enum class phase { serving, ejected, probing };

    /// A call was sent while \p inFlightBefore others were in flight.
    void onSent(std::size_t inFlightBefore, common::instant now);
    /// The endpoint sent a token or an answer.
    void onResponse(common::instant now)
    {
        m_lastActivity = now;
        m_suspectedUntil = {};
    }
    void onAnswered(common::duration latency);
    /// Counts a failure or timeout. Returns true if the endpoint should be ejected.
    bool onFailure(call_outcome outcome, const router_options &options);

    void eject(const router_options &options, common::instant now);
    void reinstate(common::instant now, const router_options &options);
    void startProbe() { m_phase = phase::probing; }
    void beginSlowStart(common::instant now) { m_slowStartAt = now; }

    /// True if calls are in flight and the endpoint has sent nothing for longer than \p limit.
    bool isUnresponsive(std::size_t inFlight, common::duration limit, common::instant now) const
    {
        return inFlight > 0 && now - m_lastActivity > limit;
    }
    bool isProbeDue(common::instant now) const { return m_phase == phase::ejected && now >= m_ejectedUntil; }
    void suspectUntil(common::instant until) { m_suspectedUntil = until; }
    bool isSuspected(common::instant now) const { return now < m_suspectedUntil; }
    /// Returns true at most once per \p interval.
    bool tryAnnounce(common::instant now, common::duration interval);
    phase currentPhase() const { return m_phase; }
    double slowStartWeight(common::instant now, const router_options &options) const;
    double latencyUs() const { return m_latencyUs; }
    std::size_t samples() const { return m_samples; }

private:
    phase m_phase = phase::serving;
    std::size_t m_failures = 0;
    std::size_t m_timeouts = 0;
    std::size_t m_ejections = 0; ///< consecutive
    std::size_t m_samples = 0; ///< answers since the last ejection
    double m_latencyUs = 0; ///< moving average
    common::instant m_lastActivity; ///< last response, or sending of the first call in flight
    common::instant m_ejectedUntil;
    common::instant m_suspectedUntil;
    common::instant m_announcedAt;
    common::instant m_slowStartAt = common::instant::min(); ///< start of slow start; min() if there was none
};

} // namespace masticlever::routing::detail
