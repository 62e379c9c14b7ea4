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
/// Spans in the form of W3C Trace Context and their export as OTLP/HTTP JSON.

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

/// error::malformed unless \p header is a valid `traceparent` of version 00 (or a later one, read as 00).
common::result<trace_context> parseTraceparent(std::string_view header);
std::string formatTraceparent(const trace_context &context);

/// Starts a trace; the random numbers are the caller's. Zero ids, which are invalid, are avoided.
trace_context newTrace(std::uint64_t randomHigh, std::uint64_t randomLow, std::uint64_t randomSpan);
/// A child of \p parent in the same trace.
trace_context childOf(const trace_context &parent, std::uint64_t randomSpan);

using span_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;
using attribute_value = std::variant<std::string, std::int64_t, double, bool>;

struct span_attribute {
    std::string name;
    attribute_value value;
};

/// Values are those of OTLP.
enum class span_kind { internal = 1, server = 2, client = 3 };
enum class span_status { unset = 0, ok = 1, error = 2 };

/// One finished hop of a request.
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
    /// Never blocks; a span that finds no room is counted as lost.
    virtual void record(span_record span) = 0;
    /// Spans that were not delivered, since the start.
    virtual std::uint64_t lost() const = 0;
};

struct trace_resource {
    std::string instance;
    std::string incarnation;
    std::string dataCentre;
};

/// Body of a POST to an OTLP/HTTP collector (`/v1/traces`).
std::string otlpJson(std::span<const span_record> spans, const trace_resource &resource);

struct otlp_options {
    std::string url; ///< of the collector's /v1/traces; empty: spans are discarded and not counted
    std::size_t queueLimit = 2048; ///< spans
    std::size_t batchLimit = 256; ///< spans in one request
    std::chrono::milliseconds interval{2000};
    std::chrono::milliseconds timeout{5000};
};

/// Needs a running event loop. One request is under way at a time.
std::unique_ptr<span_exporter> makeSpanExporter(otlp_options options, trace_resource resource);

} // namespace masticlever::telemetry
