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
/// Replays the configuration log. The state depends on the records alone, so every instance computes the same one.

namespace masticlever::configuration
{

enum class operation { put, remove };

/// A change to one resource, stored as one log record.
struct change {
    std::string id; ///< chosen by the operator's client; makes retries idempotent
    operation what = operation::put;
    resource_kind kind = resource_kind::pipeline;
    std::string name;
    std::uint64_t expectedVersion = 0; ///< 0: the resource must not exist
    std::string spec; ///< JSON object; empty for remove
};

enum class change_status { accepted, unchanged, conflict, invalid };

struct change_outcome {
    change_status status = change_status::invalid;
    std::uint64_t version = 0; ///< of the resource after the change, or the current one in a conflict
    std::string field; ///< path of the offending field when invalid
    std::string detail;
};

std::string encodeChange(const change &requested);

/// Result of processing a batch of records.
enum class replay_state {
    current, ///< the records were applied
    needs_base, ///< earlier records are no longer retained and no usable snapshot record has been read yet
    regressed, ///< rejected: the log ends below the records that were already read
};

/// Monotonic counters.
struct replay_counters {
    std::uint64_t applied = 0; ///< records applied, including snapshots
    std::uint64_t skipped = 0; ///< invalid records up to the current offset; equal on every instance
    std::uint64_t regressed = 0; ///< batches rejected as regressed
    std::uint64_t basesAdopted = 0; ///< states installed from a snapshot record or from a peer
    std::uint64_t divergences = 0; ///< snapshot records that differ from the state replayed here
};

/// The newest valid snapshot record in the log.
struct snapshot_record {
    platform::log_offset covers = 0; ///< last record whose effect the snapshot contains
    platform::log_offset offset = 0; ///< of the snapshot record; 0: there is none
    common::wall_time appendedAt; ///< by the log service's clock
};

class replayer
{
public:
    replayer();
    ~replayer();
    replayer(replayer &&) noexcept;
    replayer &operator=(replayer &&) noexcept;

    /// Processes the result of one log read; records below nextOffset() are ignored. The result of a read that
    /// arrives after that of a newer one is also `regressed`, so only repeated `regressed` results mean that the log
    /// was replaced.
    replay_state onRecords(const platform::log_batch &batch);
    /// Processes a batch from a peer's recordsFrom(); records other than the next ones are ignored.
    replay_state onPeerRecords(const platform::log_batch &batch);
    /// Installs the state from a peer's encodeSnapshot() if it is newer than the local one. Returns whether it was
    /// installed.
    bool onPeerState(std::string_view encodedSnapshot);

    snapshot_ptr current() const;
    /// Offset of the next record to read. While the state is `needs_base`, records that were read but not applied
    /// lie between it and current().
    platform::log_offset nextOffset() const;
    /// Whether the log has been read up to its end, or a peer's state was installed, since the start.
    bool isReady() const;
    /// Returns the remembered outcome of the first record with this change id.
    std::optional<change_outcome> outcomeOf(std::string_view changeId) const;
    /// The same for one change; the outcome is invalid when another change used the id first.
    std::optional<change_outcome> outcomeOf(const change &requested) const;

    /// Returns the outcome that \p requested would have on the current state, without applying it. The version of an
    /// accepted outcome is the lowest one that the resource can get.
    change_outcome check(const change &requested) const;

    /// Returns the payload of a snapshot record for the state at current()->offset.
    std::string encodeSnapshot() const;
    /// Whether recordsSinceSnapshot() exceeds \p records.
    bool isSnapshotDue(std::uint64_t records) const;
    /// Returns the number of records, snapshots excluded, since the newest snapshot in the log. Counts recently applied
    /// records only, so it saturates at several thousand.
    std::uint64_t recordsSinceSnapshot() const;
    snapshot_record newestSnapshot() const;
    /// Highest head and end that log reads have returned.
    platform::log_offset logHead() const;
    platform::log_offset logEnd() const;
    replay_counters counters() const;

    /// Returns up to \p limit records starting at \p from, for a peer. Returns nothing when this instance is not ready,
    /// or no longer keeps these records; the peer then needs encodeSnapshot().
    std::optional<platform::log_batch> recordsFrom(platform::log_offset from, std::size_t limit) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace masticlever::configuration
