#include "run-metrics.h"

#include <array>
#include <chrono>

namespace masticlever::masticleverd
{

namespace
{

using telemetry::metric_family;

constexpr std::array requestBuckets{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0};
constexpr std::array firstTextBuckets{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.61, 0.8, 1.2, 2.4};

constexpr metric_family requests{"masticlever_requests_total", "Answers to callers, by outcome."};
constexpr metric_family attained{"masticlever_requests_attained_total",
                                 "Requests answered in full within their deadline."};
constexpr metric_family ended{"masticlever_requests_ended_total", "Requests that are over."};
constexpr metric_family requestSeconds{.name = "masticlever_request_seconds",
                                       .help = "Time from a request's arrival to its answer.",
                                       .buckets = requestBuckets};
constexpr metric_family firstText{.name = "masticlever_first_text_seconds",
                                  .help = "Time from a request's arrival to its first text.",
                                  .buckets = firstTextBuckets};
constexpr metric_family stageCalls{"masticlever_stage_calls_total", "Calls to endpoints, by pipeline and stage."};
constexpr metric_family stageCost{"masticlever_stage_cost_total", "Cost of the calls, by team and stage."};
constexpr metric_family dropped{"masticlever_answers_dropped_total", "Answers of endpoints that were not passed on."};

double inSeconds(common::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void run_metrics::onReply(std::string_view pipeline, std::string_view team, runs::disposition outcome,
                          common::duration sinceArrival)
{
    m_registry.counterOf(requests, {{"pipeline", pipeline}, {"team", team}, {"outcome", runs::toString(outcome)}})
        .add();
    m_registry.histogramOf(requestSeconds, {{"pipeline", pipeline}}).observe(inSeconds(sinceArrival));
}

void run_metrics::onFirstText(std::string_view pipeline, common::duration sinceArrival)
{
    m_registry.histogramOf(firstText, {{"pipeline", pipeline}}).observe(inSeconds(sinceArrival));
}

void run_metrics::onEnd(const runs::run_end &run)
{
    m_registry.counterOf(ended, {{"pipeline", run.pipeline}, {"team", run.team}}).add();
    if (run.metDeadline) {
        m_registry.counterOf(attained, {{"pipeline", run.pipeline}, {"team", run.team}}).add();
    }
    for (std::size_t i = 0; i < run.callsByStage.size(); ++i) {
        if (run.callsByStage[i] == 0) {
            continue;
        }
        const configuration::stage_spec &stage = run.spec.stages[i];
        const double calls = run.callsByStage[i];
        m_registry.counterOf(stageCalls, {{"pipeline", run.pipeline}, {"stage", stage.name}}).add(calls);
        m_registry.counterOf(stageCost, {{"team", run.team}, {"stage", stage.name}}).add(calls * stage.costPerCall);
    }
}

void run_metrics::onDropped(calls::drop_reason reason)
{
    m_registry.counterOf(dropped, {{"reason", calls::toString(reason)}}).add();
}

void run_metrics::onUnmatchedAnswer()
{
    m_registry.counterOf(dropped, {{"reason", "call_has_ended"}}).add();
}

} // namespace masticlever::masticleverd
