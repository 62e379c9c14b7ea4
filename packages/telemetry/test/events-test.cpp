#include <masticlever/telemetry/events.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <map>
#include <regex>
#include <set>

using namespace masticlever::telemetry;

namespace
{

struct page_entry {
    std::string name;
    std::string level;
};

std::map<int, page_entry> readCatalogue()
{
    std::ifstream page(MASTICLEVER_DOCS "/EVENTS.md");
    const std::regex row(R"(\| E(\d+) \| `(\w+)` \| (\w+) \|.+\|.+\|)");
    std::map<int, page_entry> entries;
    for (std::string line; std::getline(page, line);) {
        std::smatch match;
        if (std::regex_match(line, match, row)) {
            entries[std::stoi(match[1])] = {match[2], match[3]};
        }
    }
    return entries;
}

} // namespace

TEST_CASE("docs/EVENTS.md lists exactly the events of the catalogue")
{
    auto page = readCatalogue();
    int previous = 0;
    for (const event_description &entry : eventCatalogue()) {
        const int number = static_cast<int>(entry.number);
        INFO("E" << number);
        CHECK(number > previous);
        previous = number;
        REQUIRE(page.contains(number));
        CHECK(page[number].name == entry.name);
        CHECK(parseLogLevel(page[number].level).value() == entry.level);
        page.erase(number);
    }
    CHECK(page.empty());
}

TEST_CASE("an event is formatted as one line of number, name and fields")
{
    const field fields[]
        = {{"offset", std::uint64_t{7}}, {"delay_ms", -1.5}, {"empty", std::string_view("")}, {"first", true}};
    CHECK(formatEvent(event::started, fields) == "E100 started offset=7 delay_ms=-1.5 empty=\"\" first=true");

    SECTION("text values cannot insert a line break or a field")
    {
        const field hostile[] = {{"name", std::string_view("a\nE100 started x=\"1\"")}};
        CHECK(formatEvent(event::ready, hostile) == "E101 ready name=\"a?E100 started x=\\\"1\\\"\"");
    }

    SECTION("long text is truncated")
    {
        const std::string text(1000, 'x');
        const field longField[] = {{"name", std::string_view(text)}};
        CHECK(formatEvent(event::ready, longField).size() < 200);
    }
}

TEST_CASE("log levels are parsed from their names")
{
    CHECK(parseLogLevel("warning").value() == log_level::warning);
    CHECK_FALSE(parseLogLevel("loud").has_value());
}
