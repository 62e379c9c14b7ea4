#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Reader of server-sent events (text/event-stream).

namespace masticlever::calls
{

struct stream_event {
    std::string name; ///< "message" when the event names none
    std::string data;
};

class event_stream_reader
{
public:
    /// Largest event in bytes; a longer one puts the reader into the failed state.
    explicit event_stream_reader(std::size_t eventLimit) : m_eventLimit(eventLimit) { }

    /// Events completed by \p bytes.
    std::vector<stream_event> feed(std::string_view bytes);
    bool hasFailed() const { return m_failed; }

private:
    void onLine(std::string_view line, std::vector<stream_event> &events);

    std::size_t m_eventLimit;
    std::string m_line;
    std::string m_name;
    std::string m_data;
    bool m_failed = false;
};

} // namespace masticlever::calls
