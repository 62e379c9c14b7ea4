#pragma once

#include <masticlever/common/result.h>
#include <masticlever/peers/messages.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// Wire forms of the messages, authenticated by HMAC-SHA256 under a key that all daemons share.
///
/// Datagram: version (1 byte), body, code (32 bytes).
/// Frame over TCP: length of what follows (4 bytes, big endian), version, kind (1 byte each), body, code.
/// The body is cereal's portable binary form; texts carry a 16-bit length. The code of a frame also covers a
/// context: for a request the challenge that the server sent first, for an answer the code of the request. So
/// neither can be recorded and sent again.
///
/// Checks come in the order size, version, code, body; errors are error::too_large, malformed, unauthenticated.

namespace masticlever::peers
{

constexpr std::size_t maximumDatagramBytes = 1200;
constexpr std::size_t maximumRequestBytes = 256;
constexpr std::size_t maximumAnswerBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t challengeBytes = 16;
constexpr std::size_t codeBytes = 32;
constexpr std::size_t frameLengthBytes = 4;
constexpr std::size_t minimumKeyBytes = 16;

/// Leaves out items from the end of the longest list until the datagram is within its limit; \p message keeps
/// those that went in. error::too_large when a text of the sender's own notice exceeds its limit.
common::result<std::string> encodeDatagram(gossip_message &message, std::string_view key);
common::result<gossip_message> decodeDatagram(std::string_view bytes, std::string_view key);

/// Whole frames, with their length.
common::result<std::string> encodeRequest(const records_request &request, std::string_view key,
                                          std::string_view challenge);
/// Leaves out records from the end until the frame is within its limit.
common::result<std::string> encodeAnswer(records_answer answer, std::string_view key, std::string_view requestCode);

/// Length of the frame that starts with \p bytes, itself included; 0 while its prefix is incomplete.
/// error::too_large above \p maximum, error::malformed when too short for a frame.
common::result<std::size_t> frameLength(std::string_view bytes, std::size_t maximum);

/// \p frame is one whole frame.
common::result<records_request> decodeRequest(std::string_view frame, std::string_view key, std::string_view challenge);
common::result<records_answer> decodeAnswer(std::string_view frame, std::string_view key, std::string_view requestCode);

/// The authentication code at the end of a frame.
std::string_view codeOf(std::string_view frame);

} // namespace masticlever::peers
