#include "detail/hex.h"

namespace masticlever::telemetry::detail
{

namespace
{

constexpr std::string_view digits = "0123456789abcdef";

} // namespace

std::string toHex(std::span<const std::uint8_t> bytes)
{
    std::string text;
    text.reserve(2 * bytes.size());
    for (const std::uint8_t byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    }
    return text;
}

bool parseHex(std::string_view text, std::span<std::uint8_t> out)
{
    if (text.size() != 2 * out.size()) {
        return false;
    }
    for (std::size_t i = 0; i < out.size(); ++i) {
        const auto high = digits.find(text[2 * i]);
        const auto low = digits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return false;
        }
        out[i] = static_cast<std::uint8_t>((high << 4U) | low);
    }
    return true;
}

} // namespace masticlever::telemetry::detail
