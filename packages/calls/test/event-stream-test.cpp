#include <masticlever/calls/event-stream.h>

#include <catch2/catch.hpp>

using masticlever::calls::event_stream_reader;

TEST_CASE("parsing server-sent events from partial input")
{
    event_stream_reader reader(64);

    SECTION("an empty line completes an event")
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

    SECTION("an event over the size limit puts the reader into the failed state")
    {
        reader.feed("data: " + std::string(100, 'a'));
        CHECK(reader.hasFailed());
        CHECK(reader.feed("\n\n").empty());
    }
}
