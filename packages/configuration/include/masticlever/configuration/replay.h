#pragma once

#include <masticlever/configuration/snapshot.h>
#include <masticlever/platform/log-service.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Replay of the configuration log: a pure function of the records, the same on every instance.

namespace masticlever::configuration
{

enum class operation { put, remove };

/// One operator's change, one record of the log.
struct change {
    std::string id; ///< chosen by the operator's client; the same id is the same change
    operation what = operation::put;
    resource_kind kind = resource_kind::pipeline;
    std::string name;
    std::uint64_t expectedVersion = 0; ///< 0: the resource must not exist
    std::string spec; ///< JSON object; empty for remove
};

enum class change_status { accepted, unchanged, conflict, invalid };

struct change_outcome {
    change_status status = change_status::invalid;
    std::uint64_t version = 0; ///< of the resource after the change, or its present one in a conflict
    std::string field; ///< JSON path of the offending field when invalid
    std::string detail;
};

std::string encodeChange(const change &what);

/// What became of a batch of records.
enum class replay_state {
    current, ///< applied
    needs_base, ///< the records below were not retained and no usable snapshot record was met yet
    regressed, ///< refused: the log's head or end lies below what was applied
};

/// What a replayer has met so far; counters never fall.
struct replay_counters {
    std::uint64_t applied = 0; ///< records applied here, snapshots included
    std::uint64_t skipped = 0; ///< garbage records up to the present offset, equal on every instance
    std::uint64_t regressed = 0; ///< batches refused because the log ended below what was applied
    std::uint64_t basesTaken = 0; ///< states taken over from a snapshot record or a peer
    std::uint64_t divergences = 0; ///< snapshots whose content differs from the state replayed here
};

/// The newest valid snapshot record that was met.
struct snapshot_mark {
    platform::log_offset covers = 0;
    platform::log_offset offset = 0; ///< of the record itself; 0: none was met
    common::wall_time appendedAt; ///< the log service's clock
};

class replayer
{
public:
    replayer();
    ~replayer();
    replayer(replayer &&) noexcept;
    replayer &operator=(replayer &&) noexcept;

    /// Takes one read of the log. Records below nextOffset() are ignored. A read that was answered late, after a
    /// newer one, is `regressed` as well: only a repeated result means that the log was replaced.
    replay_state onRecords(const platform::log_batch &batch);
    /// Takes records from a peer's recordsFrom(); those that are not the next ones are ignored.
    replay_state onPeerRecords(const platform::log_batch &batch);
    /// Takes a peer's encodeSnapshot(). Returns whether it was newer than the state here and was taken over.
    bool onPeerState(std::string_view encodedSnapshot);

    snapshot_ptr current() const;
    /// The next record to read; ahead of current() while a base is missing.
    platform::log_offset nextOffset() const;
    /// The log has been read up to its end, or a peer's state was taken, since the start.
    bool isReady() const;
    std::optional<change_outcome> outcomeOf(std::string_view changeId) const;
    /// The same for one change: invalid when its id was first used by another change.
    std::optional<change_outcome> outcomeOf(const change &what) const;

    /// What would happen to \p what on the present state; nothing is changed. An accepted outcome carries the
    /// lowest version that the resource can get.
    change_outcome check(const change &what) const;

    /// A snapshot record's payload for the state at current()->offset.
    std::string encodeSnapshot() const;
    /// Whether a snapshot record is due: more than \p records changes since the newest snapshot in the log.
    bool isSnapshotDue(std::uint64_t records) const;
    /// Records other than snapshots since the newest snapshot in the log; saturates at several thousand.
    std::uint64_t recordsSinceSnapshot() const;
    snapshot_mark newestSnapshot() const;
    /// Highest head and end of the log that were read.
    platform::log_offset logHead() const;
    platform::log_offset logEnd() const;
    replay_counters counters() const;

    /// Records from \p from on that peers may miss. Nothing when they are not kept here any more, the peer then
    /// needs encodeSnapshot(), or when this instance is not ready itself.
    std::optional<platform::log_batch> recordsFrom(platform::log_offset from, std::size_t limit) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticlever::configuration
