#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace masticlever::telemetry::detail
{

/// Lower-case hexadecimal.
std::string toHex(std::span<const std::uint8_t> bytes);

/// False unless \p text holds exactly two lower-case digits for each byte of \p out.
bool parseHex(std::string_view text, std::span<std::uint8_t> out);

} // namespace masticlever::telemetry::detail
