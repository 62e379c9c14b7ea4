#pragma once

#include <masticlever/calls/call-client.h>
#include <masticlever/runs/run-table.h>
#include <masticlever/telemetry/metrics.h>

#include <string>
#include <string_view>

/// \file
/// Request metrics: outcomes, latency, attained deadlines, and cost by team and stage.

namespace masticlever::masticleverd
{

class run_metrics
{
public:
    explicit run_metrics(telemetry::metric_registry &registry) : m_registry(registry) { }

    void onReply(std::string_view pipeline, std::string_view team, runs::disposition outcome,
                 common::duration sinceArrival);
    void onFirstText(std::string_view pipeline, common::duration sinceArrival);
    void onEnd(const runs::run_end &run);
    void onDropped(calls::drop_reason reason);
    void onUnmatchedAnswer();

private:
    telemetry::metric_registry &m_registry;
};

} // namespace masticlever::masticleverd
