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

class replayer
{
public:
    replayer();
    ~replayer();
    replayer(replayer &&) noexcept;
    replayer &operator=(replayer &&) noexcept;

    replay_state onRecords(const platform::log_batch &batch);

    snapshot_ptr current() const;
    platform::log_offset nextOffset() const;
    /// The log has been read up to its end, or a peer's state was taken, since the start.
    bool isReady() const;
    std::optional<change_outcome> outcomeOf(std::string_view changeId) const;

    /// What would happen to \p what on the present state; nothing is changed.
    change_outcome check(const change &what) const;

    /// A snapshot record's payload for the state at current()->offset.
    std::string encodeSnapshot() const;
    /// Whether a snapshot record is due: more than \p records changes since the newest snapshot in the log.
    bool isSnapshotDue(std::uint64_t records) const;

    /// Records from \p from on that peers may miss, or nothing when they are not kept here any more.
    std::optional<platform::log_batch> recordsFrom(platform::log_offset from, std::size_t limit) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticlever::configuration
