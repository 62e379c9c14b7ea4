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

constexpr double linesPerSecond = 200; ///< for each event; several times the peak request rate of an instance
constexpr double burstLines = 400;

} // namespace

bool log_writer::tryAcquire(event number, clock::time_point now)
{
    const auto [found, isFirst] = m_rateLimits.try_emplace(number, rate_limit{burstLines, now});
    rate_limit &state = found->second;
    const double seconds = std::chrono::duration<double>(now - state.refilledAt).count();
    state.tokens = std::min(burstLines, state.tokens + seconds * linesPerSecond);
    state.refilledAt = now;
    if (state.tokens < 1) {
        ++m_dropped;
        return false;
    }
    state.tokens -= 1;
    return true;
}

void log_writer::write(std::string_view line)
{
    pollfd target{m_descriptor, POLLOUT, 0};
    if (::poll(&target, 1, 0) <= 0 || (target.revents & POLLOUT) == 0) {
        ++m_dropped;
        return;
    }
    // A writable pipe accepts a line of this size in one write.
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
