#include "detail/reachability.h"

#include <algorithm>

namespace masticlever::ledger::detail
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

void reachability::onReadEnded(bool isComplete, common::instant now, common::wall_time wallNow)
{
    m_clockPair = now;
    m_wallPair = wallNow;
    if (!m_reachable) {
        m_reachable = true;
        m_reachableSince = now;
        m_outageBefore = m_hasBeenReachable ? now - m_lastRead : common::duration(0);
        m_hasBeenReachable = true;
    }
    m_lastRead = now;
    if (isComplete) {
        m_caughtUp = true;
        m_completeReadEnd = now;
    }
    onTimer(now);
}

void reachability::onReadFailed(common::instant now, common::wall_time wallNow)
{
    m_clockPair = now;
    m_wallPair = wallNow;
    m_reachable = false;
    onTimer(now);
}

bool reachability::hasReadTimedOut(common::instant now, const ledger_options &options) const
{
    return m_reachable && now - m_lastRead > options.readTimeout;
}

bool reachability::mayClaim(common::wall_time keyCreated, common::instant arrivedAt, common::instant now,
                            const ledger_options &options) const
{
    if (!m_caughtUp || !m_reachable || arrivedAt < m_reachableSince || hasReadTimedOut(now, options)) {
        return false;
    }
    if (m_outageBefore <= options.shortOutage || now >= m_reachableSince + options.refusalHold) {
        return true;
    }
    return keyCreated > wallAt(m_reachableSince) + options.clockSkew + options.peerNotice;
}

void reachability::setPeerReaches(bool reachable)
{
    m_peerLossIsNew = m_peerLossIsNew || (m_peerReaches && !reachable);
    m_peerReaches = reachable;
}

void reachability::onTimer(common::instant now)
{
    if (m_peerReaches || m_peerLossIsNew) {
        m_peerReachedUntil = now;
    }
    m_peerLossIsNew = false;
}

common::wall_time reachability::wallAt(common::instant now) const
{
    return m_wallPair + duration_cast<milliseconds>(now - m_clockPair);
}

bool reachability::isAbsenceCertain(common::wall_time keyCreated, common::instant now,
                                    const ledger_options &options) const
{
    if (!m_caughtUp) {
        return false;
    }
    if (m_reachable && !hasReadTimedOut(now, options)) {
        return now - m_completeReadEnd <= options.readFreshness;
    }
    if (m_peerReaches || m_peerLossIsNew) {
        return false;
    }
    const common::instant lastReached = std::max(m_completeReadEnd, m_peerReachedUntil);
    const milliseconds margin = options.clockSkew + options.peerNotice + options.shortOutage;
    return keyCreated > wallAt(lastReached) + margin;
}

} // namespace masticlever::ledger::detail
