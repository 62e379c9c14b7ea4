#include <masticlever/common/errors.h>
#include <masticlever/orders/lease.h>

#include <catch2/catch.hpp>

using namespace masticlever::orders;
using masticlever::common::instant;
using namespace std::chrono_literals;

namespace
{

lease_record makeRecord(const std::string &holder, std::uint64_t follows, bool release = false)
{
    return {"models", holder, 1, follows, 30s, release};
}

} // namespace

TEST_CASE("lease record: JSON round trip")
{
    const lease_record record{"models", "a-1", ~std::uint64_t{0}, 7, 30s, true};
    CHECK(decodeLease(encodeLease(record)).value() == record);

    SECTION("invalid text is malformed")
    {
        CHECK_FALSE(decodeLease("").has_value());
        CHECK_FALSE(decodeLease("[]").has_value());
        CHECK_FALSE(decodeLease(R"({"pool":"p","holder":"h","nonce":"x","follows":"1"})").has_value());
        CHECK_FALSE(decodeLease(R"({"pool":"","holder":"h","nonce":"1","follows":"1"})").has_value());
    }
}

TEST_CASE("of concurrent records the lower offset wins")
{
    const instant now = instant{} + 1h;
    lease_table table;
    table.onHead(1);
    CHECK(table.find("models").isReleased);
    CHECK(table.onRecord(3, makeRecord("a", 0), now));
    CHECK_FALSE(table.onRecord(4, makeRecord("b", 0), now));
    CHECK(table.find("models").holder == "a");
    CHECK(table.find("models").fencing == 3);
    CHECK(table.find("models").expiresAt == now + 30s);

    SECTION("a takeover that follows an older record than the renewal is ignored")
    {
        CHECK(table.onRecord(5, makeRecord("a", 3), now));
        CHECK_FALSE(table.onRecord(6, makeRecord("b", 3), now));
        CHECK(table.onRecord(7, makeRecord("b", 5), now));
    }

    SECTION("only the holder can release the lease")
    {
        CHECK_FALSE(table.onRecord(5, makeRecord("b", 3, true), now));
        CHECK(table.onRecord(6, makeRecord("a", 3, true), now));
        CHECK(table.find("models").isReleased);
    }

    SECTION("a record is not applied twice")
    {
        CHECK_FALSE(table.onRecord(3, makeRecord("a", 0), now));
    }

    SECTION("after the pool's last record is removed, a record that follows none is accepted")
    {
        table.onHead(9);
        CHECK(table.onRecord(9, makeRecord("b", 0), now));
    }
}

TEST_CASE("an instance that starts late agrees with instances that read all records")
{
    const instant now = instant{} + 1h;
    lease_table late;
    late.onHead(18);
    CHECK(late.onRecord(19, makeRecord("loser", 10), now));
    CHECK(late.onRecord(20, makeRecord("c", 15), now));
    CHECK_FALSE(late.onRecord(21, makeRecord("second", 15), now));
    CHECK_FALSE(late.onRecord(22, makeRecord("loser", 10), now));
    CHECK(late.onRecord(25, makeRecord("c", 20), now));
}
