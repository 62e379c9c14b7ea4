#pragma once

#include <masticlever/common/random-source.h>
#include <masticlever/frontend/frontend-settings.h>
#include <masticlever/protocol/site-protocol.h>

#include <memory>
#include <string>

/// \file
/// The daemon that serves a site's requests: callers in front, endpoints and their stages behind, the site's store
/// for what must last, the other instances beside it.

namespace masticlever::frontend
{

class frontend_daemon
{
public:
    /// \p protocol and \p random must outlive the daemon.
    frontend_daemon(frontend_settings settings, const protocol::site_protocol &protocol, common::random_source &random,
                    std::string incarnation);
    ~frontend_daemon();
    frontend_daemon(const frontend_daemon &) = delete;
    frontend_daemon &operator=(const frontend_daemon &) = delete;

    /// Opens the listeners; a message for people when one cannot be opened.
    std::string start();
    /// A planned stop: finishes what is under way and ends the event loop.
    void stop();
    /// The settings file has changed.
    void reload(const frontend_settings &settings);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace masticlever::frontend
