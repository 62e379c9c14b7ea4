#include <masticlever/net/receive-budget.h>

namespace masticlever::net
{

namespace
{

constexpr std::size_t peerShare = 2; ///< one peer alone may hold the limit divided by this

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

/// Once all is taken, a peer that has less than its even share may still hold more.
bool receive_budget::mayHold(std::string_view peer, std::size_t more) const
{
    const auto found = m_byPeer.find(peer);
    const std::size_t wanted = (found == m_byPeer.end() ? 0 : found->second) + more;
    if (wanted > m_limit / peerShare) {
        return false;
    }
    const std::size_t peers = m_byPeer.size() + (found == m_byPeer.end() ? 1 : 0);
    return m_held + more <= m_limit || wanted <= m_limit / peers;
}

void receive_budget::change(const std::string &peer, std::size_t from, std::size_t to)
{
    if (from == to) {
        return;
    }
    m_held += to - from;
    const auto found = m_byPeer.try_emplace(peer, 0).first;
    found->second += to - from;
    if (found->second == 0) {
        m_byPeer.erase(found);
    }
}

} // namespace masticlever::net
