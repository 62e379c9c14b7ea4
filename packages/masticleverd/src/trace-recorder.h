#pragma once

#include <masticlever/common/call-id.h>
#include <masticlever/common/random-source.h>
#include <masticlever/runs/actions.h>
#include <masticlever/runs/run-table.h>
#include <masticlever/telemetry/tracing.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

/// \file
/// Records the spans of requests and of their calls to endpoints.

namespace masticlever::masticleverd
{

class trace_recorder
{
public:
    trace_recorder(std::unique_ptr<telemetry::span_exporter> exporter, common::random_source &random);

    void onRequest(runs::run_id run, std::string_view pipeline, std::string_view traceparent);
    void onRequestEnded(runs::run_id run, runs::disposition outcome);
    /// Returns the value of the call's "traceparent" header.
    std::string onCall(runs::run_id run, const common::call_id &id, std::string_view stage, std::string_view endpoint);
    void onCallEnded(const common::call_id &id, bool answered);

    std::uint64_t lost() const { return m_exporter->lost(); }

private:
    telemetry::trace_context makeContext(const std::optional<telemetry::trace_context> &parent);

    std::unique_ptr<telemetry::span_exporter> m_exporter;
    common::random_source &m_random;
    std::unordered_map<runs::run_id, telemetry::span_record> m_requests;
    std::map<common::call_id, telemetry::span_record> m_calls;
};

} // namespace masticlever::masticleverd
