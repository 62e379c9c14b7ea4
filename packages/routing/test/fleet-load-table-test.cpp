#include <masticlever/routing/endpoint-view-table.h>
#include <masticlever/routing/fleet-load-table.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace masticlever;
using namespace masticlever::routing;
using namespace std::chrono_literals;

namespace
{

const common::instant start{1000s};
constexpr std::size_t ample = 100000;

load_report_entry reported(endpoint_key endpoint, std::uint32_t inFlight, std::uint32_t answered = 0,
                           std::uint32_t failed = 0)
{
    return {endpoint, inFlight, std::uint64_t{inFlight} * 6400, std::uint64_t{inFlight} * 640, answered, failed, 0, 0};
}

load_report_entry timed(endpoint_key endpoint, std::uint32_t firstEvents, double slowness)
{
    return {endpoint, 0, 0, 0, firstEvents, 0, firstEvents, firstEvents * std::log2(slowness)};
}

fleet_load_table tableOf(std::size_t endpoints)
{
    std::vector<fleet_load_table::endpoint_reference> references;
    for (std::size_t i = 1; i <= endpoints; ++i) {
        references.push_back({static_cast<endpoint_key>(i), "model"});
    }
    fleet_load_table table({});
    table.setEndpoints(references);
    return table;
}

load_update_entry entryOf(fleet_load_table &table, endpoint_key endpoint, common::instant now)
{
    // Every entry is due again after the refresh interval.
    const auto update = table.takeUpdate(ample, now);
    const auto found = std::ranges::find(update, endpoint, &load_update_entry::endpoint);
    REQUIRE(found != update.end());
    return *found;
}

} // namespace

TEST_CASE("The reader sums up what the instances report")
{
    fleet_load_table table = tableOf(2);
    table.onReport(1, std::vector{reported(1, 2)}, start);
    table.onReport(2, std::vector{reported(1, 3), reported(2, 1)}, start + 100ms);
    const auto sum = entryOf(table, 1, start + 200ms);
    CHECK(sum.inFlight == 5);
    CHECK(sum.tokens == 32000);
    CHECK(sum.pendingTokens == 3200);
    CHECK(sum.age == 200ms);

    SECTION("an update without changes is empty")
    {
        CHECK(table.takeUpdate(ample, start + 300ms).empty());
    }
    SECTION("a report states only what changed")
    {
        table.onReport(1, std::vector{reported(2, 1)}, start + 300ms);
        table.onReport(2, std::vector{reported(1, 0)}, start + 300ms);
        CHECK(entryOf(table, 1, start + 400ms).inFlight == 2);
    }
    SECTION("a reporter that is gone no longer counts")
    {
        table.onReporterGone(2);
        CHECK(entryOf(table, 1, start + 300ms).inFlight == 2);
    }
    SECTION("a silent reporter does not count until it reports again")
    {
        table.onReport(1, {}, start + 4s);
        CHECK(entryOf(table, 1, start + 4s).inFlight == 2);
        table.onReport(2, {}, start + 4200ms);
        CHECK(entryOf(table, 1, start + 4300ms).inFlight == 5);
    }
    SECTION("an endpoint that is gone is not sent")
    {
        table.setEndpoints(std::vector<fleet_load_table::endpoint_reference>{{2, "model"}});
        const auto update = table.takeUpdate(ample, start + 5s);
        CHECK(std::ranges::find(update, endpoint_key{1}, &load_update_entry::endpoint) == update.end());
    }
}

TEST_CASE("Under a small budget the largest changes are sent first, and all of them in the end")
{
    constexpr std::size_t endpoints = 140;
    constexpr std::size_t budget = 300;
    fleet_load_table table = tableOf(endpoints);
    table.takeUpdate(ample, start);
    std::vector<load_report_entry> report;
    for (std::size_t i = 1; i <= endpoints; ++i) {
        report.push_back(reported(static_cast<endpoint_key>(i), i == 77 ? 12 : 1));
    }
    table.onReport(1, report, start);
    std::set<endpoint_key> sent;
    const auto first = table.takeUpdate(budget, start + 200ms);
    REQUIRE(!first.empty());
    CHECK(first[0].endpoint == 77);
    CHECK(encodeLoadUpdate(first).size() <= budget + 1);
    for (const auto &entry : first) {
        sent.insert(entry.endpoint);
    }
    for (int round = 2; round <= 8; ++round) {
        table.onReport(1, std::vector{reported(77, static_cast<std::uint32_t>(12 + round))}, start + round * 200ms);
        for (const auto &entry : table.takeUpdate(budget, start + round * 200ms)) {
            sent.insert(entry.endpoint);
        }
    }
    CHECK(sent.size() == endpoints); // in 1.6 s
}

TEST_CASE("The failure share depends little on a single instance")
{
    fleet_load_table table = tableOf(1);
    for (std::uint64_t reporter = 1; reporter <= 9; ++reporter) {
        table.onReport(reporter, std::vector{reported(1, 0, 4, 0)}, start);
    }
    table.onReport(10, std::vector{reported(1, 0, 0, 100)}, start);
    auto sum = entryOf(table, 1, start);
    CHECK(sum.evidence == 10);
    CHECK(sum.failureShare < 0.11);

    SECTION("failures that all see are believed")
    {
        for (std::uint64_t reporter = 1; reporter <= 9; ++reporter) {
            table.onReport(reporter, std::vector{reported(1, 0, 0, 36)}, start + 1s);
        }
        CHECK(entryOf(table, 1, start + 1s).failureShare > 0.85);
    }
    SECTION("reports age out")
    {
        CHECK(entryOf(table, 1, start + 100s).evidence == 0);
    }
}

TEST_CASE("The pace of an endpoint is its time to the first event relative to the median of its service")
{
    fleet_load_table table = tableOf(5);
    const auto report = [&](double slowness, common::instant now) {
        for (endpoint_key endpoint = 1; endpoint <= 4; ++endpoint) {
            table.onReport(1, std::vector{timed(endpoint, 4, 30)}, now);
        }
        table.onReport(2, std::vector{timed(5, 4, slowness)}, now);
    };
    common::instant now = start;
    for (int i = 0; i < 30; ++i) {
        report(60, now += 1s);
    }
    CHECK(entryOf(table, 5, now).pace == Approx(2).epsilon(0.1));
    CHECK(entryOf(table, 1, now + 3s).pace == Approx(1));

    SECTION("follows a change within about ten seconds")
    {
        for (int i = 0; i < 14; ++i) {
            report(30, now += 1s);
        }
        CHECK(entryOf(table, 5, now).pace < 1.25);
    }
    SECTION("is bounded")
    {
        for (int i = 0; i < 40; ++i) {
            report(30 * 1000, now += 1s);
        }
        CHECK(entryOf(table, 5, now).pace == 4);
    }
    SECTION("is 1 without reports")
    {
        CHECK(entryOf(table, 5, now + 200s).pace == 1);
    }
}

// Guards against sums that drift from the truth through reports of changes only, lost readers and own requests.
TEST_CASE("Views agree with the requests in flight, also after the reader was lost")
{
    constexpr std::size_t instances = 12;
    constexpr std::size_t endpoints = 9;
    const auto seed = GENERATE(1u, 2u, 3u, 4u, 5u);
    std::mt19937 random(seed);
    std::vector<endpoint_view_table> views(instances, endpoint_view_table({}));
    std::vector<std::vector<int>> truth(instances, std::vector<int>(endpoints));
    std::vector<fleet_load_table::endpoint_reference> references;
    for (std::size_t e = 0; e < endpoints; ++e) {
        references.push_back({endpointKey("m" + std::to_string(e)), "model"});
    }
    auto table = std::make_unique<fleet_load_table>(fleet_load_options{});
    table->setEndpoints(references);
    const request_tokens tokens{2400, 100, 2400};
    common::instant now = start;
    for (int round = 0; round < 60; ++round) {
        now += 200ms;
        for (std::size_t i = 0; i < instances; ++i) {
            const std::size_t e = random() % endpoints;
            const std::string id = "m" + std::to_string(e);
            if (truth[i][e] > 0 && random() % 2 == 0) {
                views[i].onOwnEnd(id, tokens, own_outcome::answered, false);
                --truth[i][e];
            } else {
                views[i].onOwnBegin(id, tokens);
                ++truth[i][e];
            }
        }
        if (round == 40) { // the next reader knows nothing
            table = std::make_unique<fleet_load_table>(fleet_load_options{});
            table->setEndpoints(references);
            for (auto &view : views) {
                view.restartReports();
            }
        }
        for (std::size_t i = 0; i < instances; ++i) {
            const auto report = decodeLoadReport(encodeLoadReport(views[i].takeReport()));
            REQUIRE(report);
            table->onReport(i, report.value(), now);
        }
        const auto update = decodeLoadUpdate(encodeLoadUpdate(table->takeUpdate(ample, now)));
        REQUIRE(update);
        for (auto &view : views) {
            view.onUpdate(update.value(), now);
        }
        for (std::size_t i = 0; i < instances; ++i) {
            for (std::size_t e = 0; e < endpoints; ++e) {
                int others = 0;
                for (std::size_t other = 0; other < instances; ++other) {
                    others += other == i ? 0 : truth[other][e];
                }
                const endpoint_view view = views[i].view("m" + std::to_string(e), now);
                REQUIRE(view.isKnown);
                REQUIRE(view.othersInFlight == others);
                REQUIRE(std::abs(view.othersPendingTokens - others * 2400) <= 32 * instances);
            }
        }
    }
}
