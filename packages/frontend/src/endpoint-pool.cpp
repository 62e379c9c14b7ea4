#include "endpoint-pool.h"

#include <utility>

namespace masticlever::frontend
{

namespace
{

constexpr http1::reader_limits answerLimits{65536, std::uint64_t{64} * 1024 * 1024};

} // namespace

endpoint_pool::connection *endpoint_pool::acquire(const std::string &endpointId, const std::string &address,
                                                  common::instant now)
{
    for (auto &[known, item] : m_entries) {
        if (item.isIdle && item.endpointId == endpointId && known->isReusable() && now - item.since < item.idleLimit) {
            item.isIdle = false;
            return known;
        }
    }
    const auto target = net::parseAddress(address);
    if (!target) {
        return nullptr;
    }
    auto opened = std::make_unique<connection>(target.value(), m_options.socket, answerLimits);
    connection *raw = opened.get();
    m_entries.emplace(raw, entry{std::move(opened), endpointId, now, {}, false});
    return raw;
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
    found->second.since = now;
    found->second.idleLimit = m_options.idleWithoutLimit;
    if (idleLimit) {
        found->second.idleLimit = common::scaled(*idleLimit, m_options.idleUse);
    }
}

void endpoint_pool::sweep(common::instant now)
{
    std::vector<connection *> late;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        entry &item = it->second;
        const bool isOver = item.isIdle && (!it->first->isReusable() || now - item.since >= item.idleLimit);
        if (!item.isIdle && !it->first->isConnected() && now - item.since >= m_options.connectLimit) {
            late.push_back(it->first);
        }
        it = isOver ? m_entries.erase(it) : std::next(it);
    }
    for (connection *raw : late) {
        raw->failConnecting(); // its handler gives it back
    }
    m_ended.clear();
}

void endpoint_pool::dropIdle()
{
    std::erase_if(m_entries, [](const auto &item) { return item.second.isIdle; });
}

} // namespace masticlever::frontend
