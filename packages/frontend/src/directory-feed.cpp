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

constexpr std::size_t maximumConfigurationBytes = std::size_t{16} << 20; ///< limit on a decompressed configuration
constexpr std::size_t maximumCompressedBytes = stages::maximumHomeMessageBytes / 2; ///< leaves room for registrations
constexpr std::string_view readerRole = "endpoint registrations"; ///< key under which the reader is chosen

/// Whether a changed record must be sent to subscribers. A heartbeat alone, which raises the sequence, is not sent.
bool needsUpdate(const catalog::endpoint_record &known, catalog::endpoint_record now)
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
    const auto reader = m_avoided.choose(readerRole, members, self, now);
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
    m_lastMessageAt = now;
    home_link::event_handlers handlers;
    handlers.onMessage = [this](home_link &, stages::home_message message) {
        if (auto *update = std::get_if<stages::directory_message>(&message)) {
            m_lastMessageAt = monotonicNow();
            const std::uint64_t generation = update->storeGeneration;
            const bool hasRegistrations = update->hasRegistrations;
            m_handlers.onUpdate(std::move(*update));
            if (hasRegistrations && (generation == 0 || generation >= m_storeGeneration)) {
                m_freshUntil = m_lastMessageAt + m_options.freshFor;
            }
        } else if (const auto *status = std::get_if<stages::status_message>(&message)) {
            if (!status->endpointLoad.empty() && m_handlers.onEndpointLoad) {
                m_handlers.onEndpointLoad(status->endpointLoad);
            }
        }
    };
    handlers.onClosed = [this](home_link &) {
        const instant closedAt = monotonicNow();
        dropReader("closed", closedAt);
        m_freshUntil = std::min(m_freshUntil, closedAt);
        m_handlers.onReaderLost();
    };
    m_link = std::make_unique<home_link>(target.value(), m_budget, std::move(handlers), now);
    m_link->send(stages::subscribe_message{configurationVersion, m_evacuations});
    if (m_handlers.onReaderFollowed) {
        m_handlers.onReaderFollowed();
    }
    logEvent(event::reader_followed, {{"reader", std::string_view(m_reader)}, {"configuration", configurationVersion}});
}

void directory_feed::dropReader(std::string_view reason, instant now)
{
    const auto sinceLastMessage = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastMessageAt);
    logEvent(event::reader_lost,
             {{"reader", std::string_view(m_reader)},
              {"reason", reason},
              {"heard_ms", std::int64_t{sinceLastMessage.count()}}});
    m_avoided.avoid(m_reader, now + m_options.avoidFor);
    unfollow();
}

void directory_feed::onSubscriber(std::uint64_t subscriber, std::uint64_t configurationVersion)
{
    m_subscribers[subscriber] = {configurationVersion, false};
    sendEvacuations(std::span(&subscriber, 1));
}

void directory_feed::setEvacuations(std::vector<catalog::evacuation_record> records)
{
    m_evacuations = std::move(records);
    std::vector<std::uint64_t> all;
    for (const auto &item : m_subscribers) {
        all.push_back(item.first);
    }
    sendEvacuations(all);
}

void directory_feed::sendEvacuations(std::span<const std::uint64_t> subscribers)
{
    if (subscribers.empty() || m_evacuations.empty()) {
        return;
    }
    stages::directory_message update;
    update.hasRegistrations = false;
    update.evacuations = m_evacuations;
    m_handlers.send(subscribers, update);
}

void directory_feed::onStoreRestored(std::uint64_t generation, instant now)
{
    m_storeGeneration = generation;
    m_freshUntil = std::min(m_freshUntil, now);
}

void directory_feed::onRead(const std::vector<catalog::endpoint_record> &records, std::uint64_t storeGeneration,
                            const configuration_update &configuration)
{
    if (m_subscribers.empty()) {
        m_sentRecords.clear();
        return;
    }
    stages::directory_message update;
    update.configurationVersion = configuration.version;
    update.storeGeneration = storeGeneration;
    std::map<std::string, catalog::endpoint_record> present;
    for (const catalog::endpoint_record &record : records) {
        const auto known = m_sentRecords.find(record.id);
        if (known == m_sentRecords.end() || needsUpdate(known->second, record)) {
            update.changed.push_back(record);
        }
        present.emplace(record.id, record);
    }
    for (const auto &[id, record] : m_sentRecords) {
        if (!present.contains(id)) {
            update.removed.push_back(id);
        }
    }
    m_sentRecords = std::move(present);
    std::vector<std::uint64_t> current;
    std::vector<std::uint64_t> withoutBoth; ///< lack the registrations and the configuration
    std::vector<std::uint64_t> withoutRecords; ///< lack only the registrations
    for (auto &[subscriber, entry] : m_subscribers) {
        if (std::exchange(entry.hasSnapshot, true)) {
            current.push_back(subscriber);
        } else {
            (entry.configurationVersion < configuration.version ? withoutBoth : withoutRecords).push_back(subscriber);
        }
    }
    if (!current.empty()) {
        m_handlers.send(current, update);
    }
    const auto snapshotWith = [&](std::string text) {
        return stages::directory_message{configuration.version, std::move(text), true, true, records, {},
                                         storeGeneration};
    };
    if (!withoutRecords.empty()) {
        m_handlers.send(withoutRecords, snapshotWith({}));
    }
    if (!withoutBoth.empty()) {
        m_handlers.send(withoutBoth, snapshotWith(textToSend(withoutBoth, configuration)));
    }
}

void directory_feed::onConfiguration(const configuration_update &configuration)
{
    std::vector<std::uint64_t> current;
    for (const auto &[subscriber, entry] : m_subscribers) {
        if (entry.hasSnapshot && entry.configurationVersion < configuration.version) {
            current.push_back(subscriber);
        }
    }
    if (!current.empty()) {
        m_handlers.send(current,
                        stages::directory_message{configuration.version, textToSend(current, configuration), false});
    }
}

/// Returns the compressed text to send to \p subscribers and marks them as up to date. It is empty when the text is too
/// large to send to all of them; they read the store then.
std::string directory_feed::textToSend(std::span<const std::uint64_t> subscribers,
                                       const configuration_update &configuration)
{
    for (const std::uint64_t subscriber : subscribers) {
        m_subscribers[subscriber].configurationVersion = configuration.version;
    }
    const std::string &compressed = compressedText(configuration);
    const double bytes = static_cast<double>(compressed.size()) * static_cast<double>(subscribers.size());
    const bool isTooLarge = bytes > m_options.configurationByteLimit || compressed.size() > maximumCompressedBytes;
    return isTooLarge ? std::string() : compressed;
}

/// Compresses the text once for all subscribers. Uncompressed, a configuration of a thousand routes would be too large
/// to send, and each subscriber would read it from the store.
const std::string &directory_feed::compressedText(const configuration_update &configuration)
{
    if (m_compressedVersion != configuration.version || m_compressed.empty()) {
        const auto *bytes = reinterpret_cast<const uchar *>(configuration.text.data());
        m_compressed = qCompress(bytes, static_cast<qsizetype>(configuration.text.size())).toStdString();
        m_compressedVersion = configuration.version;
    }
    return m_compressed;
}

std::string decompressConfiguration(std::string_view compressed)
{
    // qUncompress allocates the length given by the big endian prefix, so it is checked first.
    constexpr std::size_t prefixBytes = 4;
    std::size_t length = 0;
    for (std::size_t i = 0; i < prefixBytes && i < compressed.size(); ++i) {
        length = length << 8 | static_cast<unsigned char>(compressed[i]);
    }
    if (compressed.size() <= prefixBytes || length > maximumConfigurationBytes) {
        return {};
    }
    const auto *bytes = reinterpret_cast<const uchar *>(compressed.data());
    return qUncompress(bytes, static_cast<qsizetype>(compressed.size())).toStdString();
}

void directory_feed::sendToReader(const stages::home_message &message)
{
    if (m_link) {
        m_link->send(message);
    }
}

std::vector<std::uint64_t> directory_feed::subscribers() const
{
    std::vector<std::uint64_t> ids;
    for (const auto &[subscriber, entry] : m_subscribers) {
        ids.push_back(subscriber);
    }
    return ids;
}

void directory_feed::onTick(instant now)
{
    m_ended.reset();
    if (m_link && now > m_lastMessageAt + m_options.readerTimeout) {
        dropReader("silent", now);
    }
}

} // namespace masticlever::frontend
