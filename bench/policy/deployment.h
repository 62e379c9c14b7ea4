#pragma once

#include <masticlever/common/time.h>
#include <masticlever/configuration/snapshot.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The two deployments of today: pools, pipelines, teams and the mix of requests.

namespace masticlever::policy_bench
{

struct pool_model {
    std::string name;
    std::size_t endpoints = 1;
    std::size_t slots = 1;
    common::duration service{}; ///< mean of a plain service; engines go by tokens
    bool engine = false;
};

struct traffic {
    std::string pipeline;
    double share = 1; ///< of all requests
};

struct deployment {
    std::string name;
    std::size_t instances = 14;
    std::size_t dataCentres = 3;
    common::duration hop{}; ///< one way between instances and endpoints
    double capacity = 1; ///< requests per second at load 1.0
    std::vector<pool_model> pools;
    std::vector<traffic> mix;
    std::vector<double> teamShares; ///< of all requests, largest first
    configuration::snapshot_ptr configuration;
    std::string slowPool; ///< slowed by the half-speed fault
    std::string hitPool; ///< holds the endpoint that dies or falls silent

    const pool_model &pool(std::string_view poolName) const;
};

deployment slipperDeployment(bool hedging);
deployment quiltDeployment(bool hedging);

std::string endpointName(const pool_model &pool, std::size_t index);
std::string teamName(std::size_t index);

} // namespace masticlever::policy_bench
