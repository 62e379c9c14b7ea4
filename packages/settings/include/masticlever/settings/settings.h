#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Settings of the daemon, read from an INI file and validated.

namespace masticlever::settings
{

struct socket_address {
    std::string host; ///< IP address
    std::uint16_t port = 0; ///< 0: any free port

    std::string toString() const { return host + ':' + std::to_string(port); }
};

struct daemon_settings {
    std::string name;
    std::string dataCentre;

    socket_address gateway;
    std::string certificateFile; ///< PEM; empty: plain HTTP
    std::string privateKeyFile; ///< PEM
    std::size_t bodyLimitBytes = 262144;
    std::size_t callerMemoryMegabytes = 40; ///< that all callers together make the process hold
    std::chrono::milliseconds idleTimeout{120000}; ///< of a caller's connection without a request

    std::vector<std::string> readTokenDigests; ///< SHA-256; operators with read access
    std::vector<std::string> changeTokenDigests; ///< SHA-256; operators with read and change access

    std::string platformUrl;
    std::chrono::milliseconds listInterval{1000};

    socket_address peers;
    std::string peersKey; ///< shared secret for messages between the instances
    std::chrono::milliseconds heartbeatInterval{500};

    std::chrono::milliseconds suspectAfter{3000}; ///< an instance without a heartbeat for so long counts as lost
    std::chrono::milliseconds claimTimeout{1500};
    std::chrono::milliseconds ledgerWindow{86400000};

    std::size_t capacity = 256; ///< maximum number of requests in flight
    std::chrono::milliseconds queueLimit{1500};
    std::string routingPolicy = "prefix_affinity";
    std::size_t subsetSize = 24; ///< number of endpoints of a pool that one instance uses; 0: all

    std::uint64_t snapshotRecords = 200; ///< number of configuration records between snapshots

    std::chrono::milliseconds drainNotice{3000}; ///< how long requests are accepted after announcing the drain
    std::chrono::milliseconds drainLimit{600000}; ///< maximum wait for requests in progress

    std::string traceCollectorUrl; ///< OTLP/HTTP; empty: tracing is off
    std::string logLevel = "info";
};

/// One-line message that names the file, section, key and allowed values.
struct settings_error {
    std::string message;
};

std::variant<daemon_settings, settings_error> readSettings(const std::string &file);

/// Description of a key for the settings reference.
struct key_description {
    std::string section;
    std::string key;
    bool required = false;
    std::string allowed;
};

/// Returns all keys in the order of the settings reference.
std::vector<key_description> describeKeys();

} // namespace masticlever::settings
