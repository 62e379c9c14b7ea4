#include "detail/history.h"

#include <algorithm>
#include <utility>

namespace masticlever::configuration::detail
{

namespace
{

constexpr std::size_t maximumRecords = 8192;
constexpr std::size_t maximumBytes = std::size_t{4} * 1024 * 1024;

} // namespace

void history::append(platform::log_record record, std::uint64_t digest, bool isSnapshot)
{
    m_bytes += record.payload.size();
    m_entries.push_back({std::move(record), digest, isSnapshot});
    while (m_entries.size() > maximumRecords || (m_bytes > maximumBytes && m_entries.size() > 1)) {
        m_bytes -= m_entries.front().record.payload.size();
        m_entries.pop_front();
    }
}

void history::clear()
{
    m_entries.clear();
    m_bytes = 0;
}

std::optional<platform::log_batch> history::recordsFrom(platform::log_offset from, platform::log_offset next,
                                                        std::size_t limit) const
{
    if (from >= next) {
        return platform::log_batch{next, next, {}};
    }
    if (m_entries.empty() || from < m_entries.front().record.offset) {
        return std::nullopt;
    }
    platform::log_batch batch{m_entries.front().record.offset, next, {}};
    const auto first = static_cast<std::size_t>(from - batch.head);
    const std::size_t last = first + std::min(limit, m_entries.size() - first);
    for (std::size_t i = first; i < last; ++i) {
        batch.records.push_back(m_entries[i].record);
    }
    return batch;
}

std::optional<std::uint64_t> history::digestAt(platform::log_offset offset) const
{
    if (m_entries.empty() || offset < m_entries.front().record.offset || offset > m_entries.back().record.offset) {
        return std::nullopt;
    }
    return m_entries[static_cast<std::size_t>(offset - m_entries.front().record.offset)].digest;
}

std::uint64_t history::changesAbove(platform::log_offset offset) const
{
    const auto isChange = [offset](const entry &e) { return !e.isSnapshot && e.record.offset > offset; };
    return static_cast<std::uint64_t>(std::count_if(m_entries.begin(), m_entries.end(), isChange));
}

} // namespace masticlever::configuration::detail
