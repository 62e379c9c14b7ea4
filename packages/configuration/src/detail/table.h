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
/// The replicated state at one offset: resources and the remembered outcomes of changes.

namespace masticlever::configuration::detail
{

/// The first record with a change id.
struct decided_change {
    std::uint64_t contentHash = 0; ///< tells the same change from another under the same id
    change_outcome outcome;
};

/// Pure state: equal for every reader of the same records, whatever snapshot it began with.
class table
{
public:
    const snapshot &resources() const { return m_resources; }
    platform::log_offset offset() const { return m_resources.offset; }
    /// Records that were neither a change nor a snapshot.
    std::uint64_t skipped() const { return m_skipped; }
    const std::deque<std::string> &decidedIds() const { return m_decidedOrder; }
    const decided_change *findDecided(std::string_view changeId) const;
    std::uint64_t versionOf(resource_kind kind, const std::string &name) const;
    std::size_t stateBytes() const { return m_stateBytes; }
    /// Order-independent digest of the whole state, kept up to date with every change.
    std::uint64_t digest() const;

    void setOffset(platform::log_offset offset) { m_resources.offset = offset; }
    void addSkipped(std::uint64_t count) { m_skipped += count; }
    void put(const std::string &name, resource<pipeline_spec> what);
    void put(const std::string &name, resource<team_spec> what);
    void put(const std::string &name, resource<endpoint_spec> what);
    void remove(resource_kind kind, const std::string &name);
    /// Forgets the oldest outcome beyond rememberedChanges.
    void remember(const std::string &changeId, const decided_change &decided);

private:
    template <typename Spec>
    void putInto(std::map<std::string, resource<Spec>> &kind, std::string_view kindName, const std::string &name,
                 resource<Spec> what);
    template <typename Spec>
    void removeFrom(std::map<std::string, resource<Spec>> &kind, std::string_view kindName, const std::string &name);

    snapshot m_resources;
    std::map<std::string, decided_change, std::less<>> m_decided;
    std::deque<std::string> m_decidedOrder;
    std::uint64_t m_skipped = 0;
    std::uint64_t m_contentDigest = 0; ///< sum of the entries' hashes
    std::size_t m_stateBytes = 0;
};

} // namespace masticlever::configuration::detail
