#include "endpoint-pool.h"

#include <algorithm>
#include <utility>

namespace masticlever::frontend
{

namespace
{

constexpr http1::reader_limits answerLimits{65536, std::uint64_t{64} * 1024 * 1024};

} // namespace

endpoint_pool::connection *endpoint_pool::acquire(const std::string &endpointId, const std::string &address,
                                                  forwarding::sender_role role, common::instant now)
{
    if (isFull() || !m_gate.admit(endpointId, address, role, now)) {
        return nullptr;
    }
    for (auto &[known, item] : m_entries) {
        if (item.isIdle && item.endpointId == endpointId && known->isReusable()
            && now - item.stateSince < item.idleLimit) {
            item.isIdle = false;
            return known;
        }
    }
    const auto target = net::parseAddress(address);
    if (!target) {
        return nullptr;
    }
    closeIdleAbove(m_limit - 1); // a pool with a limit of 0 is full
    auto created = std::make_unique<connection>(target.value(), m_options.socket, answerLimits);
    connection *raw = created.get();
    m_entries.emplace(raw, entry{std::move(created), endpointId, now, {}, false});
    return raw;
}

bool endpoint_pool::isFull() const
{
    const auto isBusy = [](const auto &item) { return !item.second.isIdle; };
    return m_entries.size() >= m_limit && static_cast<std::size_t>(std::ranges::count_if(m_entries, isBusy)) >= m_limit;
}

void endpoint_pool::setLimit(std::size_t connections)
{
    m_limit = connections;
    closeIdleAbove(m_limit);
}

void endpoint_pool::closeIdleAbove(std::size_t connections)
{
    while (m_entries.size() > connections) {
        auto oldest = m_entries.end();
        for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
            if (it->second.isIdle && (oldest == m_entries.end() || it->second.stateSince < oldest->second.stateSince)) {
                oldest = it;
            }
        }
        if (oldest == m_entries.end()) {
            return;
        }
        oldest->first->abandon();
        m_ended.push_back(std::move(oldest->second.owned));
        m_entries.erase(oldest);
    }
}

void endpoint_pool::release(connection *used, std::optional<common::duration> idleLimit, common::instant now)
{
    const auto found = m_entries.find(used);
    if (found == m_entries.end()) {
        return;
    }
    if (!used->isReusable()) {
        used->abandon();
        m_ended.push_back(std::move(found->second.owned));
        m_entries.erase(found);
        return;
    }
    found->second.isIdle = true;
    found->second.stateSince = now;
    found->second.idleLimit = m_options.defaultIdleLimit;
    if (idleLimit) {
        found->second.idleLimit = common::scaled(*idleLimit, m_options.idleLimitShare);
    }
}

void endpoint_pool::sweep(common::instant now)
{
    std::vector<connection *> timedOut;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        entry &item = it->second;
        const bool isExpired = item.isIdle && (!it->first->isReusable() || now - item.stateSince >= item.idleLimit);
        if (!item.isIdle && !it->first->isConnected() && now - item.stateSince >= m_options.connectTimeout) {
            timedOut.push_back(it->first);
        }
        it = isExpired ? m_entries.erase(it) : std::next(it);
    }
    for (connection *raw : timedOut) {
        raw->failConnecting(); // its handler releases it
    }
    m_ended.clear();
}

void endpoint_pool::closeIdle()
{
    std::erase_if(m_entries, [](const auto &item) { return item.second.isIdle; });
}

} // namespace masticlever::frontend
