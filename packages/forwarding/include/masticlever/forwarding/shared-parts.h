#pragma once

#include <masticlever/protocol/requests.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

/// \file
/// Fingerprints of the prompt parts that requests have in common.

namespace masticlever::forwarding
{

/// Returns the fingerprints of all parts of the prompt but the last, which belongs to a single request or session.
/// Equal parts for different models have different fingerprints.
std::vector<std::uint64_t> sharedParts(const protocol::request_attributes &request);

/// Formats a fingerprint as it appears in logs.
std::string formatPart(std::uint64_t part);
/// Formats fingerprints as a comma-separated list.
std::string formatParts(std::span<const std::uint64_t> parts);

} // namespace masticlever::forwarding
