#pragma once

#include <masticlever/common/random-source.h>
#include <masticlever/frontend/frontend-settings.h>
#include <masticlever/protocol/wire-protocol.h>

#include <memory>
#include <string>

/// \file
/// The daemon that serves the requests of a site. It forwards them from callers to endpoints and their stages, reads
/// configuration and registrations from the site's store, and coordinates with the other instances of the fleet.

namespace masticlever::frontend
{

class frontend_daemon
{
public:
    /// \p protocol and \p random must outlive the daemon.
    frontend_daemon(frontend_settings settings, const protocol::wire_protocol &protocol, common::random_source &random,
                    std::string incarnation);
    ~frontend_daemon();
    frontend_daemon(const frontend_daemon &) = delete;
    frontend_daemon &operator=(const frontend_daemon &) = delete;

    /// Opens the listeners. Returns an empty string, or a readable message when one cannot be opened.
    std::string start();
    /// Stops gracefully: finishes the requests in flight and then ends the event loop.
    void stop();
    /// Applies those changed settings that can change at run time; others, such as addresses, need a restart.
    void reload(const frontend_settings &settings);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace masticlever::frontend
