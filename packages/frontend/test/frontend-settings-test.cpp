#include <masticlever/frontend/frontend-settings.h>

#include <catch2/catch.hpp>

#include <QTemporaryDir>

#include <fstream>

using namespace masticlever::frontend;
using namespace std::chrono_literals;

namespace
{

const std::string completeSettings
    = "[instance]\nname=front-1\ndata_centre=west\nmemory_mb=182\ncore_share=0.17\ncore_speed=2\nlink_mbps=700\n"
      "[listen]\nfront=127.0.0.1:1\nready=127.0.0.1:2\nmetrics=127.0.0.1:3\ngossip=127.0.0.1:4\n"
      "homes=127.0.0.1:5\n"
      "[fleet]\ncontacts=127.0.0.2:3,127.0.0.3:3\nport=4\nkey=0123456789abcdef\n"
      "[store]\naddress=127.0.0.1:6\n[retries]\nratio=0.3\nslack=126\nwindow_s=10\n"
      "[stop]\nlimit_s=8\n";

class settings_folder
{
public:
    std::variant<frontend_settings, frontend_settings_error> read(const std::string &text)
    {
        const std::string file = m_folder.filePath(QStringLiteral("front.ini")).toStdString();
        std::ofstream(file) << text;
        return readFrontendSettings(file);
    }

private:
    QTemporaryDir m_folder;
};

std::string without(std::string text, const std::string &line)
{
    text.erase(text.find(line), line.size());
    return text;
}

} // namespace

TEST_CASE("Frontend settings are read from a file")
{
    settings_folder folder;
    const auto read = folder.read(completeSettings);
    REQUIRE(std::holds_alternative<frontend_settings>(read));
    const auto &settings = std::get<frontend_settings>(read);
    CHECK(settings.name == "front-1");
    CHECK(settings.memoryBytes == 182000000);
    CHECK(settings.cores == Approx(0.34));
    CHECK(settings.linkMbps == 700);
    CHECK(settings.retryRatio == 0.3);
    CHECK(settings.retryWindow == 10s);
    CHECK(settings.stopLimit == 8s);

    SECTION("contacts get the gossip port")
    {
        CHECK(settings.contacts == std::vector<std::string>{"127.0.0.2:4", "127.0.0.3:4"});
    }
    SECTION("the contacts may be empty")
    {
        CHECK(std::holds_alternative<frontend_settings>(
            folder.read(without(completeSettings, "127.0.0.2:3,127.0.0.3:3"))));
    }
    SECTION("limits for callers have defaults and are checked")
    {
        CHECK(settings.callerMemoryShare == 0.35);
        CHECK(settings.maximumPieces == 4096);
        const auto lowered = folder.read(completeSettings + "[callers]\nmemory_share=0.2\nconnections_per_address=9\n");
        REQUIRE(std::holds_alternative<frontend_settings>(lowered));
        CHECK(std::get<frontend_settings>(lowered).callerMemoryShare == 0.2);
        CHECK(std::get<frontend_settings>(lowered).connectionsPerAddress == 9);
        CHECK(std::holds_alternative<frontend_settings_error>(
            folder.read(completeSettings + "[callers]\nmemory_share=2\n")));
    }
    SECTION("unknown keys are ignored")
    {
        CHECK(std::holds_alternative<frontend_settings>(folder.read(completeSettings + "[new]\nfield=1\n")));
    }
    SECTION("an error message contains the key")
    {
        const auto fault = folder.read(without(completeSettings, "data_centre=west\n"));
        REQUIRE(std::holds_alternative<frontend_settings_error>(fault));
        CHECK(std::get<frontend_settings_error>(fault).message.find("data_centre") != std::string::npos);
        CHECK(std::holds_alternative<frontend_settings_error>(folder.read(without(completeSettings, "127.0.0.1:6"))));
        CHECK(std::holds_alternative<frontend_settings_error>(folder.read(without(completeSettings, "456789abcdef"))));
        CHECK(std::holds_alternative<frontend_settings_error>(readFrontendSettings("/nowhere/front.ini")));
    }
}

TEST_CASE("Without a limit for evacuations in the settings, endpoints are used before evacuations are known")
{
    settings_folder folder;
    const auto limitOf = [&](const std::string &section) {
        return std::get<frontend_settings>(folder.read(completeSettings + section)).evacuationLimit;
    };
    CHECK(limitOf("[evacuation]\nlimit_ms=5000\n") == 5s);
    CHECK(limitOf("[evacuation]\nlimit_ms=\n") == 0ms); // as rendered by a platform without the field
    CHECK(limitOf("") == 0ms);
}
