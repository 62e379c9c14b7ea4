#include <masticlever/common/errors.h>
#include <masticlever/telemetry/tracing.h>

#include "detail/hex.h"

#include <algorithm>

namespace masticlever::telemetry
{

namespace
{

// Format: version "-" trace id "-" span id "-" flags
constexpr std::size_t versionLength = 2;
constexpr std::size_t tracePosition = 3;
constexpr std::size_t spanPosition = 36;
constexpr std::size_t flagsPosition = 53;
constexpr std::size_t totalLength = 55;
constexpr std::uint8_t sampledFlag = 1;

template <std::size_t Size> bool isZero(const std::array<std::uint8_t, Size> &id)
{
    return std::ranges::all_of(id, [](std::uint8_t byte) { return byte == 0; });
}

void putBigEndian(std::span<std::uint8_t, 8> out, std::uint64_t value)
{
    for (std::size_t i = out.size(); i-- > 0;) {
        out[i] = static_cast<std::uint8_t>(value & 0xffU);
        value >>= 8U;
    }
}

span_id makeSpanId(std::uint64_t random)
{
    span_id id{};
    putBigEndian(std::span<std::uint8_t, 8>(id), random == 0 ? 1 : random);
    return id;
}

bool hasSeparators(std::string_view header)
{
    return header[tracePosition - 1] == '-' && header[spanPosition - 1] == '-' && header[flagsPosition - 1] == '-';
}

bool hasValidLength(std::string_view header)
{
    if (header.size() == totalLength) {
        return true;
    }
    // Versions after 00 may append fields after another separator.
    return header.size() > totalLength && !header.starts_with("00") && header[totalLength] == '-';
}

} // namespace

common::result<trace_context> parseTraceparent(std::string_view header)
{
    const auto malformed = make_error_code(common::error::malformed);
    if (!hasValidLength(header) || !hasSeparators(header)) {
        return malformed;
    }
    std::array<std::uint8_t, 1> version{};
    std::array<std::uint8_t, 1> flags{};
    trace_context context;
    const bool parsed = detail::parseHex(header.substr(0, versionLength), version)
        && detail::parseHex(header.substr(tracePosition, 2 * context.trace.size()), context.trace)
        && detail::parseHex(header.substr(spanPosition, 2 * context.span.size()), context.span)
        && detail::parseHex(header.substr(flagsPosition, 2), flags);
    if (!parsed || version[0] == 0xff || isZero(context.trace) || isZero(context.span)) {
        return malformed;
    }
    context.sampled = (flags[0] & sampledFlag) != 0;
    return context;
}

std::string formatTraceparent(const trace_context &context)
{
    const std::string_view flags = context.sampled ? "-01" : "-00";
    return "00-" + detail::toHex(context.trace) + '-' + detail::toHex(context.span) + std::string(flags);
}

trace_context newTrace(std::uint64_t randomHigh, std::uint64_t randomLow, std::uint64_t randomSpan)
{
    trace_context context;
    const std::uint64_t low = randomHigh == 0 && randomLow == 0 ? 1 : randomLow;
    putBigEndian(std::span(context.trace).first<8>(), randomHigh);
    putBigEndian(std::span(context.trace).last<8>(), low);
    context.span = makeSpanId(randomSpan);
    return context;
}

trace_context childOf(const trace_context &parent, std::uint64_t randomSpan)
{
    return {parent.trace, makeSpanId(randomSpan), parent.sampled};
}

} // namespace masticlever::telemetry
