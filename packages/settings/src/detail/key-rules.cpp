#include "key-rules.h"

#include <QHostAddress>
#include <QString>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <limits>

namespace masticlever::settings::detail
{

namespace
{

using value_setter = std::function<bool(daemon_settings &, const std::string &)>;

constexpr std::size_t digestLength = 64;
constexpr std::size_t minPeersKeyLength = 32;

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= 63
        && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
}

bool parseNumber(const std::string &text, std::uint64_t low, std::uint64_t high, std::uint64_t &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && value >= low && value <= high;
}

value_setter nameSetter(std::string daemon_settings::*member)
{
    return [member](daemon_settings &target, const std::string &text) {
        target.*member = text;
        return isName(text);
    };
}

value_setter textSetter(std::string daemon_settings::*member)
{
    return [member](daemon_settings &target, const std::string &value) {
        target.*member = value;
        return true;
    };
}

value_setter urlSetter(std::string daemon_settings::*member)
{
    return [member](daemon_settings &target, const std::string &value) {
        target.*member = value;
        return value.starts_with("http://") || value.starts_with("https://");
    };
}

value_setter addressSetter(socket_address daemon_settings::*member)
{
    return [member](daemon_settings &target, const std::string &value) {
        const std::size_t colon = value.rfind(':');
        if (colon == std::string::npos) {
            return false;
        }
        std::uint64_t port = 0;
        const bool isPort = parseNumber(value.substr(colon + 1), 0, std::numeric_limits<std::uint16_t>::max(), port);
        const std::string host = value.substr(0, colon);
        target.*member = {host, static_cast<std::uint16_t>(port)};
        return isPort && !QHostAddress(QString::fromStdString(host)).isNull();
    };
}

value_setter digestsSetter(std::vector<std::string> daemon_settings::*member)
{
    return [member](daemon_settings &target, const std::string &value) {
        target.*member = split(value);
        return std::all_of((target.*member).begin(), (target.*member).end(), [](const std::string &digest) {
            return digest.size() == digestLength && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        });
    };
}

template <typename Number>
value_setter numberSetter(Number daemon_settings::*member, std::uint64_t low, std::uint64_t high)
{
    return [=](daemon_settings &target, const std::string &value) {
        std::uint64_t parsed = 0;
        const bool isValid = parseNumber(value, low, high, parsed);
        target.*member = static_cast<Number>(parsed);
        return isValid;
    };
}

value_setter choiceSetter(std::string daemon_settings::*member, std::vector<std::string> choices)
{
    return [member, choices = std::move(choices)](daemon_settings &target, const std::string &value) {
        target.*member = value;
        return std::find(choices.begin(), choices.end(), value) != choices.end();
    };
}

bool setPeersKey(daemon_settings &target, const std::string &value)
{
    target.peersKey = value;
    return value.size() >= minPeersKeyLength;
}

std::vector<key_rule> makeRules()
{
    using s = daemon_settings;
    const std::string names = "1 to 63 of a-z, 0-9 and -";
    const std::string addresses = "IP:port";
    const std::string digestList = "SHA-256 digests in lower-case hexadecimal, separated by commas";
    return {
        {"instance", "name", true, names, nameSetter(&s::name)},
        {"instance", "data_centre", true, names, nameSetter(&s::dataCentre)},
        {"gateway", "address", true, addresses, addressSetter(&s::gateway)},
        {"gateway", "certificate_file", false, "path of a PEM file", textSetter(&s::certificateFile)},
        {"gateway", "private_key_file", false, "path of a PEM file", textSetter(&s::privateKeyFile)},
        {"gateway", "body_limit_bytes", false, "1024 to 16777216", numberSetter(&s::bodyLimitBytes, 1024, 16777216)},
        {"gateway", "caller_memory_mb", false, "8 to 1000000", numberSetter(&s::callerMemoryMegabytes, 8, 1000000)},
        {"gateway", "idle_timeout_ms", false, "1000 to 86400000", numberSetter(&s::idleTimeout, 1000, 86400000)},
        {"operators", "read_token_digests", false, digestList, digestsSetter(&s::readTokenDigests)},
        {"operators", "change_token_digests", true, digestList, digestsSetter(&s::changeTokenDigests)},
        {"platform", "url", true, "http://IP:port or https://IP:port", urlSetter(&s::platformUrl)},
        {"platform", "list_interval_ms", false, "100 to 60000", numberSetter(&s::listInterval, 100, 60000)},
        {"peers", "address", true, addresses, addressSetter(&s::peers)},
        {"peers", "key", true, "at least 32 characters, the same on all instances", setPeersKey},
        {"peers", "heartbeat_interval_ms", false, "50 to 10000", numberSetter(&s::heartbeatInterval, 50, 10000)},
        {"peers", "suspect_after_ms", false, "200 to 60000", numberSetter(&s::suspectAfter, 200, 60000)},
        {"ledger", "claim_timeout_ms", false, "50 to 60000", numberSetter(&s::claimTimeout, 50, 60000)},
        {"ledger", "window_ms", false, "60000 to 2592000000", numberSetter(&s::ledgerWindow, 60000, 2592000000)},
        {"admission", "capacity", false, "1 to 100000", numberSetter(&s::capacity, 1, 100000)},
        {"admission", "queue_limit_ms", false, "0 to 60000", numberSetter(&s::queueLimit, 0, 60000)},
        {"routing", "policy", false,
         "random, round_robin, least_in_flight, two_choices, two_choices_aged or prefix_affinity",
         choiceSetter(
             &s::routingPolicy,
             {"random", "round_robin", "least_in_flight", "two_choices", "two_choices_aged", "prefix_affinity"})},
        {"routing", "subset_size", false, "0 to 100000", numberSetter(&s::subsetSize, 0, 100000)},
        {"configuration", "snapshot_records", false, "10 to 1000000", numberSetter(&s::snapshotRecords, 10, 1000000)},
        {"drain", "notice_ms", false, "0 to 60000", numberSetter(&s::drainNotice, 0, 60000)},
        {"drain", "limit_ms", false, "1000 to 86400000", numberSetter(&s::drainLimit, 1000, 86400000)},
        {"telemetry", "trace_collector_url", false, "http://IP:port or https://IP:port",
         urlSetter(&s::traceCollectorUrl)},
        {"telemetry", "log_level", false, "debug, info, warning or error",
         choiceSetter(&s::logLevel, {"debug", "info", "warning", "error"})},
    };
}

} // namespace

const std::vector<key_rule> &keyRules()
{
    static const std::vector<key_rule> rules = makeRules();
    return rules;
}

std::string knownKeys(std::string_view section)
{
    std::string inSection;
    std::string all;
    for (const key_rule &rule : keyRules()) {
        if (rule.section == section) {
            inSection += (inSection.empty() ? "" : ", ") + rule.key;
        }
        all += (all.empty() ? "[" : ", [") + rule.section + "] " + rule.key;
    }
    return inSection.empty() ? all : inSection;
}

} // namespace masticlever::settings::detail
