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
/// The way of an operator's change into the log: appended under one change id only, and settled by reading.

namespace masticlever::configuration
{

enum class change_progress {
    pending,
    settled, ///< the replay has decided it
    not_applied, ///< this instance has appended nothing and will not: its appends were all refused
    unknown, ///< the deadline has passed; it may have been appended. Reading can still settle it.
};

struct change_view {
    std::string id;
    change_progress progress = change_progress::pending;
    change_outcome outcome; ///< of a settled change
};

struct change_append {
    std::string changeId;
    std::string payload;
};

struct change_tracker_options {
    common::duration deadline = std::chrono::seconds(8); ///< from the request to `unknown`
    common::duration retryInterval = std::chrono::seconds(1); ///< between appends of the same change
    common::duration keepFor = std::chrono::minutes(10); ///< how long an ended change is remembered here
};

class change_tracker
{
public:
    explicit change_tracker(change_tracker_options options) : m_options(options) { }

    /// Takes a change up, or joins the one with the same id. Settled at once when the replay knows the id, when the
    /// change is malformed, or when the version that it expects can never be present again.
    change_view submit(const change &what, const replayer &replayed, common::instant now);

    /// Appends to make now.
    std::vector<change_append> takeAppends(common::instant now);
    void onAppendEnded(std::string_view changeId, common::result<platform::log_offset> outcome, common::instant now);
    /// The replay has moved on.
    void onReplayed(const replayer &replayed, common::instant now);
    void onTimer(common::instant now);

    /// Changes that have ended since the last call, each once.
    std::vector<change_view> takeEnded();
    /// Nothing when the id is neither in the replay's memory nor tracked here.
    std::optional<change_view> find(std::string_view changeId, const replayer &replayed) const;
    /// When takeAppends() or onTimer() next has something to do without another event.
    common::instant nextWakeUp() const;

private:
    struct entry {
        change what;
        std::string payload;
        change_view view;
        common::instant deadline;
        common::instant appendAt;
        common::instant endedAt;
        platform::log_offset offset = 0; ///< of the record, when its append was answered
        bool inFlight = false;
        bool mayBeAppended = false;
    };

    static bool canAppend(const entry &tracked);
    change_view rejoin(entry &tracked, common::instant now);
    void end(entry &tracked, change_progress progress, common::instant now);
    void settle(entry &tracked, const change_outcome &outcome, common::instant now);

    change_tracker_options m_options;
    std::map<std::string, entry, std::less<>> m_entries; ///< by change id
    std::vector<change_view> m_ended;
};

} // namespace masticlever::configuration
