#include <masticlever/http1/message.h>

#include <catch2/catch.hpp>

using namespace masticlever::http1;

TEST_CASE("Heads of messages")
{
    message_head head;
    head.method = "POST";
    head.target = "/a/b?c=d";
    head.fields = {{"Host", "example"}, {"X-One", "1"}, {"Connection", "keep-alive, X-One"}};

    SECTION("find the first field of a name case-insensitively")
    {
        head.fields.push_back({"x-one", "2"});
        REQUIRE(head.find("x-ONE") != nullptr);
        CHECK(*head.find("x-ONE") == "1");
        CHECK(head.find("absent") == nullptr);
    }
    SECTION("identify the fields of a single connection")
    {
        CHECK(isConnectionField(head, "transfer-encoding"));
        CHECK(isConnectionField(head, "Content-Length"));
        CHECK(isConnectionField(head, "x-one")); // listed in Connection
        CHECK_FALSE(isConnectionField(head, "Host"));
    }
    SECTION("are serialized with fields unchanged")
    {
        CHECK(requestText(head)
              == "POST /a/b?c=d HTTP/1.1\r\nHost: example\r\nX-One: 1\r\nConnection: keep-alive, X-One\r\n\r\n");
        message_head answer;
        answer.status = 503;
        CHECK(answerText(answer) == "HTTP/1.1 503 Service Unavailable\r\n\r\n");
        answer.reason = "Busy";
        CHECK(answerText(answer) == "HTTP/1.1 503 Busy\r\n\r\n");
    }
    SECTION("are followed by chunks, without empty ones, which would end the body")
    {
        CHECK(chunkText("").empty());
        CHECK(chunkText(std::string(26, 'x')) == "1a\r\n" + std::string(26, 'x') + "\r\n");
    }
}
