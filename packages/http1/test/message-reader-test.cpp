#include <masticlever/common/errors.h>
#include <masticlever/http1/message-reader.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace masticlever;
using namespace masticlever::http1;

namespace
{

struct recorder : message_sink {
    std::vector<message_head> heads;
    std::string body;
    int ends = 0;

    void onHead(message_head head) override { heads.push_back(std::move(head)); }
    void onBody(std::string_view bytes) override { body += bytes; }
    void onEnd() override { ++ends; }
};

const std::string plainHead = "POST /p HTTP/1.1\r\nHost: h\r\n";

} // namespace

TEST_CASE("Requests are read")
{
    recorder seen;
    message_reader reader(message_kind::request, {}, seen);

    SECTION("byte by byte, with a length")
    {
        for (const char c : plainHead + "Content-Length: 5\r\n\r\nhello") {
            REQUIRE_FALSE(reader.feed({&c, 1}));
        }
        REQUIRE(seen.ends == 1);
        CHECK(seen.body == "hello");
        CHECK(seen.heads[0].method == "POST");
        CHECK(seen.heads[0].target == "/p");
        CHECK(seen.heads[0].framing == body_framing::length);
        CHECK(seen.heads[0].length == 5);
    }
    SECTION("in chunks, with extensions and trailers, which are not passed on")
    {
        REQUIRE_FALSE(
            reader.feed(plainHead + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX: y\r\n\r\n"));
        CHECK(seen.body == "abcde");
        CHECK(seen.ends == 1);
        CHECK(seen.heads[0].framing == body_framing::chunked);
        CHECK(seen.heads[0].find("X") == nullptr);
    }
    SECTION("one after the other; what follows a message waits for the next")
    {
        REQUIRE_FALSE(reader.feed("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"));
        CHECK(seen.ends == 1);
        CHECK(reader.isEnded());
        CHECK(reader.pendingBytes() > 0);
        REQUIRE_FALSE(reader.next());
        CHECK(seen.ends == 2);
        CHECK(seen.heads[1].target == "/2");
        REQUIRE_FALSE(reader.next());
        CHECK(reader.isUntouched());
    }
    SECTION("whether the connection stays open")
    {
        REQUIRE_FALSE(reader.feed("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
        CHECK_FALSE(seen.heads[0].keepAlive);
    }
}

TEST_CASE("What two readers could frame differently is refused")
{
    recorder seen;
    message_reader reader(message_kind::request, {}, seen);

    SECTION("two lengths")
    {
        CHECK(reader.feed(plainHead + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n"));
    }
    SECTION("two equal lengths")
    {
        CHECK(reader.feed(plainHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n"));
    }
    SECTION("a length that is no number")
    {
        CHECK(reader.feed(plainHead + "Content-Length: 5, 5\r\n\r\n"));
    }
    SECTION("a length beside chunks")
    {
        CHECK(reader.feed(plainHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }
    SECTION("another coding than chunked")
    {
        CHECK(reader.feed(plainHead + "Transfer-Encoding: xchunked\r\n\r\n"));
    }
    SECTION("chunked twice")
    {
        CHECK(reader.feed(plainHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"));
    }
    SECTION("codings in a list")
    {
        CHECK(reader.feed(plainHead + "Transfer-Encoding: gzip, chunked\r\n\r\n"));
    }
    SECTION("a blank before the colon")
    {
        CHECK(reader.feed("GET / HTTP/1.1\r\nHost : h\r\n\r\n"));
    }
    SECTION("a chunk size that is no number")
    {
        CHECK(reader.feed(plainHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"));
    }
    CHECK(seen.ends == 0);
}

TEST_CASE("Sizes are bounded")
{
    recorder seen;
    message_reader reader(message_kind::request, {256, 10}, seen);

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

TEST_CASE("What never ends is refused before it fills the memory")
{
    recorder seen;
    message_reader reader(message_kind::answer, {1000, 1000000}, seen);
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
    SECTION("a line of a head")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nX: "));
        CHECK(feedWithoutEnd("12345678") < 10000);
    }
    SECTION("the head of a chunk")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x="));
        CHECK(feedWithoutEnd("12345678") < 10000);
    }
    SECTION("the fields after the last chunk")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"));
        CHECK(feedWithoutEnd("X: 12345678\r\n") < 10000);
    }
    SECTION("interim answers")
    {
        CHECK(feedWithoutEnd("HTTP/1.1 103 Early Hints\r\n\r\n") < 10000);
    }
}

TEST_CASE("Answers are read")
{
    recorder seen;
    message_reader reader(message_kind::answer, {}, seen);

    SECTION("after an interim answer")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 200);
        CHECK(seen.ends == 1);
    }
    SECTION("without a length: an orderly close is their end")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\n\r\nabc"));
        CHECK(seen.heads[0].framing == body_framing::until_close);
        CHECK_FALSE(seen.heads[0].keepAlive);
        CHECK(seen.ends == 0);
        REQUIRE_FALSE(reader.finish());
        CHECK(seen.ends == 1);
        CHECK(seen.body == "abc");
    }
    SECTION("cut before their length: the close is an error")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"));
        CHECK(reader.finish());
        CHECK(seen.ends == 0);
    }
    SECTION("cut in the middle of chunks")
    {
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
        CHECK(reader.finish());
        CHECK(seen.ends == 0);
    }
    SECTION("to a HEAD request, without the body that their length announces")
    {
        reader.expectNoBody();
        REQUIRE_FALSE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
        CHECK(seen.ends == 1);
    }
    SECTION("but not bytes that are none")
    {
        CHECK(reader.feed("SSH-2.0-x\r\n\r\n"));
    }
}
