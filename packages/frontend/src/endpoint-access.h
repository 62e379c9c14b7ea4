#pragma once

#include "endpoint-pool.h"
#include "endpoint-reports.h"

#include <masticlever/net/receive-budget.h>
#include <masticlever/protocol/site-protocol.h>

/// \file
/// What a call to an endpoint needs beside its own content.

namespace masticlever::frontend
{

struct endpoint_access {
    endpoint_pool &pool;
    const protocol::site_protocol &protocol;
    endpoint_reports &reports;
    net::receive_budget &budget;
};

/// Bytes of an answer of which only the head counts; an endpoint that sends more is not read to its end.
constexpr std::size_t maximumUnusedBytes = 65536;

} // namespace masticlever::frontend
