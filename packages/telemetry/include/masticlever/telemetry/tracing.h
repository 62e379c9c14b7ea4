#pragma once

#include <masticlever/common/result.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// Spans with W3C Trace Context propagation and their export as OTLP/HTTP JSON.

namespace masticlever::telemetry
{

using trace_id = std::array<std::uint8_t, 16>;
using span_id = std::array<std::uint8_t, 8>;

struct trace_context {
    trace_id trace{};
    span_id span{};
    bool sampled = true;

    bool operator==(const trace_context &) const = default;
};

/// Parses a `traceparent` header of version 00, or of a later one read as 00; error::malformed if invalid.
common::result<trace_context> parseTraceparent(std::string_view header);
std::string formatTraceparent(const trace_context &context);

/// Starts a trace with ids made from the given random numbers. All-zero ids are invalid and never produced.
trace_context newTrace(std::uint64_t randomHigh, std::uint64_t randomLow, std::uint64_t randomSpan);
/// Creates a child of \p parent in the same trace.
trace_context childOf(const trace_context &parent, std::uint64_t randomSpan);

using span_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;
using attribute_value = std::variant<std::string, std::int64_t, double, bool>;

struct span_attribute {
    std::string name;
    attribute_value value;
};

/// The values are the enum values of OTLP.
enum class span_kind { internal = 1, server = 2, client = 3 };
enum class span_status { unset = 0, ok = 1, error = 2 };

/// A span of a request or of one of its calls.
struct span_record {
    trace_context context;
    std::optional<span_id> parent;
    std::string name;
    span_kind kind = span_kind::internal;
    span_time start;
    span_time end;
    std::vector<span_attribute> attributes;
    span_status status = span_status::unset;
};

class span_exporter
{
public:
    virtual ~span_exporter() = default;
    /// Queues \p span without blocking; if the queue is full, the span is dropped and counted as lost.
    virtual void record(span_record span) = 0;
    /// Number of spans since the start that could not be delivered.
    virtual std::uint64_t lost() const = 0;
};

struct trace_resource {
    std::string instance;
    std::string incarnation;
    std::string dataCentre;
};

/// Formats the body of a POST to an OTLP/HTTP collector (`/v1/traces`).
std::string otlpJson(std::span<const span_record> spans, const trace_resource &resource);

struct otlp_options {
    std::string url; ///< collector's /v1/traces; if empty, spans are discarded and not counted as lost
    std::size_t queueLimit = 2048; ///< spans
    std::size_t batchLimit = 256; ///< spans per request
    std::chrono::milliseconds interval{2000};
    std::chrono::milliseconds timeout{5000};
};

/// Creates an exporter that needs a running event loop and has at most one request in flight.
std::unique_ptr<span_exporter> makeSpanExporter(otlp_options options, trace_resource resource);

} // namespace masticlever::telemetry
