#include <masticlever/common/digest.h>
#include <masticlever/common/errors.h>
#include <masticlever/peers/codec.h>

#include "detail/bodies.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <sstream>
#include <type_traits>
#include <utility>

namespace masticlever::peers
{

namespace
{

using common::error;

constexpr char protocolVersion = 4;
constexpr char promptFaultVersion = 5; ///< of datagrams with prompt faults, which follow the fields of version 4
constexpr char requestKind = 1;
constexpr char answerKind = 2;
constexpr std::size_t frameHeaderBytes = 2; // version and kind
constexpr std::size_t recordOverheadBytes = 20; // offset, time, payload length
constexpr std::size_t answerOverheadBytes = 128; // response frame without its records
// Domain separation: datagrams and frames share a key, but their MACs must not be interchangeable.
constexpr std::string_view datagramContext = "masticlever datagram";
constexpr std::string_view frameContext = "masticlever frame";

std::string computeMac(std::string_view key, std::string_view purpose, std::string_view context, std::string_view bytes)
{
    std::string covered;
    covered.reserve(purpose.size() + context.size() + bytes.size());
    covered.append(purpose).append(context).append(bytes);
    return common::hmacSha256(key, covered);
}

bool hasPromptFaults(const gossip_message &message)
{
    return !message.promptFaults.empty();
}

template <typename Message> common::result<std::string> encodeBody(Message &message)
{
    try {
        std::ostringstream stream;
        cereal::PortableBinaryOutputArchive archive(stream);
        detail::transferBody(archive, message);
        if constexpr (std::is_same_v<Message, gossip_message>) {
            if (hasPromptFaults(message)) {
                detail::transferPromptFaults(archive, message);
            }
        }
        return std::move(stream).str();
    } catch (const cereal::Exception &) {
        return make_error_code(error::too_large);
    }
}

template <typename Message> common::result<Message> decodeBody(std::string_view body, char version = protocolVersion)
{
    try {
        detail::view_buffer buffer(body);
        std::istream stream(&buffer);
        cereal::PortableBinaryInputArchive archive(stream);
        Message message;
        detail::transferBody(archive, message);
        if constexpr (std::is_same_v<Message, gossip_message>) {
            if (version == promptFaultVersion) {
                detail::transferPromptFaults(archive, message);
            }
        }
        if (buffer.remaining() != 0) {
            return make_error_code(error::malformed);
        }
        return message;
    } catch (const cereal::Exception &) {
        return make_error_code(error::malformed);
    }
}

void dropLastOfLongest(gossip_message &message)
{
    if (!message.suspects.empty()) {
        message.suspects.pop_back();
        return;
    }
    if (hasPromptFaults(message)) {
        message.promptFaults.pop_back();
        return;
    }
    const std::size_t notices = message.notices.size();
    const std::size_t losses = message.losses.size();
    const std::size_t limits = message.rateLimits.size();
    const std::size_t leaving = message.leavingEndpoints.size();
    if (notices >= std::max({losses, limits, leaving})) {
        message.notices.pop_back();
    } else if (losses >= std::max(limits, leaving)) {
        message.losses.pop_back();
    } else if (limits >= leaving) {
        message.rateLimits.pop_back();
    } else {
        message.leavingEndpoints.pop_back();
    }
}

/// Drops items with oversized strings from other instances, which must not prevent sending the heartbeat.
void eraseOversized(gossip_message &message)
{
    const auto isTooLong = [](const std::string &text) { return text.size() > detail::maximumNameBytes; };
    std::erase_if(message.notices, [&](const membership::instance_notice &notice) {
        const bool isIdentityTooLong = isTooLong(notice.name) || isTooLong(notice.incarnation);
        return isIdentityTooLong || isTooLong(notice.dataCentre) || isTooLong(notice.peerAddress);
    });
    std::erase_if(message.losses, [&](const auto &notice) { return isTooLong(notice.incarnation); });
    std::erase_if(message.leavingEndpoints,
                  [&](const auto &notice) { return isTooLong(notice.address) || isTooLong(notice.incarnation); });
    std::erase_if(message.rateLimits, [&](const auto &notice) { return isTooLong(notice.endpoint); });
    std::erase_if(message.suspects, isTooLong);
}

bool hasItems(const gossip_message &message)
{
    return !message.notices.empty() || !message.losses.empty() || !message.leavingEndpoints.empty()
        || !message.rateLimits.empty() || hasPromptFaults(message) || !message.suspects.empty();
}

template <typename Message>
common::result<std::string> encodeFrame(char kind, Message &message, std::string_view key, std::string_view context)
{
    BOOST_OUTCOME_TRY(body, encodeBody(message));
    const std::size_t length = frameHeaderBytes + body.size() + macBytes;
    std::string frame;
    frame.reserve(frameLengthBytes + length);
    for (std::size_t shift = 8 * frameLengthBytes; shift > 0; shift -= 8) {
        frame += static_cast<char>((length >> (shift - 8)) & 0xffU);
    }
    frame += protocolVersion;
    frame += kind;
    frame += body;
    frame += computeMac(key, frameContext, context, frame);
    return frame;
}

template <typename Message>
common::result<Message> decodeFrame(char kind, std::string_view frame, std::string_view key, std::string_view context)
{
    constexpr std::size_t bodyPosition = frameLengthBytes + frameHeaderBytes;
    if (frame.size() < bodyPosition + macBytes || frame[frameLengthBytes] != protocolVersion) {
        return make_error_code(error::malformed);
    }
    const std::string_view covered = frame.substr(0, frame.size() - macBytes);
    if (!common::equalConstantTime(computeMac(key, frameContext, context, covered), macOf(frame))) {
        return make_error_code(error::unauthenticated);
    }
    if (frame[frameLengthBytes + 1] != kind) {
        return make_error_code(error::malformed);
    }
    return decodeBody<Message>(covered.substr(bodyPosition));
}

} // namespace

common::result<std::string> encodeDatagram(gossip_message &message, std::string_view key)
{
    constexpr std::size_t maximumBody = maximumDatagramBytes - 1 - macBytes;
    eraseOversized(message);
    BOOST_OUTCOME_TRY(body, encodeBody(message));
    while (body.size() > maximumBody && hasItems(message)) {
        dropLastOfLongest(message);
        BOOST_OUTCOME_TRY(shorter, encodeBody(message));
        body = std::move(shorter);
    }
    std::string datagram(1, hasPromptFaults(message) ? promptFaultVersion : protocolVersion);
    datagram += body;
    datagram += computeMac(key, datagramContext, {}, datagram);
    return datagram;
}

common::result<gossip_message> decodeDatagram(std::string_view bytes, std::string_view key)
{
    if (bytes.size() > maximumDatagramBytes) {
        return make_error_code(error::too_large);
    }
    const bool isKnownVersion
        = !bytes.empty() && (bytes.front() == protocolVersion || bytes.front() == promptFaultVersion);
    if (bytes.size() <= 1 + macBytes || !isKnownVersion) {
        return make_error_code(error::malformed);
    }
    const std::string_view covered = bytes.substr(0, bytes.size() - macBytes);
    if (!common::equalConstantTime(computeMac(key, datagramContext, {}, covered), macOf(bytes))) {
        return make_error_code(error::unauthenticated);
    }
    return decodeBody<gossip_message>(covered.substr(1), bytes.front());
}

common::result<std::string> encodeRequest(const records_request &request, std::string_view key,
                                          std::string_view challenge)
{
    records_request copy = request;
    return encodeFrame(requestKind, copy, key, challenge);
}

common::result<std::string> encodeAnswer(records_answer answer, std::string_view key, std::string_view requestMac)
{
    std::size_t total = answerOverheadBytes;
    std::size_t fitting = 0;
    for (const platform::log_record &record : answer.batch.records) {
        total += recordOverheadBytes + record.payload.size();
        if (total > maximumAnswerBytes || fitting >= detail::maximumRecords) {
            break;
        }
        ++fitting;
    }
    answer.batch.records.resize(fitting);
    return encodeFrame(answerKind, answer, key, requestMac);
}

common::result<std::size_t> frameLength(std::string_view bytes, std::size_t maximum)
{
    if (bytes.size() < frameLengthBytes) {
        return std::size_t{0};
    }
    std::size_t length = 0;
    for (const char c : bytes.substr(0, frameLengthBytes)) {
        length = (length << 8U) | static_cast<unsigned char>(c);
    }
    if (length > maximum) {
        return make_error_code(error::too_large);
    }
    if (length < frameHeaderBytes + macBytes) {
        return make_error_code(error::malformed);
    }
    return frameLengthBytes + length;
}

common::result<records_request> decodeRequest(std::string_view frame, std::string_view key, std::string_view challenge)
{
    return decodeFrame<records_request>(requestKind, frame, key, challenge);
}

common::result<records_answer> decodeAnswer(std::string_view frame, std::string_view key, std::string_view requestMac)
{
    return decodeFrame<records_answer>(answerKind, frame, key, requestMac);
}

std::string_view macOf(std::string_view frame)
{
    return frame.size() < macBytes ? std::string_view{} : frame.substr(frame.size() - macBytes);
}

} // namespace masticlever::peers
