#include <masticlever/routing/endpoint-view-table.h>

#include <catch2/catch.hpp>

#include <cmath>

using namespace masticlever;
using namespace masticlever::routing;
using namespace std::chrono_literals;

namespace
{

const common::instant start{1000s};

} // namespace

TEST_CASE("Own requests are reported when something changes")
{
    endpoint_view_table table({});
    const request_tokens tokens{2200, 100, 2200};
    table.onOwnBegin("a", tokens);
    auto report = table.takeReport();
    REQUIRE(report.size() == 1);
    CHECK(report[0].endpoint == endpointKey("a"));
    CHECK(report[0].inFlight == 1);
    CHECK(report[0].tokens == 2300);
    CHECK(report[0].pendingTokens == 2200);
    CHECK(table.takeReport().empty());

    SECTION("the first answer ends the wait of the prompt and gives a time")
    {
        table.onOwnFirstAnswer("a", tokens, 64ms);
        report = table.takeReport();
        REQUIRE(report.size() == 1);
        CHECK(report[0].pendingTokens == 0);
        CHECK(report[0].firstEvents == 1);
        CHECK(report[0].slownessSum == Approx(4)); // 64 ms for 2,200 tokens and 1,800 beside them
    }
    SECTION("an answer that is no stream gives no time")
    {
        table.onOwnFirstAnswer("a", tokens, std::nullopt);
        CHECK(table.takeReport().at(0).firstEvents == 0);
    }
    SECTION("the end is reported once, with its outcome")
    {
        table.onOwnEnd("a", tokens, own_outcome::failed, false);
        report = table.takeReport();
        REQUIRE(report.size() == 1);
        CHECK(report[0] == load_report_entry{endpointKey("a"), 0, 0, 0, 0, 1, 0, 0});
        CHECK(table.takeReport().empty());
        table.removeIdle(start);
    }
    SECTION("all is reported again to a new reader")
    {
        table.restartReports();
        CHECK(table.takeReport().at(0).inFlight == 1);
    }
}

TEST_CASE("A view holds what others have in flight and how old this is")
{
    endpoint_view_table table({});
    CHECK_FALSE(table.view("a", start).isKnown);
    table.onOwnBegin("a", {640, 64, 640});
    table.takeReport();
    table.onOwnBegin("a", {640, 64, 640}); // not reported yet, so not in the sums
    table.onUpdate(std::vector<load_update_entry>{{endpointKey("a"), 4, 3000, 1280, 0.5, 3, 2, 100ms}}, start);
    const endpoint_view view = table.view("a", start + 200ms);
    CHECK(view.isKnown);
    CHECK(view.othersInFlight == 3);
    CHECK(view.othersTokens == 3000 - 704);
    CHECK(view.othersPendingTokens == 640);
    CHECK(view.failureShare == 0.5);
    CHECK(view.evidence == 3);
    CHECK(view.pace == 2);
    CHECK(view.age == 300ms);

    SECTION("it ends when the reader sends nothing more")
    {
        CHECK_FALSE(table.view("a", start + 9s).isKnown);
        table.removeIdle(start + 9s);
        CHECK(table.takeReport().size() == 1); // own requests stay
    }
}

TEST_CASE("Malformed load messages are refused")
{
    const std::string report = encodeLoadReport(std::vector<load_report_entry>{{1, 2, 6400, 640, 3, 4, 5, -7.5}});
    REQUIRE(decodeLoadReport(report));
    CHECK(decodeLoadReport(report).value().at(0) == load_report_entry{1, 2, 6400, 640, 3, 4, 5, -7.5});
    const std::string update = encodeLoadUpdate(std::vector<load_update_entry>{{1, 2, 6400, 640, 0.2, 3, 1.5, 120ms}});
    REQUIRE(decodeLoadUpdate(update));
    CHECK(decodeLoadUpdate(update).value().at(0).pace == 1.5);
    CHECK(decodeLoadUpdate(update).value().at(0).age == 120ms);
    for (std::size_t length = 0; length < report.size(); ++length) {
        CHECK(decodeLoadReport(report.substr(0, length)).has_value() == (length == 1)); // 1: no entries
    }
    for (std::size_t length = 0; length < update.size(); ++length) {
        CHECK(decodeLoadUpdate(update.substr(0, length)).has_value() == (length == 1));
    }
    CHECK_FALSE(decodeLoadReport(update));
    CHECK_FALSE(decodeLoadUpdate(report));
    CHECK_FALSE(decodeLoadReport(report + std::string(40, '\xff')));
}
