#include "trace-recorder.h"

#include <utility>

namespace masticlever::masticleverd
{

namespace
{

telemetry::span_time currentSpanTime()
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}

} // namespace

trace_recorder::trace_recorder(std::unique_ptr<telemetry::span_exporter> exporter, common::random_source &random)
    : m_exporter(std::move(exporter)), m_random(random)
{ }

telemetry::trace_context trace_recorder::makeContext(const std::optional<telemetry::trace_context> &parent)
{
    if (parent) {
        return telemetry::childOf(*parent, m_random.next());
    }
    const std::uint64_t high = m_random.next();
    const std::uint64_t low = m_random.next();
    return telemetry::newTrace(high, low, m_random.next());
}

void trace_recorder::onRequest(runs::run_id run, std::string_view pipeline, std::string_view traceparent)
{
    std::optional<telemetry::trace_context> parent;
    if (auto parsed = telemetry::parseTraceparent(traceparent)) {
        parent = parsed.value();
    }
    telemetry::span_record span;
    span.context = makeContext(parent);
    span.parent = parent ? std::optional(parent->span) : std::nullopt;
    span.name = "request " + std::string(pipeline);
    span.kind = telemetry::span_kind::server;
    span.start = currentSpanTime();
    m_requests.emplace(run, std::move(span));
}

void trace_recorder::onRequestEnded(runs::run_id run, runs::disposition outcome)
{
    const auto found = m_requests.find(run);
    if (found == m_requests.end()) {
        return;
    }
    telemetry::span_record span = std::move(found->second);
    m_requests.erase(found);
    span.end = currentSpanTime();
    span.attributes.push_back({"masticlever.outcome", std::string(runs::toString(outcome))});
    span.status = outcome == runs::disposition::answered ? telemetry::span_status::ok : telemetry::span_status::error;
    m_exporter->record(std::move(span));
}

std::string trace_recorder::onCall(runs::run_id run, const common::call_id &id, std::string_view stage,
                                   std::string_view endpoint)
{
    const auto request = m_requests.find(run);
    telemetry::span_record span;
    if (request != m_requests.end()) {
        span.context = makeContext(request->second.context);
        span.parent = request->second.context.span;
    } else {
        span.context = makeContext(std::nullopt);
    }
    span.name = "stage " + std::string(stage);
    span.kind = telemetry::span_kind::client;
    span.start = currentSpanTime();
    span.attributes.push_back({"masticlever.endpoint", std::string(endpoint)});
    std::string header = telemetry::formatTraceparent(span.context);
    m_calls.emplace(id, std::move(span));
    return header;
}

void trace_recorder::onCallEnded(const common::call_id &id, bool answered)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    telemetry::span_record span = std::move(found->second);
    m_calls.erase(found);
    span.end = currentSpanTime();
    span.status = answered ? telemetry::span_status::ok : telemetry::span_status::error;
    m_exporter->record(std::move(span));
}

} // namespace masticlever::masticleverd
