#include <masticlever/common/errors.h>
#include <masticlever/http1/message-reader.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace masticlever;
using namespace masticlever::http1;

namespace
{

struct recording_sink : message_sink {
    std::vector<message_head> heads;
    std::string body;
    int ends = 0;

    void onHead(message_head head) override { heads.push_back(std::move(head)); }
    void onBody(std::string_view bytes) override { body += bytes; }
    void onEnd() override { ++ends; }
};

const std::string plainHead = "POST /p HTTP/1.1\r\nHost: h\r\n";

} // namespace

TEST_CASE("Requests are parsed")
{
    recording_sink received;
    message_reader reader(message_kind::request, {}, received);

    SECTION("byte by byte, with a length")
    {
        for (const char c : plainHead + "Content-Length: 5\r\n\r\nhello") {
            REQUIRE_FALSE(reader.feed({&c, 1}));
        }
        REQUIRE(received.ends == 1);
        CHECK(received.body == "hello");
        CHECK(received.heads[0].method == "POST");
        CHECK(received.heads[0].target == "/p");
        CHECK(received.heads[0].framing == body_framing::length);
        CHECK(received.heads[0].length == 5);
    }
    SECTION("in chunks, with extensions and trailers, which are dropped")
    {
        REQUIRE_FALSE(
            reader.feed(plainHead + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX: y\r\n\r\n"));
        CHECK(received.body == "abcde");
        CHECK(received.ends == 1);
        CHECK(received.heads[0].framing == body_framing::chunked);
        CHECK(received.heads[0].find("X") == nullptr);
    }
    SECTION("in chunks, without the memory of a large read while the rest of a chunk header is awaited")
    {
        REQUIRE_FALSE(reader.feed(plainHead + "Transfer-Encoding: chunked\r\n\r\n10000\r\n" + std::string(65536, 'x')
                                  + "\r\n100"));
        CHECK(received.body.size() == 65536);
        CHECK(reader.pendingBytes() > 0);
        CHECK(reader.allocatedBytes() <= 16384);
        REQUIRE_FALSE(reader.feed("\r\n" + std::string(256, 'y') + "\r\n0\r\n\r\n"));
        CHECK(received.body.size() == 65792);
        CHECK(received.ends == 1);
    }
    SECTION("one after the other, keeping the bytes after a message for the next one")
    {
        REQUIRE_FALSE(reader.feed("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
        CHECK(received.ends == 1);
        CHECK(reader.isEnded());
        CHECK(reader.pendingBytes() > 0);
        REQUIRE_FALSE(reader.next());
        CHECK(received.ends == 2);
        CHECK(received.heads[1].target == "/2");
        REQUIRE_FALSE(reader.next());
        CHECK(reader.isUntouched());
    }
    SECTION("with a field that closes the connection")
    {
        REQUIRE_FALSE(reader.feed("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
        CHECK_FALSE(received.heads[0].keepAlive);
    }
}

TEST_CASE("Messages with ambiguous framing are rejected")
{
    recording_sink received;
    message_reader reader(message_kind::request, {}, received);

    SECTION("two lengths")
    {
        CHECK(reader.feed(plainHead + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n"));
    }
    SECTION("two equal lengths")
    {
        CHECK(reader.feed(plainHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n"));
    }
    SECTION("a list of lengths")
    {
        CHECK(reader.feed(plainHead + "Content-Length: 5, 5\r\n\r\n"));
    }
    SECTION("a length together with chunked coding")
    {
        CHECK(reader.feed(plainHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }
    SECTION("a coding other than chunked")
    {
        CHECK(reader.feed(plainHead + "Transfer-Encoding: xchunked\r\n\r\n"));
    }
    SECTION("chunked twice")
    {
        CHECK(reader.feed(plainHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }
    SECTION("a list of codings")
    {
        CHECK(reader.feed(plainHead + "Transfer-Encoding: gzip, chunked\r\n\r\n"));
    }
    SECTION("a space before the colon")
    {
        CHECK(reader.feed("GET / HTTP/1.1\r\nHost : h\r\n\r\n"));
    }
    SECTION("a chunk size that is not a number")
    {
        CHECK(reader.feed(plainHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"));
    }
    CHECK(received.ends == 0);
}

TEST_CASE("Sizes are bounded")
{
    recording_sink received;
    message_reader reader(message_kind::request, {256, 10}, received);

    SECTION("of the head")
    {
        const std::error_code failure = reader.feed("GET / HTTP/1.1\r\nA: " + std::string(300, 'x') + "\r\n\r\n");
        CHECK(failure == common::error::too_large);
        CHECK_FALSE(reader.hasHead());
    }
    SECTION("of a body with a length")
    {
        CHECK(reader.feed(plainHead + "Content-Length: 11\r\n\r\n") == common::error::too_large);
    }
    SECTION("of a body in chunks")
    {
        const std::string chunk = "6\r\nabcdef\r\n";
        CHECK(reader.feed(plainHead + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk)
              == common::error::too_large);
    }
}

TEST_CASE("Endless input is rejected before it exhausts memory")
{
    recording_sink received;
    message_reader reader(message_kind::answer, {1000, 1000000}, received);
    const auto feedWithoutEnd = [&](const std::string &bytes) {
        std::size_t fed = 0;
        while (!reader.feed(bytes) && fed < 100000) {
            fed += bytes.size();
        }
        return fed;
    };

    SECTION("a head")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\n"));
        CHECK(feedWithoutEnd("X: 12345678\r\n") < 10000);
    }
    SECTION("a field line")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nX: "));
        CHECK(feedWithoutEnd("12345678") < 10000);
    }
    SECTION("a chunk header")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x="));
        CHECK(feedWithoutEnd("12345678") < 10000);
    }
    SECTION("trailer fields after the last chunk")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"));
        CHECK(feedWithoutEnd("X: 12345678\r\n") < 10000);
    }
    SECTION("interim responses")
    {
        CHECK(feedWithoutEnd("HTTP/1.1 103 Early Hints\r\n\r\n") < 10000);
    }
}

TEST_CASE("Responses are parsed")
{
    recording_sink received;
    message_reader reader(message_kind::answer, {}, received);

    SECTION("after an interim response")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"));
        REQUIRE(received.heads.size() == 1);
        CHECK(received.heads[0].status == 200);
        CHECK(received.ends == 1);
    }
    SECTION("without a length, ended by an orderly close")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\n\r\nabc"));
        CHECK(received.heads[0].framing == body_framing::until_close);
        CHECK_FALSE(received.heads[0].keepAlive);
        CHECK(received.ends == 0);
        REQUIRE_FALSE(reader.finish());
        CHECK(received.ends == 1);
        CHECK(received.body == "abc");
    }
    SECTION("truncated before their length, which is an error")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"));
        CHECK(reader.finish());
        CHECK(received.ends == 0);
    }
    SECTION("truncated between chunks, which is an error")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
        CHECK(reader.finish());
        CHECK(received.ends == 0);
    }
    SECTION("to a HEAD request, without a body despite their length")
    {
        reader.expectNoBody();
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
        CHECK(received.ends == 1);
    }
    SECTION("but other protocols are rejected")
    {
        CHECK(reader.feed("SSH-2.0-x\r\n\r\n"));
    }
}

// Guards against a response with an invalid status that is passed on, or taken for an interim response and waited out.
TEST_CASE("A response with an invalid status is malformed")
{
    recording_sink received;
    message_reader reader(message_kind::answer, {}, received);
    const std::string status = GENERATE("000", "001", "099", "600", "999");
    const std::string fields = GENERATE("", "Call-Id: r1\r\nNot-Run: 1\r\n");
    const bool isAfterInterim = GENERATE(false, true);
    if (isAfterInterim) {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 100 Continue\r\n\r\n"));
    }
    CHECK(reader.feed("HTTP/1.1 " + status + " Odd\r\n" + fields + "Content-Length: 2\r\n\r\nok")
          == common::error::malformed);
    CHECK(reader.invalidStatusLine() == "HTTP/1.1 " + status + " Odd");
    CHECK(received.heads.empty());
    CHECK(received.ends == 0);
}
