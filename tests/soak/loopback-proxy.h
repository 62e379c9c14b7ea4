#pragma once

#include <masticlever/net/stream-socket.h>

#include <QObject>

#include <chrono>
#include <map>
#include <memory>
#include <string>

/// \file
/// Passes connections on to a target on loopback, and disturbs them from outside both programs.

namespace masticlever::soak
{

enum class link_state {
    open,
    delayed,
    cut_back, ///< nothing comes back from the target
    silent, ///< nothing passes either way, and nothing is closed
    refused, ///< connections are ended at once
};

class loopback_proxy
{
public:
    explicit loopback_proxy(std::string target);
    ~loopback_proxy();

    /// Returns "IP:port".
    std::string listen();
    void setState(link_state state) { m_state = state; }
    /// Resets all connections.
    void resetAll();

private:
    class pair;

    std::string m_target;
    link_state m_state = link_state::open;
    std::unique_ptr<net::listener> m_listener;
    std::map<pair *, std::unique_ptr<pair>> m_pairs;
    QObject m_timers;
};

} // namespace masticlever::soak
