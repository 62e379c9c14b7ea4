#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Cuts a text/event-stream body into whole events without changing a byte of them, so that a stream that breaks off
/// in the middle of an event can go on at another endpoint after the last whole one.

namespace masticlever::forwarding
{

struct whole_event {
    std::string bytes; ///< with the empty line that ends it
    std::optional<std::uint64_t> id;
};

class event_splitter
{
public:
    /// Events completed by \p bytes.
    std::vector<whole_event> feed(std::string_view bytes);
    /// Bytes of an event that is not complete.
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    std::string m_pending;
    std::size_t m_lineStart = 0; ///< of the line that is being read, in m_pending
    std::optional<std::uint64_t> m_id;
};

} // namespace masticlever::forwarding
