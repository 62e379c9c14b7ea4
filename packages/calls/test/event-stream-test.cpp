#include <masticlever/calls/event-stream.h>

#include <catch2/catch.hpp>

using masticlever::calls::event_stream_reader;

TEST_CASE("server-sent events arrive in pieces")
{
    event_stream_reader reader(64);

    SECTION("an event is complete at its empty line")
    {
        CHECK(reader.feed("event: token\r\nda").empty());
        CHECK(reader.feed("ta: {\"text\":\"a\"}\n").empty());
        const auto events = reader.feed("\n: comment\n\nevent: end\ndata:x\ndata:y\n\n");
        REQUIRE(events.size() == 2);
        CHECK(events[0].name == "token");
        CHECK(events[0].data == "{\"text\":\"a\"}");
        CHECK(events[1].name == "end");
        CHECK(events[1].data == "x\ny");
    }

    SECTION("an event over the limit fails the reader instead of growing it")
    {
        reader.feed("data: " + std::string(100, 'a'));
        CHECK(reader.hasFailed());
        CHECK(reader.feed("\n\n").empty());
    }
}
