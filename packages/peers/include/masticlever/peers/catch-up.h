#pragma once

#include <masticlever/common/time.h>
#include <masticlever/platform/log-service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Decides when to request configuration records from a peer, and from which one. At most one request is in flight.

namespace masticlever::peers
{

struct catch_up_options {
    common::duration behindFor = std::chrono::seconds(1); ///< time that this instance's own log reads have to catch up
    common::duration timeout = std::chrono::seconds(3); ///< for one request
    common::duration avoidFor = std::chrono::seconds(5); ///< backoff for a peer whose response was unusable
    common::duration forgetAfter = std::chrono::seconds(10); ///< age at which the last report of a peer is dropped
    std::uint32_t limit = 500; ///< records per request
};

struct catch_up_request {
    std::uint64_t id = 0;
    std::string address; ///< peer address, "IP:port"
    platform::log_offset from = 1;
    std::uint32_t limit = 0;
};

class catch_up
{
public:
    /// \p self seeds the ranking of peers, so that different instances prefer different peers.
    catch_up(catch_up_options options, std::string self);

    /// Reports that the peer at \p address has applied records up to \p offset.
    void onPeer(std::string_view address, platform::log_offset offset, common::instant now);
    void onApplied(platform::log_offset offset);
    void onLogReachable(bool isReachable) { m_isLogReachable = isReachable; }
    /// Completes request \p id. Call it after applying the records of a successful response. Responses to earlier
    /// requests are ignored.
    void onAnswer(std::uint64_t id, bool isSuccess, common::instant now);

    /// Returns the request to send now, if any. Also drops a request that has timed out.
    std::optional<catch_up_request> next(common::instant now);

private:
    struct peer {
        platform::log_offset offset = 0;
        common::instant lastReportAt;
        common::instant avoidedUntil;
        std::uint64_t rank = 0;
    };

    bool isDue(common::instant now);
    void avoid(const std::string &address, common::instant now);

    catch_up_options m_options;
    std::string m_self;
    std::map<std::string, peer, std::less<>> m_peers; ///< by address
    platform::log_offset m_applied = 0;
    bool m_isLogReachable = true;
    std::optional<common::instant> m_behindSince;
    std::optional<catch_up_request> m_inFlight;
    common::instant m_requestedAt;
    std::uint64_t m_lastId = 0;
};

} // namespace masticlever::peers
