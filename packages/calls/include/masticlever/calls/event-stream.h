#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Incremental parser of server-sent events (text/event-stream).

namespace masticlever::calls
{

struct stream_event {
    std::string name; ///< "message" when the event has no name
    std::string data;
};

class event_stream_reader
{
public:
    /// An event of more than \p maxEventBytes bytes puts the reader into the failed state.
    explicit event_stream_reader(std::size_t maxEventBytes) : m_maxEventBytes(maxEventBytes) { }

    /// Parses \p bytes and returns the events that they complete.
    std::vector<stream_event> feed(std::string_view bytes);
    bool hasFailed() const { return m_failed; }

private:
    void onLine(std::string_view line, std::vector<stream_event> &events);

    std::size_t m_maxEventBytes;
    std::string m_line;
    std::string m_name;
    std::string m_data;
    bool m_failed = false;
};

} // namespace masticlever::calls
