#include "directory-feed.h"

#include "frontend-context.h"

#include <masticlever/telemetry/events.h>

#include <QByteArray>

#include <utility>
#include <variant>

namespace masticlever::frontend
{

using common::instant;
using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr std::size_t maximumUnpackedBytes = std::size_t{16} << 20; ///< of a configuration's text
constexpr std::size_t maximumTextBytes = stages::maximumHomeMessageBytes / 2; ///< leaves room for the registrations
constexpr std::string_view duty = "endpoint registrations"; ///< what the reader is chosen for

/// Whether a subscriber has to be told: heartbeats only raise the sequence.
bool isNews(const catalog::endpoint_record &known, catalog::endpoint_record now)
{
    now.sequence = known.sequence;
    now.warmUpLeft = known.warmUpLeft;
    return now != known;
}

} // namespace

directory_feed::directory_feed(directory_feed_options options, net::receive_budget &budget, event_handlers handlers)
    : m_options(options), m_budget(budget), m_handlers(std::move(handlers))
{ }

directory_feed::~directory_feed() = default;

void directory_feed::setMembers(const std::vector<stages::home_candidate> &members, const std::string &self,
                                std::uint64_t configurationVersion, instant now)
{
    const auto reader = m_avoided.choose(duty, members, self, now);
    const bool isSelf = !reader || reader->incarnation == self;
    const std::string address = isSelf ? std::string() : reader->address;
    if (address != m_reader) {
        follow(address, configurationVersion, now);
    }
}

void directory_feed::unfollow()
{
    if (m_link) {
        m_link->close();
        m_ended = std::move(m_link);
    }
    m_reader.clear();
}

void directory_feed::follow(const std::string &address, std::uint64_t configurationVersion, instant now)
{
    unfollow();
    const auto target = net::parseAddress(address);
    if (!target) {
        return;
    }
    m_reader = address;
    m_heardAt = now;
    home_link::event_handlers handlers;
    handlers.onMessage = [this](home_link &, stages::home_message message) {
        if (auto *news = std::get_if<stages::directory_message>(&message)) {
            m_heardAt = presentInstant();
            m_freshUntil = news->isRead ? m_heardAt + m_options.freshFor : m_freshUntil;
            m_handlers.onNews(std::move(*news));
        }
    };
    handlers.onClosed = [this](home_link &) {
        const instant closedAt = presentInstant();
        loseReader("closed", closedAt);
        m_freshUntil = std::min(m_freshUntil, closedAt);
        m_handlers.onReaderLost();
    };
    m_link = std::make_unique<home_link>(target.value(), m_budget, std::move(handlers), now);
    m_link->send(stages::subscribe_message{configurationVersion});
    logEvent(event::reader_followed, {{"reader", std::string_view(m_reader)}, {"configuration", configurationVersion}});
}

void directory_feed::loseReader(std::string_view reason, instant now)
{
    const auto heard = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_heardAt);
    logEvent(event::reader_lost,
             {{"reader", std::string_view(m_reader)}, {"reason", reason}, {"heard_ms", std::int64_t{heard.count()}}});
    m_avoided.avoid(m_reader, now + m_options.avoidFor);
    unfollow();
}

void directory_feed::onRead(const std::vector<catalog::endpoint_record> &records,
                            const configuration_news &configuration)
{
    if (m_subscribers.empty()) {
        m_told.clear();
        return;
    }
    stages::directory_message news;
    news.configurationVersion = configuration.version;
    std::map<std::string, catalog::endpoint_record> present;
    for (const catalog::endpoint_record &record : records) {
        const auto known = m_told.find(record.id);
        if (known == m_told.end() || isNews(known->second, record)) {
            news.changed.push_back(record);
        }
        present.emplace(record.id, record);
    }
    for (const auto &[id, record] : m_told) {
        if (!present.contains(id)) {
            news.removed.push_back(id);
        }
    }
    m_told = std::move(present);
    std::vector<std::uint64_t> told;
    std::vector<std::uint64_t> behind; ///< without the registrations and the configuration
    std::vector<std::uint64_t> untold;
    for (auto &[subscriber, entry] : m_subscribers) {
        if (std::exchange(entry.isTold, true)) {
            told.push_back(subscriber);
        } else {
            (entry.configurationVersion < configuration.version ? behind : untold).push_back(subscriber);
        }
    }
    if (!told.empty()) {
        m_handlers.send(told, news);
    }
    const auto wholeWith = [&](std::string text) {
        return stages::directory_message{configuration.version, std::move(text), true, true, records, {}};
    };
    if (!untold.empty()) {
        m_handlers.send(untold, wholeWith({}));
    }
    if (!behind.empty()) {
        m_handlers.send(behind, wholeWith(textFor(behind, configuration)));
    }
}

void directory_feed::onConfiguration(const configuration_news &configuration)
{
    std::vector<std::uint64_t> told;
    for (const auto &[subscriber, entry] : m_subscribers) {
        if (entry.isTold && entry.configurationVersion < configuration.version) {
            told.push_back(subscriber);
        }
    }
    if (!told.empty()) {
        m_handlers.send(told, stages::directory_message{configuration.version, textFor(told, configuration), false});
    }
}

/// The text that goes to \p subscribers, which have it from then on; empty when it is too large for all of them.
std::string directory_feed::textFor(std::span<const std::uint64_t> subscribers, const configuration_news &configuration)
{
    for (const std::uint64_t subscriber : subscribers) {
        m_subscribers[subscriber].configurationVersion = configuration.version;
    }
    const std::string &packed = packedText(configuration);
    const double bytes = static_cast<double>(packed.size()) * static_cast<double>(subscribers.size());
    const bool isTooLarge = bytes > m_options.configurationBytes || packed.size() > maximumTextBytes;
    return isTooLarge ? std::string() : packed;
}

/// Compressed once for all subscribers: a text of a thousand routes would take each of them to the store.
const std::string &directory_feed::packedText(const configuration_news &configuration)
{
    if (m_packedVersion != configuration.version || m_packed.empty()) {
        const auto *bytes = reinterpret_cast<const uchar *>(configuration.text.data());
        m_packed = qCompress(bytes, static_cast<qsizetype>(configuration.text.size())).toStdString();
        m_packedVersion = configuration.version;
    }
    return m_packed;
}

std::string unpackConfiguration(std::string_view packed)
{
    // The length that the bytes announce, big endian, is what would be reserved for them.
    constexpr std::size_t prefixBytes = 4;
    std::size_t announced = 0;
    for (std::size_t i = 0; i < prefixBytes && i < packed.size(); ++i) {
        announced = announced << 8 | static_cast<unsigned char>(packed[i]);
    }
    if (packed.size() <= prefixBytes || announced > maximumUnpackedBytes) {
        return {};
    }
    const auto *bytes = reinterpret_cast<const uchar *>(packed.data());
    return qUncompress(bytes, static_cast<qsizetype>(packed.size())).toStdString();
}

void directory_feed::onTick(instant now)
{
    m_ended.reset();
    if (m_link && now > m_heardAt + m_options.silenceLimit) {
        loseReader("silent", now);
    }
}

} // namespace masticlever::frontend
