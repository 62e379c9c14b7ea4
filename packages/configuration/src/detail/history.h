#pragma once

#include <masticlever/platform/log-service.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

/// \file
/// The records applied last, kept to serve peers that lag behind and to verify snapshots.

namespace masticlever::configuration::detail
{

/// Records at consecutive offsets, limited in number and total size.
class history
{
public:
    /// Adds the next record; \p digest is that of the state after it.
    void append(platform::log_record record, std::uint64_t digest, bool isSnapshot);
    void clear();

    /// Returns up to \p limit records from \p from on, or nothing when they have been dropped; \p next is the offset
    /// after the last applied record.
    std::optional<platform::log_batch> recordsFrom(platform::log_offset from, platform::log_offset next,
                                                   std::size_t limit) const;
    /// Returns the digest of the state after the record at \p offset, if it is still kept.
    std::optional<std::uint64_t> digestAt(platform::log_offset offset) const;
    /// Returns the number of kept records above \p offset that are not snapshots.
    std::uint64_t changesAbove(platform::log_offset offset) const;

private:
    struct entry {
        platform::log_record record;
        std::uint64_t digest = 0; ///< of the state after the record
        bool isSnapshot = false;
    };

    std::deque<entry> m_entries;
    std::size_t m_bytes = 0;
};

} // namespace masticlever::configuration::detail
