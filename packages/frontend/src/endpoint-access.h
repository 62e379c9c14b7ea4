#pragma once

#include "endpoint-gate.h"
#include "endpoint-pool.h"
#include "endpoint-reports.h"

#include <masticlever/net/receive-budget.h>
#include <masticlever/protocol/wire-protocol.h>

#include <cstddef>
#include <string>

/// \file
/// Shared objects that every call to an endpoint uses.

namespace masticlever::frontend
{

struct endpoint_access {
    endpoint_pool &pool;
    endpoint_gate &gate;
    const protocol::wire_protocol &protocol;
    endpoint_reports &reports;
    net::receive_budget &budget;
    std::size_t unsentCallBytes = 0; ///< limit for the calls to endpoints of stages together
    std::string callIdPrefix; ///< of the ids of calls to endpoints of stages; unique to this process
};

/// Body bytes to read of an answer whose head alone decides the outcome. A longer answer is aborted.
constexpr std::size_t maximumDiscardedBytes = 65536;

} // namespace masticlever::frontend
