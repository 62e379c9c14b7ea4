#pragma once

#include <masticlever/common/result.h>
#include <masticlever/common/time.h>
#include <masticlever/configuration/replay.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Appends operators' changes to the log, each under a single change id, and takes their outcomes from the replayed
/// log.

namespace masticlever::configuration
{

enum class change_progress {
    pending,
    settled, ///< replay has produced the outcome
    not_applied, ///< every append was refused; this instance has added nothing to the log and stops trying
    unknown, ///< the deadline passed after an append that may have succeeded; replay can still settle the change
};

struct change_view {
    std::string id;
    change_progress progress = change_progress::pending;
    change_outcome outcome; ///< valid when settled
};

struct change_append {
    std::string changeId;
    std::string payload;
};

struct change_tracker_options {
    common::duration deadline = std::chrono::seconds(8); ///< from submit() to `unknown` or `not_applied`
    common::duration retryInterval = std::chrono::seconds(1); ///< between append attempts of one change
    common::duration keepFor = std::chrono::minutes(10); ///< how long a finished change is kept in memory
};

class change_tracker
{
public:
    explicit change_tracker(change_tracker_options options) : m_options(options) { }

    /// Starts tracking a change, or returns the tracked one with the same id. The result is settled at once when
    /// \p replay already has an outcome for the id, when the change is malformed, or when the expected version can no
    /// longer become the current one.
    change_view submit(const change &requested, const replayer &replay, common::instant now);

    /// Returns the appends to send now.
    std::vector<change_append> takeAppends(common::instant now);
    void onAppendEnded(std::string_view changeId, common::result<platform::log_offset> outcome, common::instant now);
    /// Settles the changes that \p replay has decided since the last call.
    void onReplayed(const replayer &replay, common::instant now);
    void onTimer(common::instant now);

    /// Returns the changes that finished since the last call.
    std::vector<change_view> takeEnded();
    /// Returns nothing when \p replay remembers no outcome for the id and it is not tracked here.
    std::optional<change_view> find(std::string_view changeId, const replayer &replay) const;
    /// Returns the next time at which takeAppends() or onTimer() has work to do if no other event comes first.
    common::instant nextWakeUp() const;

private:
    struct entry {
        change requested;
        std::string payload;
        change_view view;
        common::instant deadline;
        common::instant appendAt;
        common::instant endedAt;
        platform::log_offset offset = 0; ///< of the appended record; 0 until an append succeeds
        bool inFlight = false;
        bool mayBeInLog = false; ///< an append succeeded or its answer was lost
    };

    static bool canAppend(const entry &tracked);
    change_view resubmit(entry &tracked, common::instant now);
    void end(entry &tracked, change_progress progress, common::instant now);
    void settle(entry &tracked, const change_outcome &outcome, common::instant now);

    change_tracker_options m_options;
    std::map<std::string, entry, std::less<>> m_entries; ///< by change id
    std::vector<change_view> m_ended;
};

} // namespace masticlever::configuration
