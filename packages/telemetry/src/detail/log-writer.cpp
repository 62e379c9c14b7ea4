#include "log-writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>

namespace masticlever::telemetry::detail
{

namespace
{

constexpr double linesPerSecond = 200; ///< of one event: several times the requests of an instance at its peak
constexpr double burstLines = 400;

} // namespace

bool log_writer::admit(event number, clock::time_point now)
{
    const auto [found, isFirst] = m_allowances.try_emplace(number, allowance{burstLines, now});
    allowance &state = found->second;
    const double seconds = std::chrono::duration<double>(now - state.at).count();
    state.lines = std::min(burstLines, state.lines + seconds * linesPerSecond);
    state.at = now;
    if (state.lines < 1) {
        ++m_dropped;
        return false;
    }
    state.lines -= 1;
    return true;
}

void log_writer::write(std::string_view line)
{
    pollfd target{m_descriptor, POLLOUT, 0};
    if (::poll(&target, 1, 0) <= 0 || (target.revents & POLLOUT) == 0) {
        ++m_dropped;
        return;
    }
    // A pipe that can be written to takes a line of this size at once.
    const std::string text = std::string(line) + '\n';
    if (::write(m_descriptor, text.data(), text.size()) < 0) {
        ++m_dropped;
    }
}

std::uint64_t log_writer::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

} // namespace masticlever::telemetry::detail
