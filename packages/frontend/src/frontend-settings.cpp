#include <masticlever/frontend/frontend-settings.h>
#include <masticlever/net/stream-socket.h>

#include <QFileInfo>
#include <QSettings>
#include <QString>
#include <QStringList>

#include <functional>

namespace masticlever::frontend
{

namespace
{

constexpr std::size_t shortestKey = 16;
constexpr double bytesPerMegabyte = 1e6;

struct reader {
    const QSettings &source;
    std::string file;
    std::string problem;

    std::string text(const char *key, bool isRequired)
    {
        const QVariant value = source.value(QString::fromLatin1(key));
        // A value with commas is read as a list.
        const std::string read = value.toStringList().join(QLatin1Char(',')).toStdString();
        if (read.empty() && isRequired) {
            fail(key, "missing");
        }
        return read;
    }

    std::string address(const char *key, bool isRequired)
    {
        std::string read = text(key, isRequired);
        if (!read.empty() && !net::parseAddress(read)) {
            fail(key, "not IP:port");
        }
        return read;
    }

    double number(const char *key, double otherwise)
    {
        const std::string read = text(key, false);
        if (read.empty()) {
            return otherwise;
        }
        bool isNumber = false;
        const double value = QString::fromStdString(read).toDouble(&isNumber);
        if (!isNumber || value < 0) {
            fail(key, "not a number of 0 or more");
        }
        return value;
    }

    void fail(const char *key, const std::string &what)
    {
        if (problem.empty()) {
            problem = file + ": " + key + ": " + what;
        }
    }
};

std::vector<std::string> readContacts(reader &in)
{
    std::vector<std::string> contacts;
    const std::string list = in.text("fleet/contacts", false);
    const auto port = static_cast<std::uint16_t>(in.number("fleet/port", 0));
    for (const QString &item : QString::fromStdString(list).split(QLatin1Char(','), Qt::SkipEmptyParts)) {
        auto address = net::parseAddress(item.trimmed().toStdString());
        if (!address) {
            in.fail("fleet/contacts", "not a list of IP:port");
            continue;
        }
        address.value().port = port; // contacts are named by another of their ports
        contacts.push_back(address.value().toString());
    }
    return contacts;
}

} // namespace

std::variant<frontend_settings, frontend_settings_error> readFrontendSettings(const std::string &file)
{
    if (!QFileInfo(QString::fromStdString(file)).isReadable()) {
        return frontend_settings_error{file + ": cannot be read"};
    }
    const QSettings source(QString::fromStdString(file), QSettings::IniFormat);
    reader in{source, file, {}};
    frontend_settings read;
    read.name = in.text("instance/name", true);
    read.dataCentre = in.text("instance/data_centre", true);
    read.memoryBytes = static_cast<std::size_t>(in.number("instance/memory_mb", 0) * bytesPerMegabyte);
    read.cores = in.number("instance/core_share", 0) * in.number("instance/core_speed", 1);
    read.linkMbps = in.number("instance/link_mbps", 0);
    read.frontAddress = in.address("listen/front", true);
    read.readyAddress = in.address("listen/ready", true);
    read.metricsAddress = in.address("listen/metrics", false);
    read.gossipAddress = in.address("listen/gossip", true);
    read.homeAddress = in.address("listen/homes", true);
    read.contacts = readContacts(in);
    read.fleetKey = in.text("fleet/key", true);
    read.storeAddress = in.address("store/address", true);
    read.retryRatio = in.number("retries/ratio", read.retryRatio);
    read.retrySlack = in.number("retries/slack", read.retrySlack);
    read.retryWindow = std::chrono::milliseconds(static_cast<int>(in.number("retries/window_s", 10) * 1000));
    read.stopLimit = std::chrono::milliseconds(static_cast<int>(in.number("stop/limit_s", 8) * 1000));
    const std::string level = in.text("log/level", false);
    read.logLevel = level.empty() ? read.logLevel : level;
    if (read.fleetKey.size() < shortestKey) {
        in.fail("fleet/key", "shorter than " + std::to_string(shortestKey) + " characters");
    }
    if (!in.problem.empty()) {
        return frontend_settings_error{in.problem};
    }
    return read;
}

} // namespace masticlever::frontend
