#include <masticlever/common/digest.h>
#include <masticlever/forwarding/shared-parts.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstddef>
#include <cstdio>

namespace masticlever::forwarding
{

namespace
{

constexpr std::size_t maximumParts = 64; ///< of one request; further ones are ignored

} // namespace

std::vector<std::uint64_t> sharedParts(const protocol::request_attributes &request)
{
    std::vector<std::uint64_t> parts;
    for (std::size_t i = 0; i + 1 < request.prompt.size() && parts.size() < maximumParts; ++i) {
        const std::uint64_t part = common::stableHash(request.model + '\n' + request.prompt[i].id);
        if (std::ranges::find(parts, part) == parts.end()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::string formatPart(std::uint64_t part)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, part);
    return text.data();
}

std::string formatParts(std::span<const std::uint64_t> parts)
{
    std::string text;
    for (const std::uint64_t part : parts) {
        text += (text.empty() ? "" : ",") + formatPart(part);
    }
    return text;
}

} // namespace masticlever::forwarding
