#pragma once

#include <masticlever/common/result.h>
#include <masticlever/peers/messages.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// Wire format of the messages, authenticated with HMAC-SHA256 under a key that all daemons share.
///
/// Datagram: version (1 byte), body, MAC (32 bytes).
/// TCP frame: length of the rest (4 bytes, big endian), version and kind (1 byte each), body, MAC.
/// The body uses cereal's portable binary format; strings have a 16-bit length prefix. The MAC of a frame also covers
/// a context: the server's challenge for a request, the MAC of the request for a response. This prevents replay of
/// either.
///
/// Decoders check size, version, MAC and body in this order and return error::too_large, malformed or
/// unauthenticated.

namespace masticlever::peers
{

constexpr std::size_t maximumDatagramBytes = 1200;
constexpr std::size_t maximumRequestBytes = 256;
constexpr std::size_t maximumAnswerBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t challengeBytes = 16;
constexpr std::size_t macBytes = 32;
constexpr std::size_t frameLengthBytes = 4;
constexpr std::size_t minimumKeyBytes = 16;

/// Removes items from \p message, at the end of the longest list, until the datagram fits its limit; suspects go first.
/// Afterwards \p message holds what was encoded. Returns error::too_large when a string in the sender's own notice
/// exceeds its limit.
common::result<std::string> encodeDatagram(gossip_message &message, std::string_view key);
common::result<gossip_message> decodeDatagram(std::string_view bytes, std::string_view key);

/// The encoders below return whole frames, including the length prefix.
common::result<std::string> encodeRequest(const records_request &request, std::string_view key,
                                          std::string_view challenge);
/// Omits records from the end until the frame fits its limit.
common::result<std::string> encodeAnswer(records_answer answer, std::string_view key, std::string_view requestMac);

/// Returns the size of the frame that starts with \p bytes, including the length prefix; 0 while the prefix is
/// incomplete. Returns error::too_large above \p maximum and error::malformed for a length too short for a frame.
common::result<std::size_t> frameLength(std::string_view bytes, std::size_t maximum);

/// \p frame must be exactly one whole frame.
common::result<records_request> decodeRequest(std::string_view frame, std::string_view key, std::string_view challenge);
common::result<records_answer> decodeAnswer(std::string_view frame, std::string_view key, std::string_view requestMac);

/// Returns the MAC at the end of a frame or datagram; empty when \p frame is too short.
std::string_view macOf(std::string_view frame);

} // namespace masticlever::peers
