#pragma once

#include <masticlever/common/time.h>
#include <masticlever/platform/log-service.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// When to ask a peer for configuration records, and which. One request is under way at a time.

namespace masticlever::peers
{

struct catch_up_options {
    common::duration behindFor = std::chrono::seconds(1); ///< patience with an instance's own log reads
    common::duration timeout = std::chrono::seconds(3); ///< of one request
    common::duration avoidFor = std::chrono::seconds(5); ///< a peer whose answer was of no use
    common::duration forgetAfter = std::chrono::seconds(10); ///< what a silent peer said last
    std::uint32_t limit = 500; ///< records in one request
};

struct catch_up_request {
    std::uint64_t id = 0;
    std::string address; ///< of the peer, "IP:port"
    platform::log_offset from = 1;
    std::uint32_t limit = 0;
};

class catch_up
{
public:
    /// \p self tells instances apart, so that they ask different peers.
    catch_up(catch_up_options options, std::string self);

    /// A peer says that it has applied records up to \p offset.
    void onPeer(std::string_view address, platform::log_offset offset, common::instant now);
    void onApplied(platform::log_offset offset);
    void onLogReachable(bool isReachable) { m_isLogReachable = isReachable; }
    /// To be called after the records of a good answer were applied; answers to former requests are ignored.
    void onAnswer(std::uint64_t id, bool isGood, common::instant now);

    /// The request to send now, if any. Also ends a request that has timed out.
    std::optional<catch_up_request> next(common::instant now);

private:
    struct peer {
        platform::log_offset offset = 0;
        common::instant heardAt;
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
    std::optional<catch_up_request> m_underWay;
    common::instant m_askedAt;
    std::uint64_t m_lastId = 0;
};

} // namespace masticlever::peers
