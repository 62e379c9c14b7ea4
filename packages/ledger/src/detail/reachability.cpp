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
    }
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
    if (m_reachable) {
        return now - m_completeReadEnd <= options.readFreshness;
    }
    if (m_peerReaches || m_peerLossIsNew) {
        return false;
    }
    const common::instant lastReached = std::max(m_completeReadEnd, m_peerReachedUntil);
    return keyCreated > wallAt(lastReached) + options.clockSkew;
}

} // namespace masticlever::ledger::detail
