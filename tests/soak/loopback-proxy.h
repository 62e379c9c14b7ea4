#pragma once

#include <masticlever/net/stream-socket.h>

#include <QObject>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

/// \file
/// TCP proxy on loopback that injects link faults between two programs.

namespace masticlever::soak
{

enum class link_state {
    open,
    delayed,
    responses_dropped, ///< drops all bytes from the target
    silent, ///< drops the bytes of both directions and forwards no close
    refused, ///< aborts new connections immediately
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
    /// Resets all connections and accepts none until resume() is called, like a process that has ended.
    void stop();
    std::string resume(); ///< returns the address, which may be a new one

private:
    class pair;

    std::string m_target;
    std::uint16_t m_port = 0; ///< any free one at first
    link_state m_state = link_state::open;
    std::unique_ptr<net::listener> m_listener;
    std::map<pair *, std::unique_ptr<pair>> m_pairs;
    QObject m_timers;
};

} // namespace masticlever::soak
