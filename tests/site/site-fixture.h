#pragma once

#include "site-caller.h"
#include "site-endpoint.h"
#include "site-store.h"

#include <masticlever/common/random-source.h>
#include <masticlever/frontend/frontend-daemon.h>
#include <masticlever/net/stream-socket.h>
#include <platform/platform-protocol.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// A site in one process: a store, endpoints and daemons on real sockets, and callers.

namespace masticlever::site
{

/// Runs the event loop until \p condition holds; false after ten seconds.
bool waitFor(const std::function<bool()> &condition);

class seeded_random : public common::random_source
{
public:
    std::uint64_t next() override { return m_state = m_state * 6364136223846793005ULL + 1442695040888963407ULL; }

private:
    std::uint64_t m_state = 42;
};

struct site_answer {
    int status = 0; ///< 0: none
    std::string body;
    bool isWhole = false;
    http1::message_head head;
};

class site_fixture
{
public:
    explicit site_fixture(std::size_t daemons);
    ~site_fixture();

    /// Starts and registers an endpoint beside the daemons.
    void addEndpoint(const std::string &id, site_endpoint::kind kind, const std::string &service);
    site_endpoint &endpoint(std::size_t index) { return *m_endpoints[index]; }
    /// Starts a model endpoint m1 and makers s1 and s2 of both its stages, and waits until the first daemon serves a
    /// request with stages.
    void addPipeline();
    /// Asks a daemon for a request with two and three pieces in its stages.
    site_answer chat(std::size_t daemon, const std::string &id);
    /// Writes a configuration with the routes of the tests; \p extra is added to its routes.
    void configure(std::uint64_t version, const std::string &extra = {});
    std::size_t startDaemon();
    void killDaemon(std::size_t index) { m_daemons[index].reset(); }
    /// Memory of the daemons that start from now on, as they are told; 0: none is named.
    std::size_t memoryBytes = 0;
    frontend::frontend_daemon &daemon(std::size_t index) { return *m_daemons[index]; }
    const std::string &frontOf(std::size_t index) const { return m_fronts[index]; }
    int readinessOf(std::size_t index);
    bool waitReady(std::size_t index);

    /// Text of a request on a route of the tests, with a length.
    static std::string request(const std::string &method, const std::string &path, const std::string &id,
                               const std::string &body = {}, const std::string &fields = {});
    /// Sends \p text on a connection of its own and waits for the end.
    site_answer ask(std::size_t daemon, const std::string &text);

    site_store store;

private:
    std::string m_storeAddress;
    seeded_random m_random;
    platform::platform_protocol m_protocol;
    std::vector<std::unique_ptr<site_endpoint>> m_endpoints;
    std::vector<std::unique_ptr<frontend::frontend_daemon>> m_daemons;
    std::vector<std::string> m_fronts;
    std::vector<std::string> m_readies;
    std::uint8_t m_network = 0; ///< third number of the daemons' addresses
};

} // namespace masticlever::site
