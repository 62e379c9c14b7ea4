#pragma once

#include <masticlever/ledger/ledger.h>

/// \file
/// What this instance knows of the log's reachability, and the certainty that follows from it.

namespace masticlever::ledger::detail
{

class reachability
{
public:
    void onReadEnded(bool isComplete, common::instant now, common::wall_time wallNow);
    void onReadFailed(common::instant now, common::wall_time wallNow);
    void setPeerReaches(bool reachable);
    /// Notes the present time for a peer that has reached the log until now.
    void onTimer(common::instant now);
    void forget() { m_caughtUp = false; }
    bool hasReadTimedOut(common::instant now, const ledger_options &options) const;

    bool isCaughtUp() const { return m_caughtUp; }
    bool isReachable() const { return m_reachable; }
    /// Whether a request for this key may be claimed: not if it arrived before the log became reachable again, nor
    /// soon after an outage in which another instance may have refused it without a record.
    bool mayClaim(common::wall_time keyCreated, common::instant arrivedAt, common::instant now,
                  const ledger_options &options) const;
    /// See run_ledger::isAbsenceCertain().
    bool isAbsenceCertain(common::wall_time keyCreated, common::instant now, const ledger_options &options) const;
    common::wall_time wallAt(common::instant now) const;

private:
    bool m_caughtUp = false;
    bool m_reachable = false;
    bool m_peerReaches = false;
    bool m_peerLossIsNew = false; ///< the time at which the last peer lost the log is still to be noted
    common::instant m_reachableSince;
    common::instant m_lastRead;
    common::duration m_outageBefore{0}; ///< that ended at m_reachableSince; 0 at the start
    bool m_hasBeenReachable = false;
    common::instant m_completeReadEnd; ///< of the newest read that met the log's end
    common::instant m_peerReachedUntil;
    common::instant m_clockPair; ///< taken together with m_wallPair
    common::wall_time m_wallPair;
};

} // namespace masticlever::ledger::detail
