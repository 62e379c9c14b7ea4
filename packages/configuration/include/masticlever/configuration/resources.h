#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Specifications of the resources that operators declare.

namespace masticlever::configuration
{

enum class resource_kind { pipeline, team, endpoint };

/// One stage of a pipeline.
struct stage_spec {
    std::string name;
    std::string pool; ///< endpoint pool that runs this stage
    std::string path = "/v1/run"; ///< HTTP path of the call
    bool repeatable = true; ///< false: runs at most once for a request, guarded by the ledger
    bool streamed = false; ///< the answer is a token stream; only the last stage may be streamed to the caller
    std::string statusPath; ///< idempotent status query of a non-repeatable stage; empty: there is none
    std::vector<std::string> inputs; ///< earlier stages whose results the call carries; default: the stage before
    double costPerCall = 1.0; ///< weight in the cost metric
};

struct pipeline_spec {
    std::vector<stage_spec> stages; ///< in order of execution
    std::chrono::milliseconds deadline{4000}; ///< upper bound and default for callers' deadlines
    double retryBudget = 0.1; ///< retries and hedges per recent success
    bool hedging = false; ///< allow a second call when the first one is slow; costs more calls
};

struct team_spec {
    std::vector<std::string> tokenDigests; ///< SHA-256 of each accepted token, lower-case hexadecimal
    std::vector<std::string> pipelines; ///< pipelines that the team may call
    double weight = 1.0; ///< share under contention
    std::size_t maxInFlight = 64; ///< per instance
    std::size_t maxBodyBytes = 262144;
};

struct endpoint_spec {
    std::string pool;
    std::string address; ///< "IP:port"
    std::string dataCentre;
    bool checksFencing = false; ///< refuses orders and calls with an old fencing number
    std::size_t slots = 8; ///< calls that it runs side by side
    bool draining = false; ///< gets no new work
};

/// A resource and the log offset of the change that last wrote it.
template <typename Spec> struct resource {
    std::string name;
    std::uint64_t version = 0;
    Spec spec;
};

} // namespace masticlever::configuration
