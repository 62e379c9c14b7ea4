#include <masticlever/forwarding/retry-share.h>

#include <algorithm>

namespace masticlever::forwarding
{

namespace
{

void expire(std::deque<common::instant> &times, common::instant before)
{
    while (!times.empty() && times.front() <= before) {
        times.pop_front();
    }
}

} // namespace

void retry_share::onFleetSize(std::size_t instances)
{
    m_fleetSize = std::max(m_fleetSize, instances);
}

retry_share::history &retry_share::recentHistory(std::string_view service, common::instant now)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        found = m_services.emplace(std::string(service), history{}).first;
    }
    expire(found->second.requests, now - m_options.window);
    expire(found->second.retries, now - m_options.window);
    return found->second;
}

void retry_share::onRequest(std::string_view service, common::instant now)
{
    recentHistory(service, now).requests.push_back(now);
}

bool retry_share::isAvailable(std::string_view service, common::instant now)
{
    const history &state = recentHistory(service, now);
    const double slack = m_options.slack / static_cast<double>(m_fleetSize);
    const double allowed
        = m_options.usableShare * (m_options.ratio * static_cast<double>(state.requests.size()) + slack);
    return static_cast<double>(state.retries.size() + 1) <= allowed;
}

bool retry_share::take(std::string_view service, common::instant now)
{
    if (!isAvailable(service, now)) {
        return false;
    }
    recentHistory(service, now).retries.push_back(now);
    return true;
}

} // namespace masticlever::forwarding
