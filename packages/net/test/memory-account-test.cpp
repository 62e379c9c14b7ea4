#include <masticlever/net/memory-account.h>

#include <catch2/catch.hpp>

using namespace masticlever::net;
using masticlever::common::instant;

TEST_CASE("Memory that callers make a process hold is bounded")
{
    memory_account account({.limit = 1000, .smallUse = 20});
    const instant start{};
    const auto reading = [](std::size_t declared, std::size_t received) {
        return memory_use{.declaredBody = declared, .receivedBody = received, .isReadingBody = true};
    };

    SECTION("a body counts by its declared or its received size, whichever is larger")
    {
        account.update(1, reading(300, 10), start);
        CHECK(account.heldBytes() == 300);
        account.update(1, reading(0, 400), start);
        CHECK(account.heldBytes() == 400);
        account.update(1, {.receivedBody = 400, .allocatedBody = 450, .isReadingBody = true}, start);
        CHECK(account.heldBytes() == 450);
        account.update(1, {.receiveBuffer = 8, .copies = 1, .readAhead = 2, .unsent = 4}, start);
        CHECK(account.heldBytes() == 15);
        account.remove(1);
        CHECK(account.heldBytes() == 0);
    }
    SECTION("of connections that hold equally much, the newest is shed")
    {
        CHECK(account.update(1, reading(500, 0), start).empty());
        CHECK(account.update(2, reading(500, 0), start).empty());
        const auto shed = account.update(3, reading(500, 0), start);
        REQUIRE(shed.size() == 1);
        CHECK(shed[0].connection == 3);
        CHECK(shed[0].cause == shed_cause::newest);
        CHECK(account.heldBytes() == 1000);

        SECTION("but a small request is admitted beside them, up to the reserve")
        {
            for (std::uint64_t i = 4; i < 10; ++i) {
                CHECK(account.update(i, {.receivedBody = 20}, start).empty());
            }
            CHECK(account.update(10, {.receivedBody = 20}, start).front().connection == 2);
        }
    }
    SECTION("the connection that holds most is shed before the one that grows")
    {
        account.update(1, {.unsent = 700}, start);
        const auto shed = account.update(2, reading(0, 400), start);
        REQUIRE(shed.size() == 1);
        CHECK(shed[0].connection == 1);
        CHECK(shed[0].cause == shed_cause::largest);
        CHECK(shed[0].bytes == 700);
    }
    SECTION("a connection that is being closed while its caller goes on sending is shed before all others")
    {
        account.update(1, {.receiveBuffer = 300, .isClosing = true}, start);
        account.update(2, reading(700, 10), start);
        const auto shed = account.update(3, reading(300, 0), start);
        REQUIRE(shed.size() == 1);
        CHECK(shed[0].connection == 1);
        CHECK(shed[0].cause == shed_cause::closing);
        CHECK(account.heldBytes() == 1000);
    }
    SECTION("room for a larger receive buffer does not include the reserve")
    {
        account.update(1, reading(700, 0), start);
        CHECK(account.hasRoom(300));
        CHECK_FALSE(account.hasRoom(301));
    }
    SECTION("a body that makes no progress is shed before one that holds more")
    {
        account.update(1, reading(300, 10), start);
        account.update(2, reading(700, 10), start);
        const instant later = start + std::chrono::seconds(2);
        account.update(2, reading(700, 20), later);
        const auto shed = account.update(3, reading(200, 0), later);
        REQUIRE(shed.size() == 1);
        CHECK(shed[0].connection == 1);
        CHECK(shed[0].cause == shed_cause::stalled_body);
    }
    SECTION("a connection that shrinks is never shed")
    {
        account.update(1, reading(1000, 0), start);
        account.update(2, {.receivedBody = 20}, start);
        CHECK(account.update(1, reading(990, 0), start).empty());
    }
}
