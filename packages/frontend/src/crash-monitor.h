#pragma once

#include <masticlever/common/time.h>
#include <masticlever/net/stream-socket.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Distinguishes the crash of an endpoint from a reset of connections: after a call is cut off, it checks whether the
/// endpoint still accepts connections.

namespace masticlever::frontend
{

/// A call that was cut off before its answer had made progress.
struct interrupted_call {
    std::string requestId;
    std::vector<std::uint64_t> parts; ///< fingerprints of the request's shared prompt parts
    common::instant sentAt;
    common::instant endedAt;
};

struct endpoint_crash {
    std::string endpointId;
    std::uint64_t incarnation = 0; ///< fingerprint of the endpoint's incarnation
    std::vector<interrupted_call> calls;
    bool isNew = true; ///< false for calls that were cut off later than the first ones
};

struct crash_monitor_options {
    common::duration connectTimeout = std::chrono::milliseconds(250);
    std::size_t connectAttempts = 4;
    /// Calls that are cut off within this time after a crash of the same incarnation belong to it.
    common::duration crashRetention = std::chrono::seconds(10);
    std::size_t maximumCalls = 64; ///< of one crash; further ones are ignored
};

class crash_monitor
{
public:
    /// Called from onTick(); for one crash again if further calls are found to belong to it.
    using crash_handler = std::function<void(const endpoint_crash &crash)>;

    crash_monitor(crash_monitor_options options, crash_handler onCrash);
    ~crash_monitor();

    /// \p startedAtMs identifies the incarnation of the endpoint at \p address.
    void onInterrupted(const std::string &endpointId, std::uint64_t startedAtMs, const std::string &address,
                       interrupted_call call);
    void onTick(common::instant now);

    static std::uint64_t incarnationOf(const std::string &endpointId, std::uint64_t startedAtMs);

private:
    class connection_check;

    struct suspect {
        std::string endpointId;
        net::socket_address address;
        std::unique_ptr<connection_check> check; ///< null once the crash is confirmed
        std::size_t attempts = 0;
        common::instant since; ///< begin of the check, or time of the confirmation
        bool isReported = false;
        std::vector<interrupted_call> calls; ///< not reported yet
    };

    void beginCheck(suspect &item, common::instant now);
    /// Returns false if the endpoint has not crashed or this cannot be found out.
    bool advance(std::uint64_t incarnation, suspect &item, common::instant now);

    crash_monitor_options m_options;
    crash_handler m_onCrash;
    std::map<std::uint64_t, suspect> m_suspects; ///< by incarnation
};

} // namespace masticlever::frontend
