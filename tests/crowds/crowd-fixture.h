#pragma once

#include "crowd.h"
#include "process-usage.h"
#include "site-caller.h"
#include "site-endpoint.h"
#include "site-store.h"
#include "soak-fleet.h"

#include <QCoreApplication>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// One daemon process of the platform with stand-ins of its surroundings, for crowds of callers and the bounds that
/// must hold meanwhile.

namespace masticlever::crowds
{

constexpr std::size_t memoryMegabytes = 112;
constexpr std::size_t memoryBound = memoryMegabytes * 1000 * 1000; ///< resident and received but not yet read
constexpr std::size_t fewDescriptors = 256;
constexpr std::size_t machineDescriptors = 3075; ///< as on a machine of the platform
constexpr std::size_t bodyLimit = 4194304;
/// Fields of an ordinary request, each with its line end.
inline const std::string requestFields = "Host: site.example\r\nAuthorization: Bearer key-1\r\nDeadline-Ms: 4000\r\n";

using port = soak::daemon_port;

struct crowd_options {
    std::size_t descriptorLimit = fewDescriptors;
    std::size_t stageEndpoints = 1; ///< of each stage service
    std::size_t batchSize = 4; ///< pieces in one call to an endpoint of a stage
    std::size_t parallelCalls = 1; ///< at one endpoint of a stage
    std::size_t endpointConnections = 64; ///< that an endpoint accepts
    std::size_t bodyLimit = crowds::bodyLimit;
};

class crowd_fixture
{
public:
    explicit crowd_fixture(const crowd_options &options = {});

    /// A caller that reads what it is sent.
    site::site_caller &addCaller();
    /// Connects a crowd that does not.
    void connect(std::size_t count, port target, transmission sent);
    void run(int milliseconds);
    /// Runs until the condition holds; returns false when it does not within the time for an answer.
    bool runUntil(const std::function<bool()> &condition);
    /// Checks that the process lives, stays within the bounds and answers one ordinary request.
    void checkProcess();
    /// Sends SIGTERM. Returns whether the process then ends within the bounds.
    bool stopsByItself();

    std::string addressOf(port target) const { return m_fleet.addressOf(0, target); }
    site::site_endpoint &model() { return *m_endpoints[1]; }
    /// Writes a version of the configuration that differs in these options.
    void changeConfiguration(const crowd_options &options);
    /// From now on, the endpoints of the stage service answer each piece of a call with an error.
    void failPieces(const std::string &service);

private:
    void addEndpoint(const std::string &id, site::site_endpoint::kind kind, const std::string &service);
    bool isServed();

    int m_argumentCount = 1;
    char m_name[7] = "crowds";
    char *m_arguments[2] = {m_name, nullptr};
    QCoreApplication m_application{m_argumentCount, m_arguments};
    site::site_store m_store;
    int m_version = 0; ///< of the configuration
    std::vector<std::unique_ptr<site::site_endpoint>> m_endpoints; ///< a plain one, a model, and those of stages
    std::string m_storeAddress;
    soak::soak_fleet m_fleet;
    std::size_t m_descriptorBound;
    process_usage m_usage;
    std::vector<std::unique_ptr<site::site_caller>> m_callers;
    crowd m_crowd;
};

} // namespace masticlever::crowds
