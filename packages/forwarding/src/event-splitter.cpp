#include <masticlever/forwarding/event-splitter.h>

#include <charconv>
#include <utility>

namespace masticlever::forwarding
{

namespace
{

std::optional<std::uint64_t> parseId(std::string_view line)
{
    constexpr std::string_view prefix = "id:";
    if (!line.starts_with(prefix)) {
        return std::nullopt;
    }
    line.remove_prefix(prefix.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
    const bool isNumber = error == std::errc{} && end == line.data() + line.size();
    return isNumber ? std::optional(id) : std::nullopt;
}

} // namespace

std::vector<whole_event> event_splitter::feed(std::string_view bytes)
{
    std::vector<whole_event> events;
    m_pending.append(bytes);
    for (;;) {
        const std::size_t end = m_pending.find('\n', m_lineStart);
        if (end == std::string::npos) {
            return events;
        }
        std::string_view line(m_pending.data() + m_lineStart, end - m_lineStart);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (const auto id = parseId(line)) {
            m_id = id;
        }
        const bool isEventEnd = line.empty();
        m_lineStart = end + 1;
        if (isEventEnd) {
            events.push_back({m_pending.substr(0, m_lineStart), std::exchange(m_id, std::nullopt)});
            m_pending.erase(0, m_lineStart);
            m_lineStart = 0;
        }
    }
}

} // namespace masticlever::forwarding
