#include <masticlever/net/connection-limit.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace masticlever::net;

TEST_CASE("The number of connections is limited for each address and in total")
{
    const connection_limits limits{.perAddress = 2, .total = 3};
    std::vector<connection_state> connections{{1, 10, false}, {2, 10, true}};
    CHECK_FALSE(connectionToClose(connections, limits));

    SECTION("the oldest unused connection of a full address is closed")
    {
        connections.push_back({3, 10, true});
        CHECK(connectionToClose(connections, limits) == 2);
    }
    SECTION("or else the newest one")
    {
        connections[1].isUnused = false;
        connections.push_back({3, 10, true});
        CHECK(connectionToClose(connections, limits) == 3);
    }
    SECTION("another address may still connect, up to the total")
    {
        connections.push_back({3, 11, true});
        CHECK_FALSE(connectionToClose(connections, limits));
        connections.push_back({4, 12, true});
        CHECK(connectionToClose(connections, limits) == 2);
    }
}
