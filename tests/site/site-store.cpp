#include "site-store.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <QTimer>

#include <utility>

namespace masticlever::site
{

namespace
{

constexpr std::size_t pageItems = 20; ///< small, so that a listing spans several pages
constexpr std::size_t lengthBytes = 4;

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    for (std::size_t i = bytes; i > 0; --i) {
        text += static_cast<char>(value >> (8 * (i - 1)) & 0xff);
    }
    return text;
}

std::uint64_t number(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::string json(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

site_store::site_store() : m_server([this](const exchange_pointer &exchange) { onRequest(exchange); }) { }

std::string site_store::start(std::uint16_t port)
{
    return m_server.listen(port);
}

void site_store::setState(state now)
{
    m_state = now;
    if (now == state::resetting) {
        for (const long_poll &read : std::exchange(m_longPolls, {})) {
            read.exchange->reset();
        }
    }
}

void site_store::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    topic_log &log = m_topics[topic];
    if (value) {
        log.newest[key] = {log.end(), *value};
    } else {
        log.newest.erase(key);
    }
    log.records.push_back({key, value});
    answerLongPolls(topic);
}

void site_store::compact(const std::string &topic)
{
    topic_log &log = m_topics[topic];
    log.first = log.end();
    log.records.clear();
}

void site_store::restore()
{
    m_topics = m_copy;
    ++m_generation;
}

std::optional<std::string> site_store::newest(const std::string &topic, const std::string &key) const
{
    const auto log = m_topics.find(topic);
    if (log == m_topics.end() || !log->second.newest.contains(key)) {
        return std::nullopt;
    }
    return log->second.newest.at(key).second;
}

void site_store::answer(const exchange_pointer &exchange, int status, const std::string &body) const
{
    exchange->answer(status, body, {{"Store-Era", std::to_string(m_generation)}});
}

void site_store::answerTruncated(const exchange_pointer &exchange, const topic_log &log) const
{
    answer(exchange, 410, R"({"first":)" + std::to_string(log.first) + "}");
}

void site_store::onRequest(const exchange_pointer &exchange)
{
    ++m_calls;
    const std::string path = exchange->path();
    switch (m_state) {
    case state::up:
        break;
    case state::busy:
        answer(exchange, 503, "");
        return;
    case state::rate_limited:
        answer(exchange, 429, "");
        return;
    case state::silent:
        return;
    case state::resetting:
        exchange->reset();
        return;
    case state::answers_lost:
        break;
    case state::malformed:
        answer(exchange, 200, "{\"items\":3");
        return;
    case state::invalid_status:
        exchange->answerAs(invalidStatus + " Odd", R"({"items":[],"records":[],"offset":0,"end":0,"next":0})",
                           {{"Store-Era", std::to_string(m_generation)}});
        return;
    }
    if (path == "/masticlever/log-append") {
        onAppend(exchange);
    } else if (path == "/masticlever/log-read") {
        onRead(exchange);
    } else if (path == "/masticlever/log-newest") {
        onNewest(exchange);
    } else {
        answer(exchange, 404, "");
    }
}

void site_store::onAppend(const exchange_pointer &exchange)
{
    const std::string topic = exchange->query("topic");
    const std::string &body = exchange->body();
    std::size_t at = 0;
    while (at + lengthBytes < body.size()) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i) {
            length = length << 8 | static_cast<unsigned char>(body[at + i]);
        }
        const std::string content = body.substr(at + lengthBytes, length);
        const auto keyLength = static_cast<unsigned char>(content[0]);
        put(topic, content.substr(1, keyLength), content.substr(1 + keyLength));
        at += lengthBytes + length;
    }
    if (m_state == state::answers_lost) {
        exchange->reset();
        return;
    }
    answer(exchange, 200, R"({"offset":0,"end":1})");
}

void site_store::answerRead(const exchange_pointer &exchange, const topic_log &log, std::uint64_t from)
{
    std::string body = bigEndian(log.end(), 8) + bigEndian(log.first, 8);
    for (std::uint64_t offset = from; offset < log.end(); ++offset) {
        const record &entry = log.records[offset - log.first];
        const std::string content = bigEndian(entry.key.size(), 1) + entry.key + entry.value.value_or("");
        body += bigEndian(content.size(), lengthBytes) + content;
    }
    answer(exchange, 200, body);
}

void site_store::onRead(const exchange_pointer &exchange)
{
    const std::string topic = exchange->query("topic");
    const std::uint64_t from = number(exchange->query("from"));
    const topic_log &log = m_topics[topic];
    if (from < log.first || from > log.end()) {
        answerTruncated(exchange, log);
        return;
    }
    const auto wait = static_cast<int>(number(exchange->query("wait_ms")));
    if (from < log.end() || wait == 0) {
        answerRead(exchange, log, from);
        return;
    }
    m_longPolls.push_back({exchange, topic, from});
    QTimer::singleShot(wait, &m_timers, [this, exchange, topic, from] {
        const auto removed = m_longPolls.remove_if([&](const auto &read) { return read.exchange == exchange; });
        if (removed == 0) {
            return;
        }
        const topic_log &present = m_topics[topic];
        if (from < present.first || from > present.end()) { // compacted or restored while the read was waiting
            answerTruncated(exchange, present);
        } else {
            answerRead(exchange, present, from);
        }
    });
}

void site_store::answerLongPolls(const std::string &topic)
{
    if (m_state != state::up) {
        return;
    }
    std::list<long_poll> answerable;
    for (auto it = m_longPolls.begin(); it != m_longPolls.end();) {
        const auto current = it++;
        if (current->topic == topic && current->from < m_topics[topic].end()) {
            answerable.splice(answerable.end(), m_longPolls, current);
        }
    }
    for (const long_poll &read : answerable) {
        answerRead(read.exchange, m_topics[topic], read.from);
    }
}

void site_store::onNewest(const exchange_pointer &exchange)
{
    const topic_log &log = m_topics[exchange->query("topic")];
    QJsonArray items;
    bool hasMore = false;
    for (auto it = log.newest.upper_bound(exchange->query("after")); it != log.newest.end(); ++it) {
        if (items.size() == static_cast<qsizetype>(pageItems)) {
            hasMore = true;
            break;
        }
        const QByteArray value = QByteArray::fromStdString(it->second.second).toBase64();
        items.append(QJsonObject{{QStringLiteral("key"), QString::fromStdString(it->first)},
                                 {QStringLiteral("value"), QString::fromLatin1(value)},
                                 {QStringLiteral("offset"), static_cast<qint64>(it->second.first)}});
    }
    answer(exchange, 200,
           json({{QStringLiteral("items"), items},
                 {QStringLiteral("has_more"), hasMore},
                 {QStringLiteral("end"), static_cast<qint64>(log.end())}}));
}

} // namespace masticlever::site
