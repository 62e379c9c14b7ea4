#pragma once

#include <masticlever/platform/log-service.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

/// \file
/// The last records that were applied here, for peers that miss them and for checking snapshots.

namespace masticlever::configuration::detail
{

/// Consecutive offsets, bounded in number and bytes.
class history
{
public:
    /// The next record; \p digest is the state's after it.
    void append(platform::log_record record, std::uint64_t digest, bool isSnapshot);
    void clear();

    std::optional<platform::log_batch> recordsFrom(platform::log_offset from, platform::log_offset next,
                                                   std::size_t limit) const;
    std::optional<std::uint64_t> digestAt(platform::log_offset offset) const;
    /// Records above \p offset that are not snapshots.
    std::uint64_t changesAbove(platform::log_offset offset) const;

private:
    struct entry {
        platform::log_record record;
        std::uint64_t digest = 0;
        bool isSnapshot = false;
    };

    std::deque<entry> m_entries;
    std::size_t m_bytes = 0;
};

} // namespace masticlever::configuration::detail
