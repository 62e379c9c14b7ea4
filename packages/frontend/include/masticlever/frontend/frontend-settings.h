#pragma once

#include <masticlever/common/time.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Settings of a daemon that serves a site's requests, read from an INI file and checked key by key.

namespace masticlever::frontend
{

struct frontend_settings {
    std::string name;
    std::string dataCentre;
    std::string frontAddress; ///< "IP:port" for callers
    std::string readyAddress; ///< for the balancer's readiness checks
    std::string metricsAddress; ///< empty: none
    std::string gossipAddress; ///< UDP and TCP, for membership and configurations
    std::string homeAddress; ///< TCP, for stage results
    std::vector<std::string> contacts; ///< gossip addresses of instances that may run
    std::string fleetKey; ///< authenticates the messages between instances
    std::string storeAddress;
    double retryRatio = 0.2; ///< retries for each request that the fleet may send
    double retrySlack = 100; ///< retries beside these
    std::chrono::milliseconds retryWindow{10000};
    std::chrono::milliseconds stopLimit{8000}; ///< from SIGTERM until the process is killed
    std::size_t memoryBytes = 0; ///< limit of the process; 0: none
    double cores = 0; ///< processor time that the process may use, in cores; 0: not known
    double linkMbps = 0; ///< of the machine's link, megabits a second; 0: not known
    std::string logLevel = "info";

    bool operator==(const frontend_settings &) const = default;
};

/// One line that names the file, the key and what is wrong.
struct frontend_settings_error {
    std::string message;
};

std::variant<frontend_settings, frontend_settings_error> readFrontendSettings(const std::string &file);

} // namespace masticlever::frontend
