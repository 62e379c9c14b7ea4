#include "detail/key-rules.h"

#include <masticlever/settings/settings.h>

#include <QFileInfo>
#include <QSettings>
#include <QString>
#include <QStringList>

#include <algorithm>
#include <optional>

namespace masticlever::settings
{

namespace
{

constexpr int minSuspectHeartbeats = 4; ///< minimum of suspect_after_ms, in heartbeat intervals

using detail::key_rule;

std::string fullName(const key_rule &rule)
{
    return rule.section + '/' + rule.key;
}

settings_error keyError(const std::string &file, const key_rule &rule, const std::string &problem)
{
    return {file + ": [" + rule.section + "] " + rule.key + ": " + problem + "; allowed: " + rule.allowed};
}

std::optional<settings_error> findUnknownKey(const std::string &file, const QSettings &source)
{
    const auto &rules = detail::keyRules();
    for (const QString &key : source.allKeys()) {
        const std::string name = key.toStdString();
        const bool isKnown
            = std::any_of(rules.begin(), rules.end(), [&](const key_rule &rule) { return fullName(rule) == name; });
        if (!isKnown) {
            const auto slash = name.find('/');
            const std::string section = slash == std::string::npos ? "General" : name.substr(0, slash);
            const std::string shortName = slash == std::string::npos ? name : name.substr(slash + 1);
            return settings_error{file + ": [" + section + "] " + shortName
                                  + ": unknown key; allowed: " + detail::knownKeys(section)};
        }
    }
    return std::nullopt;
}

std::string readValue(const QSettings &source, const key_rule &rule)
{
    // QSettings splits values at commas; join them again.
    const QStringList parts = source.value(QString::fromStdString(fullName(rule))).toStringList();
    return parts.join(QLatin1Char(',')).trimmed().toStdString();
}

std::optional<settings_error> checkCombinations(const std::string &file, const daemon_settings &settings)
{
    if (settings.certificateFile.empty() != settings.privateKeyFile.empty()) {
        return settings_error{file
                              + ": [gateway] private_key_file: set without its pair; allowed: certificate_file and "
                                "private_key_file together, or neither"};
    }
    if (settings.suspectAfter < minSuspectHeartbeats * settings.heartbeatInterval) {
        return settings_error{file
                              + ": [peers] suspect_after_ms: too short; allowed: at least four times "
                                "heartbeat_interval_ms"};
    }
    return std::nullopt;
}

} // namespace

std::variant<daemon_settings, settings_error> readSettings(const std::string &file)
{
    const QString path = QString::fromStdString(file);
    if (!QFileInfo(path).isReadable()) {
        return settings_error{file + ": cannot be read; allowed: a readable INI file"};
    }
    const QSettings source(path, QSettings::IniFormat);
    if (source.status() != QSettings::NoError) {
        return settings_error{file + ": does not parse; allowed: an INI file"};
    }
    if (auto error = findUnknownKey(file, source)) {
        return *error;
    }
    daemon_settings settings;
    for (const key_rule &rule : detail::keyRules()) {
        const std::string value = readValue(source, rule);
        if (value.empty()) {
            if (rule.required) {
                return keyError(file, rule, "missing");
            }
            continue;
        }
        if (!rule.apply(settings, value)) {
            return keyError(file, rule, "bad value");
        }
    }
    if (auto error = checkCombinations(file, settings)) {
        return *error;
    }
    return settings;
}

std::vector<key_description> describeKeys()
{
    std::vector<key_description> keys;
    for (const key_rule &rule : detail::keyRules()) {
        keys.push_back({rule.section, rule.key, rule.required, rule.allowed});
    }
    return keys;
}

} // namespace masticlever::settings
