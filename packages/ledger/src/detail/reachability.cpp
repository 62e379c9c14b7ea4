#include "detail/reachability.h"

#include <algorithm>

namespace masticlever::ledger::detail
{

using common::instant;
using common::wall_time;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

void reachability::onReadEnded(bool isComplete, instant now, wall_time wallNow)
{
    m_clockSample = now;
    m_wallSample = wallNow;
    if (!m_reachable || isStale(now)) {
        m_lastOutage = m_hasBeenReachable ? now - m_lastRead : common::duration(0);
        m_reachableSince = now;
        m_firstRead = m_hasBeenReachable ? m_firstRead : now;
        m_reachable = true;
        m_hasBeenReachable = true;
    }
    m_lastRead = now;
    if (isComplete) {
        m_caughtUp = true;
        m_lastCompleteRead = now;
    }
    onTimer(now);
}

void reachability::onReadFailed(instant now, wall_time wallNow)
{
    m_clockSample = now;
    m_wallSample = wallNow;
    m_reachable = false;
    onTimer(now);
}

void reachability::setPeerReachesLog(bool reachable)
{
    m_peerLossPending = m_peerLossPending || (m_peerReachesLog && !reachable);
    m_peerReachesLog = reachable;
}

void reachability::onTimer(instant now)
{
    m_reachable = m_reachable && !isStale(now);
    if (m_peerReachesLog || m_peerLossPending || hasStalled(now)) {
        m_peerLastReached = now;
    }
    m_lastEvent = now;
    m_peerLossPending = false;
}

wall_time reachability::wallAt(instant now) const
{
    return m_wallSample + duration_cast<milliseconds>(now - m_clockSample);
}

bool reachability::isCurrent(instant now) const
{
    return m_caughtUp && m_reachable && !isStale(now);
}

bool reachability::isReady(instant now) const
{
    return m_caughtUp && now >= m_firstRead + m_options->peerNotice + maxTransit;
}

bool reachability::mayClaim(wall_time keyCreated, instant arrivedAt, instant now) const
{
    if (!isCurrent(now) || arrivedAt < m_reachableSince) {
        return false;
    }
    if (m_lastOutage <= m_options->toleratedOutage || now >= m_reachableSince + m_options->refusalHold) {
        return true;
    }
    return keyCreated > wallAt(m_reachableSince) + m_options->clockSkew + m_options->peerNotice;
}

bool reachability::isAbsenceCertain(wall_time keyCreated, instant now) const
{
    if (!m_caughtUp) {
        return false;
    }
    if (isCurrent(now)) {
        return now - m_lastCompleteRead <= m_options->maxReadAge;
    }
    if (m_peerReachesLog || m_peerLossPending || hasStalled(now)) {
        return false;
    }
    const instant lastReached = std::max(m_lastCompleteRead, m_peerLastReached);
    const milliseconds margin = m_options->clockSkew + m_options->peerNotice + m_options->toleratedOutage;
    return keyCreated > wallAt(lastReached) + margin;
}

} // namespace masticlever::ledger::detail
