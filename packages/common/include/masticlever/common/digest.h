#pragma once

#include <string>
#include <string_view>

/// \file
/// SHA-256 digests and stable hashes, equal on every instance.

namespace masticlever::common
{

/// SHA-256 of \p data in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

/// First 64 bits of the SHA-256 of \p data.
unsigned long long stableHash(std::string_view data);

/// HMAC-SHA256 of \p data under \p key, 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view data);

/// Compares in time that depends only on the lengths, not on the contents.
bool equalConstantTime(std::string_view left, std::string_view right);

} // namespace masticlever::common
