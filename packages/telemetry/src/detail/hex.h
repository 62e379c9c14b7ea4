#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace masticlever::telemetry::detail
{

/// Encodes \p bytes as lower-case hexadecimal.
std::string toHex(std::span<const std::uint8_t> bytes);

/// Decodes \p text into \p out; false unless it has exactly two lower-case digits for each byte of \p out.
bool parseHex(std::string_view text, std::span<std::uint8_t> out);

} // namespace masticlever::telemetry::detail
