#pragma once

#include <masticlever/common/time.h>

#include <cstddef>

/// \file
/// What an instance knows of an endpoint's load from the reports of all other instances.

namespace masticlever::routing
{

struct endpoint_view {
    double othersInFlight = 0; ///< requests of other instances, as last reported
    double othersTokens = 0; ///< prompt and expected output tokens of these requests
    double othersPendingTokens = 0; ///< prompt tokens of those of them that have no answer yet
    double failureShare = 0; ///< of the endpoint's recent answers to all instances, 0 to 1
    std::size_t evidence = 0; ///< number of instances whose reports the failure share rests on
    double pace = 1; ///< time that work takes relative to the service's usual time; 2: twice as long
    common::duration age{}; ///< of the oldest report in the sums
    bool isKnown = false; ///< whether there is any report
};

} // namespace masticlever::routing
