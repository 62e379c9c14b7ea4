#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Heads of HTTP/1.1 messages (RFC 9112) as plain values, and their serialization.

namespace masticlever::http1
{

struct header_field {
    std::string name;
    std::string value;

    bool operator==(const header_field &) const = default;
};

/// How the end of a body is determined.
enum class body_framing { none, length, chunked, until_close };

/// Head of a request (\c method and \c target) or of a response (\c status and \c reason).
struct message_head {
    std::string method;
    std::string target;
    int status = 0;
    std::string reason;
    bool keepAlive = true; ///< the connection may carry another message
    bool isVersion11 = true;
    body_framing framing = body_framing::none;
    std::uint64_t length = 0; ///< body length when framing is body_framing::length
    std::vector<header_field> fields;

    /// Returns the value of the first field \p name, compared case-insensitively; nullptr if there is none.
    const std::string *find(std::string_view name) const;
};

/// Compares field names case-insensitively (ASCII only).
bool equalNames(std::string_view left, std::string_view right);

/// Returns whether a field applies to a single connection only (RFC 9110, 7.6.1) or describes the framing; such fields
/// must not be forwarded.
bool isConnectionField(const message_head &head, std::string_view name);

/// Serializes a head, including the empty line at its end; the fields are written unchanged.
std::string requestText(const message_head &head);
std::string answerText(const message_head &head);

std::string_view reasonPhrase(int status);

/// Encodes \p bytes as one chunk. Returns an empty string for no bytes, since an empty chunk would end the body.
std::string chunkText(std::string_view bytes);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace masticlever::http1
