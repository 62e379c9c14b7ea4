#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

/// \file
/// Memory for what was received and is not used yet, shared by all connections of a process. Answers peers that send
/// without end, many at once: what they can make the process hold stays bounded, and the others' small messages pass.

namespace masticlever::net
{

class receive_budget
{
public:
    /// What one exchange with a peer holds. Not to outlive the budget.
    class holding
    {
    public:
        /// Exchanges with the same \p peer share what it may hold.
        holding(receive_budget &budget, std::string_view peer);
        ~holding();
        holding(const holding &) = delete;
        holding &operator=(const holding &) = delete;

        /// Holds \p bytes from now on in place of what was held. False when the peer may not hold so much: it holds as
        /// much as before, and the connection is to be ended.
        bool resize(std::size_t bytes);
        /// Gives all back and holds for \p peer from now on.
        void restart(std::string_view peer);

    private:
        receive_budget &m_budget;
        std::string m_peer;
        std::size_t m_bytes = 0;
    };

    /// \p limit in bytes, for all peers together.
    explicit receive_budget(std::size_t limit) : m_limit(limit) { }

    std::size_t heldBytes() const { return m_held; }

private:
    bool mayHold(std::string_view peer, std::size_t more) const;
    void change(const std::string &peer, std::size_t from, std::size_t to);

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::map<std::string, std::size_t, std::less<>> m_byPeer; ///< those that hold something
};

} // namespace masticlever::net
