#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Splits a text/event-stream body into complete events without changing a byte of them. A stream that breaks off in
/// the middle of an event can thus be resumed at another endpoint after the last complete one.

namespace masticlever::forwarding
{

struct whole_event {
    std::string bytes; ///< including the empty line at its end
    std::optional<std::uint64_t> id;
};

class event_splitter
{
public:
    /// Returns the events that \p bytes complete.
    std::vector<whole_event> feed(std::string_view bytes);
    /// Number of buffered bytes of an incomplete event.
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    std::string m_pending;
    std::size_t m_lineStart = 0; ///< offset of the incomplete line in m_pending
    std::optional<std::uint64_t> m_id; ///< id of the incomplete event
};

} // namespace masticlever::forwarding
