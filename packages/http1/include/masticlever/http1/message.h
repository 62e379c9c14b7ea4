#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Heads of HTTP/1.1 messages (RFC 9112) as plain values, and their text.

namespace masticlever::http1
{

struct header_field {
    std::string name;
    std::string value;

    bool operator==(const header_field &) const = default;
};

/// How the end of a body is found.
enum class body_framing { none, length, chunked, until_close };

/// Head of a request (\c method and \c target) or of an answer (\c status and \c reason).
struct message_head {
    std::string method;
    std::string target;
    int status = 0;
    std::string reason;
    bool keepAlive = true; ///< the connection may carry another message
    bool isVersion11 = true;
    body_framing framing = body_framing::none;
    std::uint64_t length = 0; ///< of the body when framing is by length
    std::vector<header_field> fields;

    /// First field of that name, compared without case; nullptr when there is none.
    const std::string *find(std::string_view name) const;
};

bool equalNames(std::string_view left, std::string_view right);

/// Fields that concern one connection only (RFC 9110, 7.6.1), or that describe the framing.
bool isConnectionField(const message_head &head, std::string_view name);

/// Head as text, up to and including the empty line; the fields are written as they stand.
std::string requestText(const message_head &head);
std::string answerText(const message_head &head);

std::string_view reasonPhrase(int status);

/// \p bytes as one chunk; empty for no bytes, as an empty chunk would end the body.
std::string chunkText(std::string_view bytes);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace masticlever::http1
