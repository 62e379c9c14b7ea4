#pragma once

#include <masticlever/common/time.h>
#include <masticlever/configuration/replay.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

/// \file
/// When this instance writes a snapshot record. Racing writers are harmless, so instances only stagger.

namespace masticlever::configuration
{

struct snapshot_writer_options {
    std::uint64_t records = 200; ///< changes since the newest snapshot; well below the log's retention
    std::chrono::milliseconds refresh = std::chrono::hours(1); ///< age at which a quiet log gets a new one
    common::duration stagger = std::chrono::seconds(5); ///< head start of each rank over the next
    common::duration retryInterval = std::chrono::seconds(5); ///< after an append that was lost or refused
};

class snapshot_writer
{
public:
    explicit snapshot_writer(snapshot_writer_options options) : m_options(options) { }

    /// Payload of the snapshot record to append now, if it is this instance's turn. \p rank is the instance's place
    /// among the live ones, from 0.
    std::optional<std::string> poll(const replayer &replayed, std::size_t rank, common::instant now,
                                    common::wall_time wallNow);
    /// The append has ended. One that was lost or refused is tried again after the retry interval; one that is in the
    /// log is waited for in the replay, so that the next one may follow at once.
    void onAppendEnded(bool isAppended, common::instant now);

    /// Whether retention could take the base away unless a new snapshot is written.
    bool isDue(const replayer &replayed, common::wall_time wallNow) const;

private:
    snapshot_writer_options m_options;
    std::optional<common::instant> m_dueSince;
    common::instant m_notBefore = common::instant::min();
    platform::log_offset m_awaited = 0; ///< offset covered by the snapshot that is to be read back
    bool m_inFlight = false;
};

} // namespace masticlever::configuration
