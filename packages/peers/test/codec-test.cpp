#include <masticlever/common/digest.h>
#include <masticlever/common/errors.h>
#include <masticlever/peers/codec.h>

#include <catch2/catch.hpp>

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
    message.suspects = {"desk-2"};
    message.wanted = introduction::self;
    return message;
}

records_answer makeAnswer()
{
    records_answer answer{true, {3, 6, {}}};
    answer.batch.records.push_back({4, {}, std::string("pay\0load", 8)});
    answer.batch.records.push_back({5, {}, ""});
    return answer;
}

std::string authenticated(std::string bytes)
{
    bytes += masticlever::common::hmacSha256(key, "masticlever datagram" + bytes);
    return bytes;
}

/// Changes, drops or adds a few bytes.
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

TEST_CASE("a datagram carries the news of the membership")
{
    gossip_message message = makeMessage();
    const std::string bytes = encodeDatagram(message, key).value();
    CHECK(bytes.size() < 500);
    CHECK(decodeDatagram(bytes, key).value() == message);

    SECTION("items that do not fit are left out")
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

    SECTION("an item with a text over its limit is left out, the rest is sent")
    {
        const gossip_message rest = message;
        message.leavingEndpoints.push_back({"10.9.9.9:81", std::string(65, 'i')});
        message.suspects.emplace_back(65, 's');
        CHECK(decodeDatagram(encodeDatagram(message, key).value(), key).value() == rest);
    }

    SECTION("a sender's name over its limit is not sent")
    {
        message.sender.name = std::string(65, 'x');
        CHECK(encodeDatagram(message, key).error() == error::too_large);
    }

    SECTION("a datagram under another key is refused")
    {
        CHECK(decodeDatagram(bytes, "another key of some length").error() == error::unauthenticated);
    }

    SECTION("so is one of another version, too short or too long")
    {
        std::string other = bytes;
        other[0] = 1;
        CHECK(decodeDatagram(other, key).error() == error::malformed);
        CHECK(decodeDatagram(bytes.substr(0, 20), key).error() == error::malformed);
        CHECK(decodeDatagram("", key).error() == error::malformed);
        CHECK(decodeDatagram(std::string(1201, '\1'), key).error() == error::too_large);
    }

    SECTION("no single changed byte gets through")
    {
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            std::string changed = bytes;
            changed[i] = static_cast<char>(changed[i] ^ 0x10);
            CHECK_FALSE(decodeDatagram(changed, key).has_value());
        }
    }

    SECTION("an authenticated body that is cut or continued is malformed")
    {
        const std::string body = bytes.substr(0, bytes.size() - codeBytes);
        CHECK(decodeDatagram(authenticated(body), key).has_value());
        CHECK(decodeDatagram(authenticated(body + '\0'), key).error() == error::malformed);
        for (std::size_t size = 1; size < body.size(); ++size) {
            CHECK(decodeDatagram(authenticated(body.substr(0, size)), key).error() == error::malformed);
        }
    }

    SECTION("an instance wants one of four things")
    {
        std::string body = bytes.substr(0, bytes.size() - codeBytes);
        int accepted = 0;
        for (int value = 0; value < 256; ++value) {
            body.back() = static_cast<char>(value);
            accepted += decodeDatagram(authenticated(body), key).has_value() ? 1 : 0;
        }
        CHECK(accepted == 4);
    }

    SECTION("a flag is 0 or 1")
    {
        constexpr std::size_t introductionBytes = 1;
        constexpr std::size_t lossListBytes = 1 + (2 + 4) + 8;
        constexpr std::size_t endpointListBytes = 1 + (2 + 11) + (2 + 3);
        constexpr std::size_t suspectListBytes = 1 + (2 + 6);
        const auto flag
            = bytes.size() - codeBytes - introductionBytes - suspectListBytes - endpointListBytes - lossListBytes - 1;
        std::string body = bytes.substr(0, bytes.size() - codeBytes);
        int accepted = 0;
        for (int value = 0; value < 256; ++value) {
            body[flag] = static_cast<char>(value);
            accepted += decodeDatagram(authenticated(body), key).has_value() ? 1 : 0;
        }
        CHECK(accepted == 2);
    }

    SECTION("random changes under a valid code never break the decoder")
    {
        std::mt19937_64 random(20260101);
        const std::string body = bytes.substr(0, bytes.size() - codeBytes);
        for (int i = 0; i < 20000; ++i) {
            const auto decoded = decodeDatagram(authenticated(mutate(body, random)), key);
            if (decoded.has_value()) {
                CHECK(decoded.value().notices.size() <= 64);
                CHECK(decoded.value().sender.name.size() <= 64);
            }
        }
    }
}

TEST_CASE("records are asked for and answered in frames")
{
    const records_request request{4, 100};
    const std::string asked = encodeRequest(request, key, challenge).value();
    CHECK(asked.size() <= maximumRequestBytes);
    CHECK(frameLength(asked, maximumRequestBytes).value() == asked.size());
    CHECK(decodeRequest(asked, key, challenge).value() == request);

    SECTION("a recorded request is of no use under another challenge")
    {
        CHECK(decodeRequest(asked, key, "another challeng").error() == error::unauthenticated);
    }

    SECTION("the answer belongs to its request")
    {
        const std::string answered = encodeAnswer(makeAnswer(), key, codeOf(asked)).value();
        const auto answer = decodeAnswer(answered, key, codeOf(asked)).value();
        CHECK(answer.available);
        CHECK(answer.batch.head == 3);
        CHECK(answer.batch.end == 6);
        REQUIRE(answer.batch.records.size() == 2);
        CHECK(answer.batch.records[0].payload == std::string("pay\0load", 8));
        CHECK(decodeAnswer(answered, key, challenge).error() == error::unauthenticated);
        CHECK_FALSE(decodeRequest(answered, key, codeOf(asked)).has_value());
    }

    SECTION("a length is checked before anything is read")
    {
        CHECK(frameLength("\x00\x00", maximumRequestBytes).value() == 0);
        CHECK(frameLength("\xff\xff\xff\xff", maximumAnswerBytes).error() == error::too_large);
        CHECK(frameLength(std::string_view("\0\0\0\1", 4), maximumAnswerBytes).error() == error::malformed);
    }

    SECTION("records over the limit of a frame are left for the next request")
    {
        records_answer large{true, {1, 9, {}}};
        for (std::uint64_t offset = 1; offset < 9; ++offset) {
            large.batch.records.push_back({offset, {}, std::string(1000000, 'r')});
        }
        const std::string answered = encodeAnswer(large, key, challenge).value();
        CHECK(frameLength(answered, maximumAnswerBytes).has_value());
        CHECK(decodeAnswer(answered, key, challenge).value().batch.records.size() == 4);
    }

    SECTION("random changes never break the decoder")
    {
        std::mt19937_64 random(7);
        const std::string answered = encodeAnswer(makeAnswer(), key, codeOf(asked)).value();
        for (int i = 0; i < 20000; ++i) {
            const std::string changed = mutate(answered, random);
            const auto decoded = decodeAnswer(changed, key, codeOf(asked));
            CHECK((changed == answered) == decoded.has_value());
        }
    }
}
