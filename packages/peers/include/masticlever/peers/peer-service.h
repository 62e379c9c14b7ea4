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
/// The sockets of the peer protocol: heartbeats and news over UDP, configuration records over TCP, both on the same
/// port. Runs on the event loop of the thread that creates it.

namespace masticlever::peers
{

struct peer_settings {
    std::string listenAddress; ///< "IP:port"; port 0 takes any free one
    std::string key; ///< shared by all daemons; at least minimumKeyBytes
    gossip_options gossip;
    catch_up_options catchUp;
    std::size_t maximumConnections = 32; ///< requests of peers served at the same time
    std::chrono::milliseconds connectionTimeout{5000}; ///< for one request, from its connection to its end
};

struct peer_handlers {
    /// Up to \p limit configuration records from offset \p from that this instance holds.
    std::function<common::result<platform::log_batch>(platform::log_offset from, std::size_t limit)> recordsFrom;
    /// Applies records that a peer sent; returns the last offset that is now applied.
    std::function<platform::log_offset(const platform::log_batch &batch)> onRecords;
    /// After news were taken over from a peer; optional.
    std::function<void()> onNews;
    /// A peer finds these endpoints silent; optional.
    std::function<void(const std::vector<std::string> &endpoints)> onSuspects;
    /// Messages were dropped; \p count of that reason so far. At most once a second for a reason. Optional.
    std::function<void(std::error_code reason, std::uint64_t count)> onRefused;
};

/// Totals since the start.
struct peer_counters {
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesSent = 0; ///< UDP payload and TCP frames
    std::uint64_t bytesReceived = 0;
    std::uint64_t refusedMalformed = 0;
    std::uint64_t refusedTooLarge = 0;
    std::uint64_t refusedUnauthenticated = 0;
    std::uint64_t refusedRepeated = 0; ///< repeated, reordered or reflected datagrams
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

    /// Starts both sockets and the heartbeats; returns the port. error::malformed for an address or key that is
    /// not valid, error::unavailable when the port is taken.
    common::result<std::uint16_t> listen();

    /// The state that the heartbeats carry.
    void setState(bool isLogReachable, platform::log_offset configurationOffset);
    /// This instance is leaving: told to the peers at once.
    void announceLeaving();
    /// Addresses, "IP:port", at which other instances may be found.
    void setContacts(std::vector<std::string> contacts);
    /// An endpoint said that it is leaving: told to the peers at once.
    void announceEndpointLeaving(const membership::endpoint_notice &notice);

    /// Endpoints are silent here: told to the peers at once.
    void announceSuspects(std::vector<std::string> endpoints);

    const peer_counters &counters() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace masticlever::peers
