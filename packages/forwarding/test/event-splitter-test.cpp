#include <masticlever/forwarding/event-splitter.h>

#include <catch2/catch.hpp>

using namespace masticlever::forwarding;

TEST_CASE("A stream is split into complete events")
{
    event_splitter splitter;

    SECTION("for any fragmentation, without changing a byte")
    {
        const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\n";
        std::string output;
        std::vector<whole_event> events;
        for (const char c : stream) {
            for (whole_event &entry : splitter.feed({&c, 1})) {
                output += entry.bytes;
                events.push_back(std::move(entry));
            }
        }
        CHECK(output == stream);
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == 1);
        CHECK(events[1].id == 2);
        CHECK_FALSE(events[2].id.has_value());
    }
    SECTION("an incomplete event is buffered")
    {
        CHECK(splitter.feed("id: 1\ndata: a\n").empty());
        CHECK(splitter.pendingBytes() > 0);
        CHECK(splitter.feed("\n").size() == 1);
        CHECK(splitter.pendingBytes() == 0);
    }
    SECTION("an id that is not a number is kept in the bytes and otherwise ignored")
    {
        const auto events = splitter.feed("id: x1\n\n");
        REQUIRE(events.size() == 1);
        CHECK_FALSE(events[0].id.has_value());
    }
}
