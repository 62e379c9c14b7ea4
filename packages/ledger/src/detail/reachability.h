#pragma once

#include <masticlever/ledger/ledger.h>

/// \file
/// What this instance knows of the log's reachability, and the certainty that follows from it.

namespace masticlever::ledger::detail
{

/// Longest transit of a copy of a request, from the caller to an instance.
constexpr std::chrono::seconds longestTransit{2};

class reachability
{
public:
    /// \p options outlive the object.
    explicit reachability(const ledger_options &options) : m_options(&options) { }

    /// \p isComplete: the read has met the log's end.
    void onReadEnded(bool isComplete, common::instant now, common::wall_time wallNow);
    void onReadFailed(common::instant now, common::wall_time wallNow);
    void setPeerReaches(bool reachable);
    void onTimer(common::instant now);
    /// The state was dropped or the log is not to be trusted: the log has to be read to its end anew.
    void forget() { m_caughtUp = false; }

    bool isCaughtUp() const { return m_caughtUp; }
    bool isReady(common::instant now) const;
    bool isReachable() const { return m_reachable; }
    /// Reachable, caught up, and read within readTimeout.
    bool isCurrent(common::instant now) const;
    /// Whether a request for this key may be claimed: not if it arrived before the log became reachable again, nor
    /// soon after an outage in which another instance may have refused it without a record.
    bool mayClaim(common::wall_time keyCreated, common::instant arrivedAt, common::instant now) const;
    /// See run_ledger::isAbsenceCertain().
    bool isAbsenceCertain(common::wall_time keyCreated, common::instant now) const;

private:
    bool isStale(common::instant now) const { return now - m_lastRead > m_options->readTimeout; }
    bool hasStalled(common::instant now) const { return now - m_lastEvent > m_options->peerNotice; }
    common::wall_time wallAt(common::instant now) const;

    const ledger_options *m_options;
    bool m_caughtUp = false;
    bool m_reachable = false;
    bool m_hasBeenReachable = false;
    bool m_peerReaches = false;
    bool m_peerLossIsNew = false; ///< the time at which the last peer lost the log is still to be noted
    common::instant m_lastRead;
    common::instant m_reachableSince;
    common::instant m_firstRead; ///< of this process
    common::duration m_outageBefore{0}; ///< that ended at m_reachableSince; 0 at the start
    common::instant m_completeReadEnd; ///< of the newest read that met the log's end
    common::instant m_peerReachedUntil;
    common::instant m_lastEvent; ///< nothing is known of what peers said in a longer gap before an event
    common::instant m_clockPair; ///< taken together with m_wallPair
    common::wall_time m_wallPair;
};

} // namespace masticlever::ledger::detail
