#include <masticlever/calls/event-stream.h>

#include <utility>

namespace masticlever::calls
{

namespace
{

std::string_view fieldValue(std::string_view line, std::size_t colon)
{
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

} // namespace

std::vector<stream_event> event_stream_reader::feed(std::string_view bytes)
{
    std::vector<stream_event> events;
    while (!bytes.empty() && !m_failed) {
        const std::size_t end = bytes.find('\n');
        m_line += bytes.substr(0, end);
        if (m_line.size() + m_data.size() > m_maxEventBytes) {
            m_failed = true;
            break;
        }
        if (end == std::string_view::npos) {
            break;
        }
        bytes.remove_prefix(end + 1);
        if (m_line.ends_with('\r')) {
            m_line.pop_back();
        }
        onLine(m_line, events);
        m_line.clear();
    }
    return events;
}

void event_stream_reader::onLine(std::string_view line, std::vector<stream_event> &events)
{
    if (line.empty()) {
        if (!m_data.empty() || !m_name.empty()) {
            events.push_back({m_name.empty() ? "message" : std::move(m_name), std::move(m_data)});
        }
        m_name.clear();
        m_data.clear();
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    const std::string_view field = line.substr(0, colon);
    if (field == "event") {
        m_name = fieldValue(line, colon);
    } else if (field == "data") {
        m_data += m_data.empty() ? "" : "\n";
        m_data += fieldValue(line, colon);
    }
}

} // namespace masticlever::calls
