#pragma once

#include <masticlever/common/time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Settings of the frontend daemon, read from an INI file and validated key by key.

namespace masticlever::frontend
{

struct frontend_settings {
    std::string name;
    std::string dataCentre;
    std::string frontAddress; ///< "IP:port" for callers
    std::string readyAddress; ///< for the load balancer's readiness checks
    std::string metricsAddress; ///< empty: metrics are not served
    std::string gossipAddress; ///< UDP and TCP, for membership and configurations
    std::string homeAddress; ///< TCP, for stage results
    std::vector<std::string> contacts; ///< gossip addresses of instances that may be running
    std::string fleetKey; ///< authenticates messages between instances
    std::string storeAddress;
    double retryRatio = 0.2; ///< retries that the fleet may send per request
    double retrySlack = 100; ///< retries that the fleet may send in addition to the ratio
    std::chrono::milliseconds retryWindow{10000};
    std::chrono::milliseconds stopLimit{8000}; ///< time from SIGTERM until the process is killed
    /// Time in which an evacuation must be in force, and how long an instance that cannot know the evacuations serves
    /// no requests after its start; 0: it serves them at once.
    std::chrono::milliseconds evacuationLimit{0};
    std::size_t memoryBytes = 0; ///< memory limit of the process; 0: none
    double cores = 0; ///< processor time that the process may use, in cores; 0: unknown
    double linkMbps = 0; ///< bandwidth of the machine's link in megabits per second; 0: unknown
    /// Instances share the load of the model endpoints of services with at most this many slots per endpoint; 0: of
    /// none. With more slots, the random variation of an endpoint's load is less than a fifth of them.
    std::size_t sharedLoadMaximumSlots = 20;
    double connectionMemoryShare = 0.2; ///< of the memory, for the receive buffers of idle callers
    double callerMemoryShare = 0.35; ///< of the memory limit, for what callers make the process hold
    std::size_t maximumPieces = 4096; ///< of one request, over all its stages
    std::size_t connectionsPerAddress = 0; ///< of callers; 0: five eighths of the files that the process may open
    std::string logLevel = "info";

    bool operator==(const frontend_settings &) const = default;
};

/// \c message is one line that names the file, the key and the error.
struct frontend_settings_error {
    std::string message;
};

std::variant<frontend_settings, frontend_settings_error> readFrontendSettings(const std::string &file);

} // namespace masticlever::frontend
