#include "memory-watch.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>

namespace review
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds checkInterval{5};
constexpr milliseconds restartDelay{500};

} // namespace

memory_watch::memory_watch(deployment &site, record &log, std::size_t limitMb)
    : m_site(site), m_log(log), m_limitMb(limitMb)
{
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { check(); });
    m_timer.start(checkInterval);
}

void memory_watch::check()
{
    for (std::size_t daemon = 0; daemon < m_site.size(); ++daemon) {
        const std::size_t held = m_site.residentBytes(daemon);
        most[daemon] = std::max(most[daemon], held);
        if (held <= m_limitMb * bytesPerMegabyte || m_restarting.contains(daemon)) {
            continue;
        }
        m_log.add("daemon " + std::to_string(daemon + 1) + " holds " + std::to_string(held / bytesPerMegabyte)
                  + " MB of " + std::to_string(m_limitMb) + " and is killed");
        ++ends[daemon];
        m_restarting.insert(daemon);
        m_site.signal(daemon, SIGKILL);
        QTimer::singleShot(restartDelay, &m_timer, [this, daemon] {
            m_site.start(daemon);
            m_restarting.erase(daemon);
        });
    }
}

} // namespace review
