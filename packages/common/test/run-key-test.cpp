#include <masticlever/common/run-key.h>

#include <catch2/catch.hpp>

using namespace masticlever::common;

TEST_CASE("a run key is a UUIDv7")
{
    SECTION("an upper-case key is converted to canonical form")
    {
        const auto key = parseKey("0192F0C1-2A3B-7CDE-8F01-23456789ABCD");
        REQUIRE(key.has_value());
        CHECK(key.value() == "0192f0c1-2a3b-7cde-8f01-23456789abcd");

        SECTION("the time stamp is read from the key")
        {
            CHECK(keyTime(key.value()).time_since_epoch().count() == 0x0192f0c12a3b);
        }
    }

    SECTION("other versions, variants and lengths are malformed")
    {
        CHECK_FALSE(parseKey("0192f0c1-2a3b-4cde-8f01-23456789abcd").has_value());
        CHECK_FALSE(parseKey("0192f0c1-2a3b-7cde-0f01-23456789abcd").has_value());
        CHECK_FALSE(parseKey("0192f0c1").has_value());
        CHECK_FALSE(parseKey("0192f0c1-2a3b-7cde-8f01-23456789abcd0").has_value());
        CHECK_FALSE(parseKey("zzzzzzzz-2a3b-7cde-8f01-23456789abcd").has_value());
    }
}
