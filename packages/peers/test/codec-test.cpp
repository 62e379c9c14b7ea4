#include <masticlever/common/digest.h>
#include <masticlever/common/errors.h>
#include <masticlever/peers/codec.h>

#include <catch2/catch.hpp>

#include <limits>
#include <random>

using namespace masticlever::peers;
using masticlever::common::error;
using masticlever::membership::instance_notice;

namespace
{

constexpr std::string_view key = "0123456789abcdef0123456789abcdef";
constexpr std::string_view challenge = "challenge-------";

instance_notice makeNotice(int number)
{
    const std::string text = std::to_string(number);
    return {"entry-" + text, "0192f0c1-2a3b-7cde-8f01-" + text, "hawick", "10.1.2.3:7000", 9, true, false, 77, 84, 200};
}

gossip_message makeMessage()
{
    gossip_message message;
    message.sender = makeNotice(1);
    message.notices = {makeNotice(2), makeNotice(3)};
    message.losses = {{"gone", 4}};
    message.leavingEndpoints = {{"10.9.9.9:80", "e-1"}};
    message.rateLimits = {{"i-7f", 1700000000000, 3, 2.5, 12, 400}, {"i-80", 1700000000001, 4, std::nullopt, 0, 90}};
    message.suspects = {"desk-2"};
    message.requested = introduction::self;
    return message;
}

records_answer makeAnswer()
{
    records_answer answer{true, {3, 6, {}}};
    answer.batch.records.push_back({4, {}, std::string("pay\0load", 8)});
    answer.batch.records.push_back({5, {}, ""});
    return answer;
}

std::string withMac(std::string bytes)
{
    bytes += masticlever::common::hmacSha256(key, "masticlever datagram" + bytes);
    return bytes;
}

/// Overwrites, truncates or inserts bytes at a few random positions.
std::string mutate(std::string bytes, std::mt19937_64 &random)
{
    const auto pick = [&](std::size_t size) { return size == 0 ? 0 : random() % size; };
    for (std::size_t changes = 1 + pick(4); changes > 0; --changes) {
        const std::size_t position = pick(bytes.size());
        switch (pick(4)) {
        case 0:
            bytes.resize(position);
            break;
        case 1:
            bytes.insert(position, 1 + pick(8), static_cast<char>(random()));
            break;
        default:
            if (!bytes.empty()) {
                bytes[position] = static_cast<char>(random());
            }
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("a datagram carries membership updates")
{
    gossip_message message = makeMessage();
    const std::string bytes = encodeDatagram(message, key).value();
    CHECK(bytes.size() < 500);
    CHECK(decodeDatagram(bytes, key).value() == message);

    SECTION("items that do not fit are omitted")
    {
        message.notices.clear();
        for (int i = 0; i < 60; ++i) {
            message.notices.push_back(makeNotice(i));
        }
        const std::string full = encodeDatagram(message, key).value();
        CHECK(full.size() <= maximumDatagramBytes);
        CHECK(full.size() > maximumDatagramBytes - 150);
        CHECK(decodeDatagram(full, key).value() == message);
        CHECK(message.leavingEndpoints.size() == 1);
    }

    SECTION("an item with an oversized string is omitted, the rest is encoded")
    {
        const gossip_message rest = message;
        message.leavingEndpoints.push_back({"10.9.9.9:81", std::string(65, 'i')});
        message.suspects.emplace_back(65, 's');
        CHECK(decodeDatagram(encodeDatagram(message, key).value(), key).value() == rest);
    }

    SECTION("a rate limit that is no number of requests is rejected")
    {
        for (const double rate :
             {-1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
            message.rateLimits.front().rate = rate;
            CHECK_FALSE(encodeDatagram(message, key).has_value());
        }
    }

    SECTION("an oversized sender name is an error")
    {
        message.sender.name = std::string(65, 'x');
        CHECK(encodeDatagram(message, key).error() == error::too_large);
    }

    SECTION("a datagram authenticated with another key is rejected")
    {
        CHECK(decodeDatagram(bytes, "another key of some length").error() == error::unauthenticated);
    }

    SECTION("a datagram with another version, too short or too long is rejected")
    {
        std::string other = bytes;
        other[0] = 1;
        CHECK(decodeDatagram(other, key).error() == error::malformed);
        CHECK(decodeDatagram(bytes.substr(0, 20), key).error() == error::malformed);
        CHECK(decodeDatagram("", key).error() == error::malformed);
        CHECK(decodeDatagram(std::string(1201, '\1'), key).error() == error::too_large);
    }

    SECTION("prompt faults make it a datagram of the next version, which older instances ignore")
    {
        constexpr char versionWithoutFaults = 4;
        CHECK(bytes.front() == versionWithoutFaults);
        gossip_message report = message;
        report.promptFaults = {{17, {{1, 2, 3}, {4, 5, 6}}, 7}, {18, {{1, 2, 3}}, std::nullopt}};
        const std::string encoded = encodeDatagram(report, key).value();
        CHECK(encoded.front() == versionWithoutFaults + 1);
        CHECK(decodeDatagram(encoded, key).value() == report);
    }

    SECTION("any single changed byte is detected")
    {
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            std::string changed = bytes;
            changed[i] = static_cast<char>(changed[i] ^ 0x10);
            CHECK_FALSE(decodeDatagram(changed, key).has_value());
        }
    }

    SECTION("an authenticated body that is truncated or extended is malformed")
    {
        const std::string body = bytes.substr(0, bytes.size() - macBytes);
        CHECK(decodeDatagram(withMac(body), key).has_value());
        CHECK(decodeDatagram(withMac(body + '\0'), key).error() == error::malformed);
        for (std::size_t size = 1; size < body.size(); ++size) {
            CHECK(decodeDatagram(withMac(body.substr(0, size)), key).error() == error::malformed);
        }
    }

    SECTION("the requested introduction has four valid values")
    {
        std::string body = bytes.substr(0, bytes.size() - macBytes);
        int accepted = 0;
        for (int value = 0; value < 256; ++value) {
            body.back() = static_cast<char>(value);
            accepted += decodeDatagram(withMac(body), key).has_value() ? 1 : 0;
        }
        CHECK(accepted == 4);
    }

    SECTION("a flag must be 0 or 1")
    {
        constexpr std::size_t introductionBytes = 1;
        constexpr std::size_t lossListBytes = 1 + (2 + 4) + 8;
        constexpr std::size_t endpointListBytes = 1 + (2 + 11) + (2 + 3);
        constexpr std::size_t rateLimitListBytes = 1 + 2 * ((2 + 4) + 8 + 8 + 4 + 4 + 8 + 1);
        constexpr std::size_t suspectListBytes = 1 + (2 + 6);
        const auto flag = bytes.size() - macBytes - introductionBytes - suspectListBytes - rateLimitListBytes
            - endpointListBytes - lossListBytes - 1;
        std::string body = bytes.substr(0, bytes.size() - macBytes);
        int accepted = 0;
        for (int value = 0; value < 256; ++value) {
            body[flag] = static_cast<char>(value);
            accepted += decodeDatagram(withMac(body), key).has_value() ? 1 : 0;
        }
        CHECK(accepted == 2);
    }

    SECTION("random changes with a valid MAC never break the decoder")
    {
        std::mt19937_64 random(20260101);
        const std::string body = bytes.substr(0, bytes.size() - macBytes);
        for (int i = 0; i < 20000; ++i) {
            const auto decoded = decodeDatagram(withMac(mutate(body, random)), key);
            if (decoded.has_value()) {
                CHECK(decoded.value().notices.size() <= 64);
                CHECK(decoded.value().sender.name.size() <= 64);
            }
        }
    }
}

TEST_CASE("records are requested and sent in frames")
{
    const records_request request{4, 100};
    const std::string requestFrame = encodeRequest(request, key, challenge).value();
    CHECK(requestFrame.size() <= maximumRequestBytes);
    CHECK(frameLength(requestFrame, maximumRequestBytes).value() == requestFrame.size());
    CHECK(decodeRequest(requestFrame, key, challenge).value() == request);

    SECTION("a recorded request is rejected with another challenge")
    {
        CHECK(decodeRequest(requestFrame, key, "another challeng").error() == error::unauthenticated);
    }

    SECTION("a response is bound to its request")
    {
        const std::string answerFrame = encodeAnswer(makeAnswer(), key, macOf(requestFrame)).value();
        const auto answer = decodeAnswer(answerFrame, key, macOf(requestFrame)).value();
        CHECK(answer.available);
        CHECK(answer.batch.head == 3);
        CHECK(answer.batch.end == 6);
        REQUIRE(answer.batch.records.size() == 2);
        CHECK(answer.batch.records[0].payload == std::string("pay\0load", 8));
        CHECK(decodeAnswer(answerFrame, key, challenge).error() == error::unauthenticated);
        CHECK_FALSE(decodeRequest(answerFrame, key, macOf(requestFrame)).has_value());
    }

    SECTION("the length is checked before the frame is read")
    {
        CHECK(frameLength("\x00\x00", maximumRequestBytes).value() == 0);
        CHECK(frameLength("\xff\xff\xff\xff", maximumAnswerBytes).error() == error::too_large);
        CHECK(frameLength(std::string_view("\0\0\0\1", 4), maximumAnswerBytes).error() == error::malformed);
    }

    SECTION("records beyond the frame limit are left for the next request")
    {
        records_answer large{true, {1, 9, {}}};
        for (std::uint64_t offset = 1; offset < 9; ++offset) {
            large.batch.records.push_back({offset, {}, std::string(1000000, 'r')});
        }
        const std::string answerFrame = encodeAnswer(large, key, challenge).value();
        CHECK(frameLength(answerFrame, maximumAnswerBytes).has_value());
        CHECK(decodeAnswer(answerFrame, key, challenge).value().batch.records.size() == 4);
    }

    SECTION("random changes never break the decoder")
    {
        std::mt19937_64 random(7);
        const std::string answerFrame = encodeAnswer(makeAnswer(), key, macOf(requestFrame)).value();
        for (int i = 0; i < 20000; ++i) {
            const std::string changed = mutate(answerFrame, random);
            const auto decoded = decodeAnswer(changed, key, macOf(requestFrame));
            CHECK((changed == answerFrame) == decoded.has_value());
        }
    }
}
