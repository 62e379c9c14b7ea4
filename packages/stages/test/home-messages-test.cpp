#include <masticlever/common/errors.h>
#include <masticlever/stages/home-messages.h>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::stages;

TEST_CASE("Encoded messages between instances and homes are decoded unchanged")
{
    SECTION("requests for pieces, with the time left")
    {
        piece_request_message sent;
        sent.service = "board";
        sent.request.job = 7;
        sent.request.requestId = "r1";
        sent.request.stage = 2;
        sent.request.pieces = {0, 3};
        sent.request.inputs = {"h1", "h2"};
        sent.request.dataCentre = "west";
        sent.request.priority = 1;
        sent.request.resultBytes = 6000;
        sent.request.transferBytes = 360000;
        sent.request.downstreamTime = common::duration(1234);
        sent.objectiveLeft = -5;
        sent.deadlineLeft = 99;
        std::string bytes = encodeHomeMessage(sent);
        const auto taken = takeHomeMessage(bytes);
        REQUIRE(taken);
        REQUIRE(taken.value());
        const auto &received = std::get<piece_request_message>(*taken.value());
        CHECK(received.service == "board");
        CHECK(received.request.job == 7);
        CHECK(received.request.requestId == "r1");
        CHECK(received.request.stage == 2);
        CHECK(received.request.pieces == std::vector<std::size_t>{0, 3});
        CHECK(received.request.inputs == protocol::handle_list{"h1", "h2"});
        CHECK(received.request.dataCentre == "west");
        CHECK(received.request.priority == 1);
        CHECK(received.request.resultBytes == 6000);
        CHECK(received.request.transferBytes == 360000);
        CHECK(received.request.downstreamTime == common::duration(1234));
        CHECK(received.objectiveLeft == -5);
        CHECK(received.deadlineLeft == 99);
        CHECK(bytes.empty());
    }
    SECTION("endpoint registrations")
    {
        catalog::endpoint_record record{
            "i-1", 5, 6, "desk", "10.0.0.1:80", "west", 8, catalog::endpoint_state::draining, common::duration(7)};
        std::string bytes = encodeHomeMessage(directory_message{9, "text", false, true, {record}, {"i-2"}});
        const auto taken = takeHomeMessage(bytes);
        REQUIRE(taken);
        const auto &received = std::get<directory_message>(*taken.value());
        CHECK(received.configurationVersion == 9);
        CHECK(received.configuration == "text");
        CHECK_FALSE(received.hasRegistrations);
        CHECK(received.isWhole);
        REQUIRE(received.changed.size() == 1);
        CHECK(received.changed[0] == record);
        CHECK(received.removed == std::vector<std::string>{"i-2"});
    }
    SECTION("the other types, several in one stream")
    {
        std::string bytes = encodeHomeMessage(cancel_message{3}) + encodeHomeMessage(release_message{"b", {"h"}})
            + encodeHomeMessage(results_message{4, 1, {{2, "h", 0}}})
            + encodeHomeMessage(status_message{{{"b", {1, 2}}}, {}});
        CHECK(std::get<cancel_message>(*takeHomeMessage(bytes).value()).job == 3);
        CHECK(std::get<release_message>(*takeHomeMessage(bytes).value()).handles.size() == 1);
        CHECK(std::get<results_message>(*takeHomeMessage(bytes).value()).results[0].piece == 2);
        CHECK(std::get<status_message>(*takeHomeMessage(bytes).value()).services[0].delays[1] == 2);
        CHECK_FALSE(takeHomeMessage(bytes).value().has_value());
    }
}

TEST_CASE("Invalid messages are rejected")
{
    SECTION("an incomplete message is left in the buffer")
    {
        std::string bytes = encodeHomeMessage(cancel_message{3});
        bytes.pop_back();
        const auto taken = takeHomeMessage(bytes);
        REQUIRE(taken);
        CHECK_FALSE(taken.value().has_value());
    }
    SECTION("a message over the limit is rejected by its length")
    {
        std::string bytes("\x7f\xff\xff\xff", 4);
        CHECK(takeHomeMessage(bytes).error() == common::error::too_large);
    }
    SECTION("a malformed message is rejected")
    {
        std::string bytes("\0\0\0\3abc", 7);
        CHECK(takeHomeMessage(bytes).error() == common::error::malformed);
    }
}

TEST_CASE("Evacuations are exchanged with instances of earlier versions")
{
    const std::vector<catalog::evacuation_record> records{{"west", true, 2, 7}, {"east", false, 1, 4}};
    const auto lengthOf = [](const std::string &bytes) { return bytes.size(); };
    directory_message update;
    subscribe_message subscription{5, {}};
    // Without records the messages are those of earlier versions.
    const std::size_t formerUpdate = lengthOf(encodeHomeMessage(update));
    const std::size_t formerSubscription = lengthOf(encodeHomeMessage(subscription));
    update.evacuations = records;
    subscription.evacuations = records;
    std::string bytes = encodeHomeMessage(update) + encodeHomeMessage(subscription);
    CHECK(lengthOf(encodeHomeMessage(update)) > formerUpdate);
    CHECK(lengthOf(encodeHomeMessage(subscription)) > formerSubscription);
    CHECK(std::get<directory_message>(*takeHomeMessage(bytes).value()).evacuations == records);
    CHECK(std::get<subscribe_message>(*takeHomeMessage(bytes).value()).evacuations == records);
    CHECK(bytes.empty());

    bytes = encodeHomeMessage(directory_message{}) + encodeHomeMessage(subscribe_message{5, {}});
    CHECK(std::get<directory_message>(*takeHomeMessage(bytes).value()).evacuations.empty());
    CHECK(std::get<subscribe_message>(*takeHomeMessage(bytes).value()).configurationVersion == 5);
}

TEST_CASE("The generation of the store is exchanged with instances of earlier versions")
{
    directory_message sent;
    sent.removed = {"i-2"};
    sent.storeGeneration = 3;
    std::string bytes = encodeHomeMessage(sent);

    SECTION("it is decoded")
    {
        const auto taken = takeHomeMessage(bytes);
        REQUIRE(taken);
        CHECK(std::get<directory_message>(*taken.value()).storeGeneration == 3);
    }
    SECTION("it is unknown if the sender does not send it")
    {
        constexpr std::size_t generationBytes = 8;
        bytes.resize(bytes.size() - generationBytes);
        bytes[3] = static_cast<char>(bytes[3] - static_cast<char>(generationBytes)); // the length of the body
        const auto taken = takeHomeMessage(bytes);
        REQUIRE(taken);
        REQUIRE(taken.value());
        CHECK(std::get<directory_message>(*taken.value()).removed == std::vector<std::string>{"i-2"});
        CHECK(std::get<directory_message>(*taken.value()).storeGeneration == 0);
    }
}

TEST_CASE("Endpoint load is exchanged with instances of earlier versions")
{
    std::string bytes = encodeHomeMessage(status_message{{{"b", {1, 2}}}, "load"});

    SECTION("it is decoded")
    {
        const auto taken = takeHomeMessage(bytes);
        REQUIRE(taken);
        CHECK(std::get<status_message>(*taken.value()).services.size() == 1);
        CHECK(std::get<status_message>(*taken.value()).endpointLoad == "load");
    }
    SECTION("it follows what an earlier version reads")
    {
        const std::string former = encodeHomeMessage(status_message{{{"b", {1, 2}}}, {}});
        constexpr std::size_t lengthBytes = 4;
        CHECK(bytes.substr(lengthBytes, former.size() - lengthBytes) == former.substr(lengthBytes));
        std::string received = former;
        const auto taken = takeHomeMessage(received);
        REQUIRE(taken);
        CHECK(std::get<status_message>(*taken.value()).endpointLoad.empty());
    }
}
