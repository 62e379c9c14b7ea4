#pragma once

#include <masticlever/common/result.h>
#include <masticlever/membership/membership.h>
#include <masticlever/peers/catch-up.h>
#include <masticlever/peers/gossip.h>
#include <masticlever/platform/log-service.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

/// \file
/// The sockets of the peer protocol: heartbeats and membership updates over UDP, configuration records over TCP, both
/// on the same port. Runs on the event loop of the thread that creates it.

namespace masticlever::peers
{

struct peer_settings {
    std::string listenAddress; ///< "IP:port"; port 0 selects any free port
    std::string key; ///< shared by all daemons; at least minimumKeyBytes long
    gossip_options gossip;
    catch_up_options catchUp;
    std::size_t maximumConnections = 32; ///< concurrent connections from peers; more are closed
    std::chrono::milliseconds connectionTimeout{5000}; ///< for one request, from accepting the connection
};

struct peer_handlers {
    /// Returns up to \p limit of this instance's configuration records, starting at offset \p from.
    std::function<common::result<platform::log_batch>(platform::log_offset from, std::size_t limit)> recordsFrom;
    /// Applies records received from a peer; returns the last applied offset.
    std::function<platform::log_offset(const platform::log_batch &batch)> onRecords;
    /// Called after a message of a peer was merged into the membership table. Optional.
    std::function<void()> onNews;
    /// Called when a peer reports endpoints that do not respond to it. Optional.
    std::function<void(const std::vector<std::string> &endpoints)> onSuspects;
    /// Called when messages are dropped, at most once a second for each reason; \p count is the total for \p reason.
    /// Optional.
    std::function<void(std::error_code reason, std::uint64_t count)> onRefused;
};

/// Totals since the service was created.
struct peer_counters {
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesSent = 0; ///< UDP payload and TCP frames
    std::uint64_t bytesReceived = 0;
    std::uint64_t refusedMalformed = 0;
    std::uint64_t refusedTooLarge = 0;
    std::uint64_t refusedUnauthenticated = 0;
    std::uint64_t refusedRepeated = 0; ///< duplicate, reordered or reflected datagrams
    std::uint64_t recordRequestsServed = 0;
    std::uint64_t recordRequestsSent = 0;
    std::uint64_t recordRequestsFailed = 0;
};

class peer_service
{
public:
    /// \p table must outlive this object.
    peer_service(peer_settings settings, membership::membership_table &table, peer_handlers handlers);
    ~peer_service();
    peer_service(const peer_service &) = delete;
    peer_service &operator=(const peer_service &) = delete;

    /// Opens both sockets, starts sending heartbeats and returns the port. Returns error::malformed for an invalid
    /// address or key, error::unavailable when the port is in use.
    common::result<std::uint16_t> listen();

    /// Sets the state that is sent with the heartbeats.
    void setState(bool isLogReachable, platform::log_offset configurationOffset);
    /// Notifies peers immediately that this instance is leaving.
    void announceLeaving();
    /// Sets the addresses, "IP:port", at which other instances may run.
    void setContacts(std::vector<std::string> contacts);
    /// Notifies peers immediately that an endpoint has announced its leaving.
    void announceEndpointLeaving(const membership::endpoint_notice &notice);

    /// Notifies peers immediately of changes in the table of prompt faults.
    void announcePromptFaults();

    /// Notifies peers immediately of endpoints that do not respond to this instance.
    void announceSuspects(std::vector<std::string> endpoints);

    const peer_counters &counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace masticlever::peers
