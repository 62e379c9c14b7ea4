#include "connection-guard.h"

#include <QList>

#include <algorithm>
#include <chrono>
#include <utility>

namespace masticlever::gateway::detail
{

namespace
{

constexpr qsizetype maxHeadBytes = 16384;
constexpr std::chrono::seconds requestTimeout{15};
constexpr std::chrono::seconds stallTime{2};

constexpr const char *lengthRequired = "HTTP/1.1 411 Length Required\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr const char *tooLarge = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr const char *unavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n"
                                    "Connection: close\r\n\r\n";
constexpr const char *badRequest = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

} // namespace

common::instant steadyNow()
{
    return std::chrono::time_point_cast<common::duration>(std::chrono::steady_clock::now());
}

connection_guard::connection_guard(QTcpSocket *socket, const guard_limits &limits, use_handler onUse)
    : QObject(socket), m_socket(socket), m_limits(limits), m_onUse(std::move(onUse))
{
    m_lastProgressAt = steadyNow();
    m_timeout.setSingleShot(true);
    updateTimeout();
    connect(socket, &QTcpSocket::readyRead, this, &connection_guard::onReadyRead);
    connect(socket, &QTcpSocket::bytesWritten, this, [this] { m_lastProgressAt = steadyNow(); });
    connect(&m_timeout, &QTimer::timeout, socket, &QTcpSocket::abort);
}

void connection_guard::onReadyRead()
{
    m_lastProgressAt = steadyNow();
    if (m_rejected) {
        m_socket->readAll();
        return;
    }
    if (!consume(m_socket->peek(m_socket->bytesAvailable()))) {
        return;
    }
    updateTimeout();
    m_onUse(*this);
}

void connection_guard::updateTimeout()
{
    const bool isIncomplete = m_bodyLeft > 0 || !m_head.isEmpty();
    const std::chrono::milliseconds limit = isIncomplete ? requestTimeout : m_limits.idleTimeout;
    if (m_isAnswering) {
        m_timeout.stop();
    } else if (!m_timeout.isActive() || m_timeout.intervalAsDuration() != limit || !isIncomplete) {
        m_timeout.start(limit);
    }
}

void connection_guard::onAnswered()
{
    m_isAnswering = false;
    m_body = 0;
    m_lastProgressAt = steadyNow();
    updateTimeout();
    if (m_isClosing) {
        QMetaObject::invokeMethod(m_socket, &QTcpSocket::disconnectFromHost, Qt::QueuedConnection);
    }
}

net::connection_activity connection_guard::activity(common::instant now) const
{
    if (!m_hasRequested) {
        return net::connection_activity::unused;
    }
    const bool isAnswerUnread = m_socket->bytesToWrite() > 0;
    const bool isRequestIncomplete = m_bodyLeft > 0;
    if (!m_isAnswering && !m_rejected && !isRequestIncomplete && !isAnswerUnread) {
        return net::connection_activity::idle;
    }
    const bool isStalled = (isRequestIncomplete || isAnswerUnread) && now - m_lastProgressAt > stallTime;
    return isStalled ? net::connection_activity::stalled : net::connection_activity::active;
}

net::memory_use connection_guard::memoryUse() const
{
    // The server keeps a body twice until it is complete: as received, for the parser's transaction, and as parsed.
    return {.declaredBody = m_rejected ? 0 : m_body,
            .receivedBody = m_rejected ? 0 : m_body - m_bodyLeft,
            .copies = m_rejected ? 0 : m_body,
            .readAhead = static_cast<std::size_t>(m_head.size()),
            .unsent = static_cast<std::size_t>(m_socket->bytesToWrite()),
            .isReadingBody = m_bodyLeft > 0};
}

void connection_guard::shed()
{
    if (m_isAnswering || m_rejected || m_socket->bytesToWrite() > 0) {
        m_socket->abort();
    } else {
        reject(unavailable);
    }
}

bool connection_guard::consume(QByteArray data)
{
    while (!data.isEmpty()) {
        if (m_bodyLeft > 0) {
            const auto consumed = std::min(static_cast<qsizetype>(m_bodyLeft), data.size());
            m_bodyLeft -= static_cast<std::size_t>(consumed);
            m_isAnswering = m_bodyLeft == 0;
            data.remove(0, consumed);
            continue;
        }
        if (m_isAnswering) {
            // Requests that are sent ahead are not supported, and their bytes would be held until the answer is sent.
            m_socket->abort();
            return false;
        }
        const qsizetype bufferedLength = m_head.size();
        m_head += data;
        const qsizetype end = m_head.indexOf("\r\n\r\n");
        if (end < 0) {
            if (m_head.size() > maxHeadBytes) {
                reject(tooLarge);
                return false;
            }
            return true;
        }
        constexpr qsizetype terminatorLength = 4;
        data.remove(0, end + terminatorLength - bufferedLength);
        m_head.truncate(end);
        if (!onHead()) {
            return false;
        }
        m_head.clear();
    }
    return true;
}

bool connection_guard::onHead()
{
    const QList<QByteArray> lines = m_head.split('\n');
    qsizetype lengthHeaders = 0;
    for (const QByteArray &line : lines) {
        const qsizetype colon = line.indexOf(':');
        const QByteArray name = line.left(colon).trimmed().toLower();
        if (name == "transfer-encoding") {
            reject(lengthRequired);
            return false;
        }
        if (name != "content-length") {
            continue;
        }
        bool isNumber = false;
        const qulonglong length = line.mid(colon + 1).trimmed().toULongLong(&isNumber);
        if (!isNumber || ++lengthHeaders > 1) {
            reject(badRequest);
            return false;
        }
        if (length > m_limits.bodyBytes) {
            reject(tooLarge);
            return false;
        }
        m_bodyLeft = length;
    }
    m_hasRequested = true;
    m_body = m_bodyLeft;
    m_isAnswering = m_bodyLeft == 0;
    m_head.clear();
    m_onUse(*this);
    return !m_rejected;
}

void connection_guard::reject(const char *response)
{
    m_rejected = true;
    m_timeout.start(requestTimeout);
    m_socket->readAll();
    m_socket->write(response);
    m_socket->disconnectFromHost();
}

} // namespace masticlever::gateway::detail
