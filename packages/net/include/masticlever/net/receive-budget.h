#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

/// \file
/// Limits the memory for received data that is not processed yet, over all connections of a process. Peers that send
/// without end, even many at once, can occupy only a bounded amount, and small messages of other peers still fit.

namespace masticlever::net
{

class receive_budget
{
public:
    /// Memory reserved for one exchange with a peer. Must not outlive the budget.
    class holding
    {
    public:
        /// Exchanges with the same \p peer share the limit of that peer.
        holding(receive_budget &budget, std::string_view peer);
        ~holding();
        holding(const holding &) = delete;
        holding &operator=(const holding &) = delete;

        /// Changes the reservation to \p bytes. Returns false and leaves it unchanged when that exceeds the limit of
        /// the peer; the caller should then close the connection.
        bool resize(std::size_t bytes);
        /// Releases the reservation and starts an empty one for \p peer.
        void restart(std::string_view peer);

    private:
        receive_budget &m_budget;
        std::string m_peer;
        std::size_t m_bytes = 0;
    };

    /// \p limit is the number of bytes for all peers together.
    explicit receive_budget(std::size_t limit) : m_limit(limit) { }

    std::size_t heldBytes() const { return m_held; }

private:
    bool mayHold(std::string_view peer, std::size_t additional) const;
    void change(const std::string &peer, std::size_t from, std::size_t to);

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::map<std::string, std::size_t, std::less<>> m_heldByPeer; ///< peers with a nonzero reservation
};

} // namespace masticlever::net
