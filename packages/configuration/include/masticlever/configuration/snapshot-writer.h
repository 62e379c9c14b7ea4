#pragma once

#include <masticlever/common/time.h>
#include <masticlever/configuration/replay.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

/// \file
/// Decides when this instance writes a snapshot record. Concurrent writers are harmless, so instances stagger their
/// writes and don't coordinate otherwise.

namespace masticlever::configuration
{

struct snapshot_writer_options {
    std::uint64_t records = 200; ///< allowed since the newest snapshot; well below the log's retention
    std::chrono::milliseconds maximumAge = std::chrono::hours(1); ///< of the newest snapshot, also in an idle log
    common::duration stagger = std::chrono::seconds(5); ///< delay between instances of consecutive ranks
    common::duration retryInterval = std::chrono::seconds(5); ///< after an append that is not yet replayed
};

class snapshot_writer
{
public:
    explicit snapshot_writer(snapshot_writer_options options) : m_options(options) { }

    /// Returns the payload of the snapshot record to append now, if any. \p rank is this instance's zero-based position
    /// among the live instances.
    std::optional<std::string> poll(const replayer &replay, std::size_t rank, common::instant now,
                                    common::wall_time wallNow);
    /// Reports the end of an append. A lost or refused append is retried after the retry interval. After a successful
    /// one, the next snapshot may be written as soon as the record has been replayed.
    void onAppendEnded(bool isAppended, common::instant now);

    /// Whether a new snapshot is needed, so that the log always holds a usable one despite retention.
    bool isDue(const replayer &replay, common::wall_time wallNow) const;

private:
    snapshot_writer_options m_options;
    std::optional<common::instant> m_dueSince;
    common::instant m_notBefore = common::instant::min();
    platform::log_offset m_awaitedOffset = 0; ///< covered by the appended snapshot that has not been replayed yet
    bool m_inFlight = false;
};

} // namespace masticlever::configuration
