#include <masticlever/forwarding/event-splitter.h>

#include <catch2/catch.hpp>

using namespace masticlever::forwarding;

TEST_CASE("A stream is cut into whole events")
{
    event_splitter splitter;

    SECTION("whatever the pieces it comes in, without changing a byte")
    {
        const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\n";
        std::string passed;
        std::vector<whole_event> events;
        for (const char c : stream) {
            for (whole_event &entry : splitter.feed({&c, 1})) {
                passed += entry.bytes;
                events.push_back(std::move(entry));
            }
        }
        CHECK(passed == stream);
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == 1);
        CHECK(events[1].id == 2);
        CHECK_FALSE(events[2].id.has_value());
    }
    SECTION("an event that is not complete is kept back")
    {
        CHECK(splitter.feed("id: 1\ndata: a\n").empty());
        CHECK(splitter.pendingBytes() > 0);
        CHECK(splitter.feed("\n").size() == 1);
        CHECK(splitter.pendingBytes() == 0);
    }
    SECTION("an id that is no number is passed on and not understood")
    {
        const auto events = splitter.feed("id: x1\n\n");
        REQUIRE(events.size() == 1);
        CHECK_FALSE(events[0].id.has_value());
    }
}
