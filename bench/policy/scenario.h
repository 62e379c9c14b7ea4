#pragma once

#include "deployment.h"

#include <masticlever/routing/router.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// One seeded scenario and what it measured.

namespace masticlever::policy_bench
{

enum class fault_kind { none, half_speed, dead, silent, burst, data_centre };

struct scenario {
    const deployment *where = nullptr;
    routing::policy_kind policy = routing::policy_kind::prefix_affinity;
    double load = 0.7; ///< of the deployment's capacity
    fault_kind fault = fault_kind::none;
    std::string faultPool; ///< overrides the deployment's choice
    std::uint64_t seed = 1;
    common::duration warmUp = std::chrono::seconds(10); ///< not measured
    common::duration measured = std::chrono::seconds(60); ///< the fault begins a tenth into it
    routing::router_options routing;
};

struct quantiles {
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

struct measurement {
    std::size_t asked = 0;
    std::size_t answered = 0; ///< in full within the deadline
    std::size_t refused = 0; ///< not run
    std::size_t failed = 0;
    std::size_t unknown = 0;
    std::size_t silent = 0; ///< no reply at all
    double attainment = 0;
    double goodput = 0; ///< answered per second
    double callsPerAnswer = 0; ///< of the least number of calls
    double worstTeam = 1; ///< attainment
    double smallTeams = 1; ///< attainment of the small teams together
    double refusalMeanMs = 0; ///< from asking to the refusal
    double lateRefusals = 0; ///< share given later than 20 ms after they could be decided
    quantiles firstTokenMs;
    quantiles tokenGapMs;
    std::map<std::string, double> callsByStage; ///< per answered request
};

measurement runScenario(const scenario &what);

const char *policyName(routing::policy_kind policy);
const char *faultName(fault_kind fault);

} // namespace masticlever::policy_bench
