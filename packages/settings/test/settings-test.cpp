#include <masticlever/settings/settings.h>

#include <QByteArray>
#include <QFile>
#include <QIODevice>
#include <QTemporaryDir>

#include <catch2/catch.hpp>

using namespace masticlever::settings;

namespace
{

const std::string digest(64, 'a');
const std::string minimal = "[instance]\nname=a-1\ndata_centre=hawick\n[gateway]\naddress=127.0.0.1:0\n"
                            "[operators]\nchange_token_digests="
    + digest + "," + digest
    + "\n[platform]\nurl=http://127.0.0.1:1\n[peers]\naddress=127.0.0.1:0\nkey=0123456789abcdef0123456789abcdef\n";

std::variant<daemon_settings, settings_error> readSettingsText(const std::string &text)
{
    const QTemporaryDir folder;
    const QString path = folder.filePath(QStringLiteral("daemon.ini"));
    QFile file(path);
    REQUIRE(file.open(QIODevice::WriteOnly));
    file.write(QByteArray::fromStdString(text));
    file.close();
    return readSettings(path.toStdString());
}

std::string errorMessage(const std::string &text)
{
    const auto outcome = readSettingsText(text);
    const auto *error = std::get_if<settings_error>(&outcome);
    return error == nullptr ? "" : error->message;
}

} // namespace

TEST_CASE("reading the settings file")
{
    SECTION("the required keys are sufficient")
    {
        const auto outcome = readSettingsText(minimal);
        REQUIRE(std::holds_alternative<daemon_settings>(outcome));
        const auto &settings = std::get<daemon_settings>(outcome);
        CHECK(settings.name == "a-1");
        CHECK(settings.changeTokenDigests.size() == 2);
        CHECK(settings.gateway.toString() == "127.0.0.1:0");
    }

    SECTION("an error message names section, key and allowed values")
    {
        CHECK_THAT(errorMessage(minimal + "[gateway]\nbody_limit_bytes=7\n"),
                   Catch::Contains("[gateway] body_limit_bytes: bad value; allowed: 1024 to 16777216"));
        CHECK_THAT(errorMessage(minimal + "[gateway]\ncolour=red\n"),
                   Catch::Contains("[gateway] colour: unknown key; allowed: address"));
        CHECK_THAT(errorMessage("[instance]\nname=a\n"), Catch::Contains("[instance] data_centre: missing"));
        CHECK_THAT(errorMessage(minimal + "[peers]\nsuspect_after_ms=1000\n"), Catch::Contains("four times"));
        CHECK_THAT(errorMessage(minimal + "[gateway]\ncertificate_file=a.pem\n"), Catch::Contains("together"));
    }
}
