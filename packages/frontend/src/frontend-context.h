#pragma once

#include "crash-monitor.h"
#include "endpoint-access.h"
#include "latency-estimator.h"
#include "load-sharing.h"
#include "piece-service.h"

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/random-source.h>
#include <masticlever/common/time.h>
#include <masticlever/forwarding/endpoint-choice.h>
#include <masticlever/forwarding/retry-share.h>
#include <masticlever/frontend/frontend-settings.h>
#include <masticlever/membership/prompt-faults.h>
#include <masticlever/protocol/wire-protocol.h>
#include <masticlever/telemetry/metrics.h>

#include <memory>

/// \file
/// Objects that all requests of one daemon share.

namespace masticlever::frontend
{

struct frontend_context {
    const frontend_settings &settings;
    const protocol::wire_protocol &protocol;
    common::random_source &random;
    catalog::endpoint_directory &directory;
    forwarding::endpoint_choice &choice;
    forwarding::retry_share &retries;
    endpoint_pool &pool;
    endpoint_gate &gate;
    endpoint_reports &reports;
    crash_monitor &crashes;
    membership::prompt_fault_table &promptFaults;
    net::receive_budget &budget;
    piece_service &pieces;
    latency_estimator &latencyEstimator;
    load_sharing &load;
    telemetry::metric_registry &metrics;
    std::shared_ptr<const catalog::service_configuration> &configuration; ///< null until one is in force
};

/// Current time of the monotonic clock.
common::instant monotonicNow();

} // namespace masticlever::frontend
