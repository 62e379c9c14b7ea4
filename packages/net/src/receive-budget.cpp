#include <masticlever/net/receive-budget.h>

namespace masticlever::net
{

namespace
{

constexpr std::size_t peerLimitDivisor = 2; ///< one peer may hold at most the limit divided by this

} // namespace

receive_budget::holding::holding(receive_budget &budget, std::string_view peer) : m_budget(budget), m_peer(peer) { }

receive_budget::holding::~holding()
{
    m_budget.change(m_peer, m_bytes, 0);
}

bool receive_budget::holding::resize(std::size_t bytes)
{
    if (bytes > m_bytes && !m_budget.mayHold(m_peer, bytes - m_bytes)) {
        return false;
    }
    m_budget.change(m_peer, m_bytes, bytes);
    m_bytes = bytes;
    return true;
}

void receive_budget::holding::restart(std::string_view peer)
{
    resize(0);
    m_peer = peer;
}

/// When the budget is exhausted, a peer below its fair share may still grow up to that share.
bool receive_budget::mayHold(std::string_view peer, std::size_t additional) const
{
    const auto found = m_heldByPeer.find(peer);
    const std::size_t newTotal = (found == m_heldByPeer.end() ? 0 : found->second) + additional;
    if (newTotal > m_limit / peerLimitDivisor) {
        return false;
    }
    const std::size_t peers = m_heldByPeer.size() + (found == m_heldByPeer.end() ? 1 : 0);
    return m_held + additional <= m_limit || newTotal <= m_limit / peers;
}

void receive_budget::change(const std::string &peer, std::size_t from, std::size_t to)
{
    if (from == to) {
        return;
    }
    m_held += to - from;
    const auto found = m_heldByPeer.try_emplace(peer, 0).first;
    found->second += to - from;
    if (found->second == 0) {
        m_heldByPeer.erase(found);
    }
}

} // namespace masticlever::net
