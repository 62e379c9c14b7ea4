#pragma once

#include "endpoint-access.h"
#include "piece-service.h"
#include "service-pace.h"

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/random-source.h>
#include <masticlever/common/time.h>
#include <masticlever/forwarding/endpoint-choice.h>
#include <masticlever/forwarding/retry-share.h>
#include <masticlever/frontend/frontend-settings.h>
#include <masticlever/protocol/site-protocol.h>
#include <masticlever/telemetry/metrics.h>

#include <memory>

/// \file
/// What the requests of one daemon share.

namespace masticlever::frontend
{

struct frontend_context {
    const frontend_settings &settings;
    const protocol::site_protocol &protocol;
    common::random_source &random;
    catalog::endpoint_directory &directory;
    forwarding::endpoint_choice &choice;
    forwarding::retry_share &retries;
    endpoint_pool &pool;
    endpoint_reports &reports;
    net::receive_budget &budget;
    piece_service &pieces;
    service_pace &pace;
    telemetry::metric_registry &metrics;
    std::shared_ptr<const catalog::service_configuration> &configuration; ///< in force; null until one is known
};

/// The present time on the monotonic clock.
common::instant presentInstant();

} // namespace masticlever::frontend
