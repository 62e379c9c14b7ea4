#include <masticlever/common/errors.h>
#include <masticlever/stages/home-messages.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::stages;

TEST_CASE("Messages between instances and homes survive the wire")
{
    SECTION("wishes, with what is left of their time")
    {
        wish_message sent;
        sent.service = "board";
        sent.wish.job = 7;
        sent.wish.requestId = "r1";
        sent.wish.stage = 2;
        sent.wish.pieces = {0, 3};
        sent.wish.inputs = {"h1", "h2"};
        sent.wish.dataCentre = "west";
        sent.wish.priority = 1;
        sent.wish.resultBytes = 6000;
        sent.wish.nearBytes = 360000;
        sent.wish.laterWork = common::duration(1234);
        sent.objectiveLeft = -5;
        sent.deadlineLeft = 99;
        std::string bytes = encodeHomeMessage(sent);
        const auto taken = takeHomeMessage(bytes);
        REQUIRE(taken);
        REQUIRE(taken.value());
        const auto &got = std::get<wish_message>(*taken.value());
        CHECK(got.service == "board");
        CHECK(got.wish.job == 7);
        CHECK(got.wish.requestId == "r1");
        CHECK(got.wish.stage == 2);
        CHECK(got.wish.pieces == std::vector<std::size_t>{0, 3});
        CHECK(got.wish.inputs == std::vector<std::string>{"h1", "h2"});
        CHECK(got.wish.dataCentre == "west");
        CHECK(got.wish.priority == 1);
        CHECK(got.wish.resultBytes == 6000);
        CHECK(got.wish.nearBytes == 360000);
        CHECK(got.wish.laterWork == common::duration(1234));
        CHECK(got.objectiveLeft == -5);
        CHECK(got.deadlineLeft == 99);
        CHECK(bytes.empty());
    }
    SECTION("registrations of endpoints")
    {
        catalog::endpoint_record record{
            "i-1", 5, 6, "desk", "10.0.0.1:80", "west", 8, catalog::endpoint_state::draining, common::duration(7)};
        std::string bytes = encodeHomeMessage(directory_message{9, "text", false, true, {record}, {"i-2"}});
        const auto taken = takeHomeMessage(bytes);
        REQUIRE(taken);
        const auto &got = std::get<directory_message>(*taken.value());
        CHECK(got.configurationVersion == 9);
        CHECK(got.configuration == "text");
        CHECK_FALSE(got.isRead);
        CHECK(got.isWhole);
        REQUIRE(got.changed.size() == 1);
        CHECK(got.changed[0] == record);
        CHECK(got.removed == std::vector<std::string>{"i-2"});
    }
    SECTION("the others, one after the other from one stream")
    {
        std::string bytes = encodeHomeMessage(cancel_message{3}) + encodeHomeMessage(release_message{"b", {"h"}})
            + encodeHomeMessage(results_message{4, 1, {{2, "h", 0}}})
            + encodeHomeMessage(status_message{{{"b", {1, 2}}}});
        CHECK(std::get<cancel_message>(*takeHomeMessage(bytes).value()).job == 3);
        CHECK(std::get<release_message>(*takeHomeMessage(bytes).value()).handles.size() == 1);
        CHECK(std::get<results_message>(*takeHomeMessage(bytes).value()).results[0].piece == 2);
        CHECK(std::get<status_message>(*takeHomeMessage(bytes).value()).services[0].delays[1] == 2);
        CHECK_FALSE(takeHomeMessage(bytes).value().has_value());
    }
}

TEST_CASE("Bytes that are no message end the connection")
{
    SECTION("an incomplete one is waited for")
    {
        std::string bytes = encodeHomeMessage(cancel_message{3});
        bytes.pop_back();
        const auto taken = takeHomeMessage(bytes);
        REQUIRE(taken);
        CHECK_FALSE(taken.value().has_value());
    }
    SECTION("one over the limit is refused before it is read")
    {
        std::string bytes("\x7f\xff\xff\xff", 4);
        CHECK(takeHomeMessage(bytes).error() == common::error::too_large);
    }
    SECTION("garbage is refused")
    {
        std::string bytes("\0\0\0\3abc", 7);
        CHECK(takeHomeMessage(bytes).error() == common::error::malformed);
    }
}
