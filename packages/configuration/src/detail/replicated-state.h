#pragma once

#include <masticlever/configuration/replay.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Replicated state at one log offset: the resources and the remembered outcomes of changes.

namespace masticlever::configuration::detail
{

/// The outcome of the first record with a change id.
struct decided_change {
    std::uint64_t contentHash = 0; ///< detects a different change under the same id
    change_outcome outcome;
};

/// Depends on the log records alone: equal on all instances that applied the same records, whichever snapshot they
/// started from.
class replicated_state
{
public:
    const snapshot &resources() const { return m_resources; }
    platform::log_offset offset() const { return m_resources.offset; }
    /// Number of invalid records.
    std::uint64_t skipped() const { return m_skipped; }
    /// Ids of the remembered changes, oldest first.
    const std::deque<std::string> &decidedIds() const { return m_decidedOrder; }
    const decided_change *findDecided(std::string_view changeId) const;
    /// Returns 0 when the resource does not exist.
    std::uint64_t versionOf(resource_kind kind, const std::string &name) const;
    /// Size of all names and specifications.
    std::size_t stateBytes() const { return m_stateBytes; }
    /// Order-independent digest of the whole state, updated incrementally.
    std::uint64_t digest() const;

    void setOffset(platform::log_offset offset) { m_resources.offset = offset; }
    void addSkipped(std::uint64_t count) { m_skipped += count; }
    void put(const std::string &name, resource<pipeline_spec> entry);
    void put(const std::string &name, resource<team_spec> entry);
    void put(const std::string &name, resource<endpoint_spec> entry);
    void remove(resource_kind kind, const std::string &name);
    /// Stores an outcome and drops the oldest one beyond maximumRememberedOutcomes.
    void remember(const std::string &changeId, const decided_change &decided);

private:
    template <typename Spec>
    void putInto(std::map<std::string, resource<Spec>> &resources, std::string_view kindName, const std::string &name,
                 resource<Spec> entry);
    template <typename Spec>
    void removeFrom(std::map<std::string, resource<Spec>> &resources, std::string_view kindName,
                    const std::string &name);

    snapshot m_resources;
    std::map<std::string, decided_change, std::less<>> m_decided;
    std::deque<std::string> m_decidedOrder;
    std::uint64_t m_skipped = 0;
    std::uint64_t m_contentDigest = 0; ///< sum of the hashes of resources and outcomes
    std::size_t m_stateBytes = 0;
};

} // namespace masticlever::configuration::detail
