#pragma once

#include <masticlever/ledger/ledger.h>

/// \file
/// Tracks whether the log is reachable from this instance and its peers, and what can be concluded from that.

namespace masticlever::ledger::detail
{

/// Longest transit time of a copy of a request from the caller to an instance.
constexpr std::chrono::seconds maxTransit{2};

class reachability
{
public:
    /// \p options must outlive the object.
    explicit reachability(const ledger_options &options) : m_options(&options) { }

    /// \p isComplete: the read reached the log's end.
    void onReadEnded(bool isComplete, common::instant now, common::wall_time wallNow);
    void onReadFailed(common::instant now, common::wall_time wallNow);
    void setPeerReachesLog(bool reachable);
    void onTimer(common::instant now);
    /// Requires the log to be read to its end again, because the state was dropped or the log is inconsistent.
    void requireCatchUp() { m_caughtUp = false; }

    bool isCaughtUp() const { return m_caughtUp; }
    bool isReady(common::instant now) const;
    bool isReachable() const { return m_reachable; }
    /// Reachable, caught up, and read within readTimeout.
    bool isCurrent(common::instant now) const;
    /// Whether a request for this key may be claimed. It may not if it arrived before the log became reachable again,
    /// or soon after an outage in which another instance may have refused it without a record.
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
    bool m_peerReachesLog = false;
    bool m_peerLossPending = false; ///< the last peer lost the log since the previous onTimer()
    common::instant m_lastRead;
    common::instant m_reachableSince;
    common::instant m_firstRead; ///< first successful read of this process
    common::duration m_lastOutage{0}; ///< length of the outage that ended at m_reachableSince; 0 at the start
    common::instant m_lastCompleteRead; ///< end of the newest read that reached the log's end
    common::instant m_peerLastReached; ///< last time at which a peer may have reached the log
    common::instant m_lastEvent; ///< peer reports during a gap longer than peerNotice are not known
    common::instant m_clockSample; ///< taken together with m_wallSample
    common::wall_time m_wallSample;
};

} // namespace masticlever::ledger::detail
