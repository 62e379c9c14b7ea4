#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// \file
/// Specifications of the resources that operators configure.

namespace masticlever::configuration
{

enum class resource_kind { pipeline, team, endpoint };

/// One stage of a pipeline.
struct stage_spec {
    std::string name;
    std::string pool; ///< endpoint pool that runs this stage
    std::string path = "/v1/run"; ///< HTTP path of the endpoint call
    bool repeatable = true; ///< false: runs at most once per request, which the ledger enforces
    bool streamed = false; ///< the answer is a token stream; only the last stage may be streamed to the caller
    std::string statusPath; ///< HTTP path of the idempotent status query of a non-repeatable stage; empty: none
    std::vector<std::string> inputs; ///< earlier stages whose results the call contains; default: the previous stage
    double costPerCall = 1.0; ///< weight in the cost metric
};

struct pipeline_spec {
    std::vector<stage_spec> stages; ///< in execution order
    std::chrono::milliseconds deadline{4000}; ///< maximum and default of callers' deadlines
    double retryBudget = 0.1; ///< retries and hedged calls allowed per recent success
    bool hedging = false; ///< send a second call when the first is slow, at the cost of more calls
};

struct team_spec {
    std::vector<std::string> tokenDigests; ///< SHA-256 of each accepted token, lower-case hexadecimal
    std::vector<std::string> pipelines; ///< pipelines that the team may call
    double weight = 1.0; ///< share of capacity under contention
    std::size_t maxInFlight = 64; ///< per instance
    std::size_t maxBodyBytes = 262144;
};

struct endpoint_spec {
    std::string pool;
    std::string address; ///< "IP:port"
    std::string dataCentre;
    bool checksFencing = false; ///< rejects orders and calls with an outdated fencing number
    std::size_t slots = 8; ///< concurrent calls
    bool draining = false; ///< receives no new work
};

/// A named resource.
template <typename Spec> struct resource {
    std::string name;
    std::uint64_t version = 0; ///< log offset of the change that last wrote it
    Spec spec;
};

} // namespace masticlever::configuration
