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

constexpr std::size_t minimumKeyLength = 16;
constexpr double bytesPerMegabyte = 1e6;

struct settings_reader {
    const QSettings &source;
    std::string file;
    std::string error;

    std::string text(const char *key, bool isRequired)
    {
        const QVariant value = source.value(QString::fromLatin1(key));
        // QSettings returns a value that contains commas as a list.
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

    double number(const char *key, double fallback)
    {
        const std::string read = text(key, false);
        if (read.empty()) {
            return fallback;
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
        if (error.empty()) {
            error = file + ": " + key + ": " + what;
        }
    }
};

std::vector<std::string> readContacts(settings_reader &reader)
{
    std::vector<std::string> contacts;
    const std::string list = reader.text("fleet/contacts", false);
    const auto port = static_cast<std::uint16_t>(reader.number("fleet/port", 0));
    for (const QString &item : QString::fromStdString(list).split(QLatin1Char(','), Qt::SkipEmptyParts)) {
        auto address = net::parseAddress(item.trimmed().toStdString());
        if (!address) {
            reader.fail("fleet/contacts", "not a list of IP:port");
            continue;
        }
        address.value().port = port; // the list holds addresses with a different port
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
    settings_reader reader{source, file, {}};
    frontend_settings read;
    read.name = reader.text("instance/name", true);
    read.dataCentre = reader.text("instance/data_centre", true);
    read.memoryBytes = static_cast<std::size_t>(reader.number("instance/memory_mb", 0) * bytesPerMegabyte);
    read.cores = reader.number("instance/core_share", 0) * reader.number("instance/core_speed", 1);
    read.linkMbps = reader.number("instance/link_mbps", 0);
    read.frontAddress = reader.address("listen/front", true);
    read.readyAddress = reader.address("listen/ready", true);
    read.metricsAddress = reader.address("listen/metrics", false);
    read.gossipAddress = reader.address("listen/gossip", true);
    read.homeAddress = reader.address("listen/homes", true);
    read.contacts = readContacts(reader);
    read.fleetKey = reader.text("fleet/key", true);
    read.storeAddress = reader.address("store/address", true);
    read.retryRatio = reader.number("retries/ratio", read.retryRatio);
    read.retrySlack = reader.number("retries/slack", read.retrySlack);
    read.retryWindow = std::chrono::milliseconds(static_cast<int>(reader.number("retries/window_s", 10) * 1000));
    read.stopLimit = std::chrono::milliseconds(static_cast<int>(reader.number("stop/limit_s", 8) * 1000));
    read.sharedLoadMaximumSlots = static_cast<std::size_t>(
        reader.number("placement/shared_load_max_slots", static_cast<double>(read.sharedLoadMaximumSlots)));
    read.evacuationLimit = std::chrono::milliseconds(static_cast<int>(reader.number("evacuation/limit_ms", 0)));
    read.callerMemoryShare = reader.number("callers/memory_share", read.callerMemoryShare);
    if (read.callerMemoryShare <= 0 || read.callerMemoryShare > 1) {
        reader.fail("callers/memory_share", "not a number above 0 and up to 1");
    }
    read.connectionMemoryShare = reader.number("callers/connection_memory_share", read.connectionMemoryShare);
    if (read.connectionMemoryShare <= 0 || read.connectionMemoryShare > 1) {
        reader.fail("callers/connection_memory_share", "not a number above 0 and up to 1");
    }
    read.maximumPieces
        = static_cast<std::size_t>(reader.number("callers/max_pieces", static_cast<double>(read.maximumPieces)));
    read.connectionsPerAddress = static_cast<std::size_t>(reader.number("callers/connections_per_address", 0));
    const std::string level = reader.text("log/level", false);
    read.logLevel = level.empty() ? read.logLevel : level;
    if (read.fleetKey.size() < minimumKeyLength) {
        reader.fail("fleet/key", "shorter than " + std::to_string(minimumKeyLength) + " characters");
    }
    if (!reader.error.empty()) {
        return frontend_settings_error{reader.error};
    }
    return read;
}

} // namespace masticlever::frontend
