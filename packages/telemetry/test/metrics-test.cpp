#include <masticlever/telemetry/metrics.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

using namespace masticlever::telemetry;

namespace
{

constexpr metric_family runs{"test_runs_total", "Runs.", 2};
constexpr metric_family load{"test_load", "Load."};
constexpr double bounds[] = {0.1, 1.0};
constexpr metric_family delay{"test_delay_seconds", "Delay.", 10, bounds};

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::set<std::string> namesIn(const std::string &text, const std::regex &pattern)
{
    std::set<std::string> names;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
        names.insert((*match)[1]);
    }
    return names;
}

/// String literals outside the tests that start with the metric prefix "masticlever_".
std::set<std::string> namesInSources()
{
    const std::regex literal(R"re("(masticlever_[a-z_]+)")re");
    std::set<std::string> names;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(MASTICLEVER_PACKAGES)) {
        const std::string extension = entry.path().extension();
        const bool isSource = extension == ".cpp" || extension == ".h";
        if (isSource && entry.path().parent_path().filename() != "test") {
            names.merge(namesIn(readFile(entry.path()), literal));
        }
    }
    return names;
}

} // namespace

TEST_CASE("docs/METRICS.md lists exactly the metrics of the sources")
{
    const std::regex row(R"(\n\| `(masticlever_[a-z_]+)` \| (?:counter|gauge|histogram) \|)");
    CHECK(namesIn(readFile(MASTICLEVER_DOCS "/METRICS.md"), row) == namesInSources());
}

TEST_CASE("metrics are created on first use")
{
    metric_registry registry;
    CHECK(registry.exposition().empty());

    SECTION("a counter family has one counter for each set of label values")
    {
        const counter first = registry.counterOf(runs, {{"team", "a"}});
        first.add();
        registry.counterOf(runs, {{"team", "a"}}).add(2);
        CHECK(first.value() == 3);
        CHECK(registry.exposition().find("test_runs_total{team=\"a\"} 3") != std::string::npos);

        SECTION("label values over the limit share one counter")
        {
            registry.counterOf(runs, {{"team", "b"}}).add();
            registry.counterOf(runs, {{"team", "c"}}).add();
            registry.counterOf(runs, {{"team", "d"}}).add();
            registry.counterOf(runs, {{"team", "a"}}).add();
            const std::string text = registry.exposition();
            CHECK(text.find("team=\"other\"} 2") != std::string::npos);
            CHECK(text.find("team=\"c\"") == std::string::npos);
            CHECK(first.value() == 4);
        }
    }

    SECTION("gauges and histograms are written in the text format")
    {
        registry.gaugeOf(load).set(2.5);
        registry.histogramOf(delay, {{"stage", "rank"}}).observe(0.5);
        const std::string text = registry.exposition();
        CHECK(text.find("test_load 2.5") != std::string::npos);
        CHECK(text.find("test_delay_seconds_bucket{stage=\"rank\",le=\"0.1\"} 0") != std::string::npos);
        CHECK(text.find("test_delay_seconds_bucket{stage=\"rank\",le=\"1\"} 1") != std::string::npos);
    }
}
