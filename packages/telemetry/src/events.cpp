#include "detail/log-writer.h"

#include <masticlever/common/errors.h>
#include <masticlever/telemetry/events.h>

#include <easylogging++.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace masticlever::telemetry
{

namespace
{

constexpr std::size_t maximumTextBytes = 160;

std::atomic<log_level> minimumLevel{log_level::info};

const event_description &describe(event number)
{
    static constexpr event_description unlistedEvent{event{}, "not_listed", log_level::error};
    const auto all = eventCatalogue();
    const auto found = std::ranges::find(all, number, &event_description::number);
    return found == all.end() ? unlistedEvent : *found;
}

std::string utcTime(const el::LogMessage * /*message*/)
{
    using namespace std::chrono;
    const auto now = time_point_cast<milliseconds>(system_clock::now());
    const std::time_t seconds = system_clock::to_time_t(now);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(now.time_since_epoch().count() % 1000));
    return std::string(date.data()) + fraction.data();
}

detail::log_writer &writer()
{
    static detail::log_writer standardOutput(STDOUT_FILENO);
    return standardOutput;
}

/// Passes formatted lines from the logging library to log_writer; the library's own output would block on a slow
/// reader.
class log_dispatch_callback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        el::Logger *logger = data->logMessage()->logger();
        writer().write(logger->logBuilder()->build(data->logMessage(), false));
    }
};

void configureOnce()
{
    static const bool isConfigured = [] {
        el::Helpers::installCustomFormatSpecifier(el::CustomFormatSpecifier("%utc", utcTime));
        el::Configurations settings;
        settings.setToDefault();
        settings.setGlobally(el::ConfigurationType::ToFile, "false");
        settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
        settings.setGlobally(el::ConfigurationType::Format, "%utc %level %msg");
        el::Loggers::reconfigureAllLoggers(settings);
        el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
        el::Helpers::installLogDispatchCallback<log_dispatch_callback>("writing_callback");
        return true;
    }();
    static_cast<void>(isConfigured);
}

void appendEscaped(std::string &line, std::string_view text)
{
    for (const char c : text.substr(0, maximumTextBytes)) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        const bool isControl = static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
        line += isControl ? '?' : c;
    }
}

void appendText(std::string &line, std::string_view text)
{
    const bool isPlain = !text.empty() && text.find_first_of(" =\"\\") == std::string_view::npos;
    if (!isPlain) {
        line += '"';
    }
    appendEscaped(line, text);
    if (!isPlain) {
        line += '"';
    }
}

void appendValue(std::string &line, const field_value &value)
{
    if (const auto *text = std::get_if<std::string_view>(&value)) {
        appendText(line, *text);
    } else if (const auto *signedValue = std::get_if<std::int64_t>(&value)) {
        line += std::to_string(*signedValue);
    } else if (const auto *unsignedValue = std::get_if<std::uint64_t>(&value)) {
        line += std::to_string(*unsignedValue);
    } else if (const auto *number = std::get_if<double>(&value)) {
        std::array<char, 32> digits{};
        std::snprintf(digits.data(), digits.size(), "%.6g", *number);
        line += digits.data();
    } else {
        line += std::get<bool>(value) ? "true" : "false";
    }
}

} // namespace

common::result<log_level> parseLogLevel(std::string_view text)
{
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    const auto *const found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        return make_error_code(common::error::malformed);
    }
    return static_cast<log_level>(found - names.begin());
}

void setLogLevel(log_level level)
{
    minimumLevel = level;
}

std::string formatEvent(event number, std::span<const field> fields)
{
    std::string line = "E" + std::to_string(static_cast<int>(number)) + ' ' + std::string(describe(number).name);
    for (const field &entry : fields) {
        line += ' ';
        line += entry.name;
        line += '=';
        appendValue(line, entry.value);
    }
    return line;
}

namespace
{

void writeLine(log_level level, const std::string &line)
{
    switch (level) {
    case log_level::debug:
        LOG(DEBUG) << line;
        break;
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

std::mutex &logMutex()
{
    static std::mutex mutex;
    return mutex;
}

} // namespace

void logEvent(event number, std::span<const field> fields)
{
    const log_level level = describe(number).level;
    if (level < minimumLevel) {
        return;
    }
    const std::scoped_lock lock(logMutex());
    configureOnce();
    if (!writer().tryAcquire(number, std::chrono::steady_clock::now())) {
        return;
    }
    if (const std::uint64_t dropped = writer().takeDropped(); dropped > 0) {
        const field count{"count", dropped};
        writeLine(log_level::warning, formatEvent(event::log_lines_dropped, {&count, 1}));
    }
    writeLine(level, formatEvent(number, fields));
}

} // namespace masticlever::telemetry
