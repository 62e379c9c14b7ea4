#include <masticlever/net/receive-budget.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using masticlever::net::receive_budget;

TEST_CASE("What peers can make a process hold is bounded")
{
    receive_budget budget(1000);
    receive_budget::holding first(budget, "a");

    SECTION("one peer alone gets a part, over all its exchanges")
    {
        receive_budget::holding second(budget, "a");
        CHECK(first.resize(300));
        CHECK(second.resize(200));
        CHECK_FALSE(second.resize(201));
        CHECK(budget.heldBytes() == 500);

        SECTION("and what it gives back may be held again")
        {
            CHECK(first.resize(100));
            CHECK(second.resize(400));
        }
    }
    SECTION("several get all of it together, and no more")
    {
        std::vector<std::unique_ptr<receive_budget::holding>> others;
        for (int i = 0; i < 4; ++i) {
            others.push_back(std::make_unique<receive_budget::holding>(budget, "b" + std::to_string(i)));
            CHECK(others.back()->resize(250));
        }
        CHECK_FALSE(others.front()->resize(300));

        SECTION("but one with less than its even share is not made to suffer for them")
        {
            CHECK(first.resize(150));
            CHECK_FALSE(first.resize(250));
        }
        SECTION("until they end")
        {
            others.clear();
            CHECK(budget.heldBytes() == 0);
            CHECK(first.resize(500));
        }
    }
    SECTION("an exchange with another peer begins with nothing")
    {
        CHECK(first.resize(500));
        first.restart("c");
        CHECK(budget.heldBytes() == 0);
        CHECK(first.resize(500));
    }
}
