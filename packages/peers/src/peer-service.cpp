#include <masticlever/common/errors.h>
#include <masticlever/peers/codec.h>
#include <masticlever/peers/peer-service.h>

#include "detail/address.h"
#include "detail/records-client.h"
#include "detail/records-server.h"

#include <QTimer>
#include <QUdpSocket>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <utility>

namespace masticlever::peers
{

namespace
{

using common::error;

constexpr std::chrono::milliseconds tickInterval{100};
constexpr std::chrono::seconds reportInterval{1}; // a flood of invalid messages must not flood the log
constexpr int maximumBindAttempts = 20; // a free TCP port may be in use for UDP

common::instant steadyNow()
{
    return std::chrono::time_point_cast<common::duration>(std::chrono::steady_clock::now());
}

} // namespace

class peer_service::implementation
{
public:
    implementation(peer_settings settings, membership::membership_table &table, peer_handlers handlers);

    common::result<std::uint16_t> listen();
    void setState(bool isLogReachable, platform::log_offset configurationOffset);
    void sendEarly();
    void announceSuspects(std::vector<std::string> endpoints);
    void setContacts(std::vector<std::string> contacts);

    membership::membership_table &table() { return m_table; }
    const peer_counters &counters();

private:
    bool bind(const detail::socket_address &address);
    void onTick();
    void sendGreeting(common::instant now);
    void sendRound(gossip_round round);
    void onDatagrams();
    void onDatagram(std::string_view bytes);
    void reject(std::error_code reason);
    void report(std::error_code reason, std::uint64_t count);
    records_answer provideRecords(const records_request &request);
    void onAnswer(std::uint64_t id, common::result<platform::log_batch> outcome);

    peer_settings m_settings;
    membership::membership_table &m_table;
    peer_handlers m_handlers;
    gossip m_gossip;
    catch_up m_catchUp;
    peer_counters m_counters;
    std::map<std::error_code, common::instant> m_lastReportAt;
    std::uint64_t m_udpBytesSent = 0;
    std::uint64_t m_udpBytesReceived = 0;
    detail::records_server m_server;
    detail::records_client m_client;
    QUdpSocket m_socket;
    QTimer m_timer;
};

peer_service::implementation::implementation(peer_settings settings, membership::membership_table &table,
                                             peer_handlers handlers)
    : m_settings(std::move(settings)), m_table(table), m_handlers(std::move(handlers)),
      m_gossip(m_settings.gossip, table), m_catchUp(m_settings.catchUp, table.self().incarnation),
      m_server(
          {m_settings.key, m_settings.maximumConnections, m_settings.connectionTimeout},
          [this](const records_request &request) { return provideRecords(request); },
          [this](std::error_code reason) { reject(reason); }),
      m_client(
          m_settings.key, std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.catchUp.timeout),
          [this](std::uint64_t id, common::result<platform::log_batch> outcome) { onAnswer(id, std::move(outcome)); })
{
    QObject::connect(&m_socket, &QUdpSocket::readyRead, &m_socket, [this] { onDatagrams(); });
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { onTick(); });
}

common::result<std::uint16_t> peer_service::implementation::listen()
{
    const auto address = detail::parseAddress(m_settings.listenAddress);
    if (!address || m_settings.key.size() < minimumKeyBytes) {
        return make_error_code(error::malformed);
    }
    if (!bind(address.value())) {
        return make_error_code(error::unavailable);
    }
    m_timer.start(tickInterval);
    return m_server.port();
}

bool peer_service::implementation::bind(const detail::socket_address &address)
{
    const int attempts = address.port == 0 ? maximumBindAttempts : 1;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const bool isListening = m_server.listen(address.host, address.port);
        if (isListening && m_socket.bind(address.host, m_server.port(), QUdpSocket::DontShareAddress)) {
            return true;
        }
        m_server.close();
        m_socket.close();
    }
    return false;
}

void peer_service::implementation::setState(bool isLogReachable, platform::log_offset configurationOffset)
{
    membership::instance_notice self = m_table.self();
    self.logReachable = isLogReachable;
    self.configurationOffset = configurationOffset;
    m_table.setSelf(self);
    m_catchUp.onLogReachable(isLogReachable);
    m_catchUp.onApplied(configurationOffset);
}

void peer_service::implementation::announceSuspects(std::vector<std::string> endpoints)
{
    m_gossip.reportSuspects(std::move(endpoints), steadyNow());
    sendEarly();
}

void peer_service::implementation::sendEarly()
{
    m_gossip.sendEarly(steadyNow());
    if (m_timer.isActive()) {
        onTick();
    }
}

const peer_counters &peer_service::implementation::counters()
{
    m_counters.recordRequestsServed = m_server.served();
    m_counters.bytesSent = m_udpBytesSent + m_server.bytesSent() + m_client.bytesSent();
    m_counters.bytesReceived = m_udpBytesReceived + m_server.bytesReceived() + m_client.bytesReceived();
    return m_counters;
}

void peer_service::implementation::onTick()
{
    const common::instant now = steadyNow();
    if (auto heartbeatRequest = m_gossip.takeHeartbeatRequest(now)) {
        sendRound(std::move(*heartbeatRequest));
    }
    if (auto round = m_gossip.onTime(now)) {
        sendRound(std::move(*round));
    }
    if (auto report = m_gossip.takePromptFaultReport(now)) {
        sendRound(std::move(*report));
    }
    sendGreeting(now);
    if (const auto request = m_catchUp.next(now)) {
        ++m_counters.recordRequestsSent;
        m_client.send(*request);
    }
}

void peer_service::implementation::setContacts(std::vector<std::string> contacts)
{
    m_gossip.setContacts(std::move(contacts));
    if (m_timer.isActive()) {
        sendGreeting(steadyNow());
    }
}

void peer_service::implementation::sendGreeting(common::instant now)
{
    if (auto greeting = m_gossip.takeGreeting(now)) {
        sendRound(std::move(*greeting));
    }
}

void peer_service::implementation::sendRound(gossip_round round)
{
    const auto datagram = encodeDatagram(round.message, m_settings.key);
    if (!datagram) {
        reject(datagram.error());
        return;
    }
    for (const std::string &text : round.addresses) {
        const auto address = detail::parseAddress(text);
        if (!address) {
            continue;
        }
        const auto size = static_cast<qint64>(datagram.value().size());
        const auto sent
            = m_socket.writeDatagram(datagram.value().data(), size, address.value().host, address.value().port);
        if (sent == size) {
            ++m_counters.datagramsSent;
            m_udpBytesSent += datagram.value().size();
        }
    }
}

void peer_service::implementation::onDatagrams()
{
    // One byte more than the limit makes an oversized datagram detectable.
    std::array<char, maximumDatagramBytes + 1> buffer{};
    while (m_socket.hasPendingDatagrams()) {
        const qint64 size = m_socket.readDatagram(buffer.data(), buffer.size());
        if (size < 0) {
            break;
        }
        ++m_counters.datagramsReceived;
        m_udpBytesReceived += static_cast<std::uint64_t>(size);
        onDatagram({buffer.data(), static_cast<std::size_t>(size)});
    }
}

void peer_service::implementation::onDatagram(std::string_view bytes)
{
    const auto message = decodeDatagram(bytes, m_settings.key);
    if (!message) {
        reject(message.error());
        return;
    }
    const common::instant now = steadyNow();
    const membership::instance_notice &sender = message.value().sender;
    if (!m_gossip.onMessage(message.value(), now)) {
        ++m_counters.refusedRepeated;
        return;
    }
    m_catchUp.onPeer(sender.peerAddress, sender.configurationOffset, now);
    for (gossip_round &round : m_gossip.takeIntroductions(now)) {
        sendRound(std::move(round));
    }
    if (m_handlers.onSuspects && !message.value().suspects.empty()) {
        m_handlers.onSuspects(message.value().suspects);
    }
    if (m_handlers.onNews) {
        m_handlers.onNews();
    }
}

void peer_service::implementation::reject(std::error_code reason)
{
    if (reason == error::too_large) {
        report(reason, ++m_counters.refusedTooLarge);
    } else if (reason == error::unauthenticated) {
        report(reason, ++m_counters.refusedUnauthenticated);
    } else {
        report(reason, ++m_counters.refusedMalformed);
    }
}

void peer_service::implementation::report(std::error_code reason, std::uint64_t count)
{
    const common::instant now = steadyNow();
    const auto [known, isFirst] = m_lastReportAt.try_emplace(reason, now);
    if (!m_handlers.onRefused || (!isFirst && now - known->second < reportInterval)) {
        return;
    }
    known->second = now;
    m_handlers.onRefused(reason, count);
}

records_answer peer_service::implementation::provideRecords(const records_request &request)
{
    records_answer answer;
    if (!m_handlers.recordsFrom) {
        return answer;
    }
    const std::size_t limit = std::min(request.limit, m_settings.catchUp.limit);
    auto batch = m_handlers.recordsFrom(request.from, limit);
    if (batch) {
        answer.available = true;
        answer.batch = std::move(batch.value());
    }
    return answer;
}

void peer_service::implementation::onAnswer(std::uint64_t id, common::result<platform::log_batch> outcome)
{
    const bool isSuccess = outcome.has_value();
    if (isSuccess && m_handlers.onRecords) {
        m_catchUp.onApplied(m_handlers.onRecords(outcome.value()));
    } else {
        ++m_counters.recordRequestsFailed;
    }
    m_catchUp.onAnswer(id, isSuccess, steadyNow());
}

peer_service::peer_service(peer_settings settings, membership::membership_table &table, peer_handlers handlers)
    : m_implementation(std::make_unique<implementation>(std::move(settings), table, std::move(handlers)))
{ }

peer_service::~peer_service() = default;

common::result<std::uint16_t> peer_service::listen()
{
    return m_implementation->listen();
}

void peer_service::setState(bool isLogReachable, platform::log_offset configurationOffset)
{
    m_implementation->setState(isLogReachable, configurationOffset);
}

void peer_service::announceLeaving()
{
    membership::instance_notice self = m_implementation->table().self();
    self.leaving = true;
    m_implementation->table().setSelf(self);
    m_implementation->sendEarly();
}

void peer_service::announceEndpointLeaving(const membership::endpoint_notice &notice)
{
    m_implementation->table().onEndpointLeaving(notice, steadyNow());
    m_implementation->sendEarly();
}

void peer_service::announcePromptFaults()
{
    m_implementation->sendEarly();
}

void peer_service::announceSuspects(std::vector<std::string> endpoints)
{
    m_implementation->announceSuspects(std::move(endpoints));
}

void peer_service::setContacts(std::vector<std::string> contacts)
{
    m_implementation->setContacts(std::move(contacts));
}

const peer_counters &peer_service::counters() const
{
    return m_implementation->counters();
}

} // namespace masticlever::peers
