#include <masticlever/common/digest.h>
#include <masticlever/peers/catch-up.h>

#include <algorithm>
#include <utility>

namespace masticlever::peers
{

catch_up::catch_up(catch_up_options options, std::string self) : m_options(options), m_self(std::move(self)) { }

void catch_up::onPeer(std::string_view address, platform::log_offset offset, common::instant now)
{
    auto found = m_peers.find(address);
    if (found == m_peers.end()) {
        found = m_peers.emplace(std::string(address), peer{}).first;
        found->second.rank = common::stableHash(m_self + ' ' + found->first);
    }
    found->second.offset = offset;
    found->second.lastReportAt = now;
}

void catch_up::onApplied(platform::log_offset offset)
{
    if (offset > m_applied) {
        m_applied = offset;
        m_behindSince.reset();
    }
}

void catch_up::avoid(const std::string &address, common::instant now)
{
    const auto found = m_peers.find(address);
    if (found != m_peers.end()) {
        found->second.avoidedUntil = now + m_options.avoidFor;
    }
}

void catch_up::onAnswer(std::uint64_t id, bool isSuccess, common::instant now)
{
    if (!m_inFlight || m_inFlight->id != id) {
        return;
    }
    const bool hasAdvanced = m_applied >= m_inFlight->from;
    if (!isSuccess || !hasAdvanced) {
        avoid(m_inFlight->address, now);
    } else {
        // Request the remaining records without waiting for behindFor again.
        m_behindSince = now - m_options.behindFor;
    }
    m_inFlight.reset();
}

bool catch_up::isDue(common::instant now)
{
    const bool isBehind
        = std::ranges::any_of(m_peers, [&](const auto &item) { return item.second.offset > m_applied; });
    if (!isBehind) {
        m_behindSince.reset();
        return false;
    }
    if (!m_behindSince) {
        m_behindSince = now;
    }
    return !m_isLogReachable || now - *m_behindSince >= m_options.behindFor;
}

std::optional<catch_up_request> catch_up::next(common::instant now)
{
    if (m_inFlight && now - m_requestedAt >= m_options.timeout) {
        avoid(m_inFlight->address, now);
        m_inFlight.reset();
    }
    std::erase_if(m_peers, [&](const auto &item) { return now - item.second.lastReportAt > m_options.forgetAfter; });
    if (!isDue(now) || m_inFlight) {
        return std::nullopt;
    }
    const std::pair<const std::string, peer> *chosen = nullptr;
    for (const auto &candidate : m_peers) {
        const bool isUsable = candidate.second.offset > m_applied && candidate.second.avoidedUntil <= now;
        if (isUsable && (chosen == nullptr || candidate.second.rank < chosen->second.rank)) {
            chosen = &candidate;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    m_requestedAt = now;
    m_inFlight = catch_up_request{++m_lastId, chosen->first, m_applied + 1, m_options.limit};
    return m_inFlight;
}

} // namespace masticlever::peers
