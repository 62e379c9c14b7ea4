#include <masticlever/net/receive-budget.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using masticlever::net::receive_budget;

TEST_CASE("Memory held for peers is bounded")
{
    receive_budget budget(1000);
    receive_budget::holding first(budget, "a");

    SECTION("one peer gets only a part, over all its exchanges")
    {
        receive_budget::holding second(budget, "a");
        CHECK(first.resize(300));
        CHECK(second.resize(200));
        CHECK_FALSE(second.resize(201));
        CHECK(budget.heldBytes() == 500);

        SECTION("and released bytes can be reserved again")
        {
            CHECK(first.resize(100));
            CHECK(second.resize(400));
        }
    }
    SECTION("several peers together get the whole budget, and no more")
    {
        std::vector<std::unique_ptr<receive_budget::holding>> others;
        for (int i = 0; i < 4; ++i) {
            others.push_back(std::make_unique<receive_budget::holding>(budget, "b" + std::to_string(i)));
            CHECK(others.back()->resize(250));
        }
        CHECK_FALSE(others.front()->resize(300));

        SECTION("but a peer below its fair share can still reserve")
        {
            CHECK(first.resize(150));
            CHECK_FALSE(first.resize(250));
        }
        SECTION("and their bytes are released when they end")
        {
            others.clear();
            CHECK(budget.heldBytes() == 0);
            CHECK(first.resize(500));
        }
    }
    SECTION("a restart for another peer begins with an empty reservation")
    {
        CHECK(first.resize(500));
        first.restart("c");
        CHECK(budget.heldBytes() == 0);
        CHECK(first.resize(500));
    }
}
