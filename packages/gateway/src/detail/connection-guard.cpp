#include "connection-guard.h"

#include <QList>

#include <algorithm>
#include <chrono>

namespace masticlever::gateway::detail
{

namespace
{

constexpr qsizetype maxHeadBytes = 16384;
constexpr std::chrono::seconds requestTimeout{15};

constexpr const char *lengthRequired = "HTTP/1.1 411 Length Required\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr const char *tooLarge = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr const char *badRequest = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

} // namespace

connection_guard::connection_guard(QTcpSocket *socket, std::size_t maxBodyBytes)
    : QObject(socket), m_socket(socket), m_maxBodyBytes(maxBodyBytes)
{
    m_timeout.setSingleShot(true);
    m_timeout.setInterval(requestTimeout);
    connect(socket, &QTcpSocket::readyRead, this, &connection_guard::onReadyRead);
    connect(&m_timeout, &QTimer::timeout, socket, &QTcpSocket::abort);
}

void connection_guard::onReadyRead()
{
    if (m_rejected) {
        m_socket->readAll();
        return;
    }
    if (!consume(m_socket->peek(m_socket->bytesAvailable()))) {
        return;
    }
    const bool isIncomplete = m_bodyLeft > 0 || !m_head.isEmpty();
    if (!isIncomplete) {
        m_timeout.stop();
    } else if (!m_timeout.isActive()) {
        m_timeout.start();
    }
}

bool connection_guard::consume(QByteArray data)
{
    while (!data.isEmpty()) {
        if (m_bodyLeft > 0) {
            const auto consumed = std::min(static_cast<qsizetype>(m_bodyLeft), data.size());
            m_bodyLeft -= static_cast<std::size_t>(consumed);
            data.remove(0, consumed);
            continue;
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
        if (length > m_maxBodyBytes) {
            reject(tooLarge);
            return false;
        }
        m_bodyLeft = length;
    }
    return true;
}

void connection_guard::reject(const char *response)
{
    m_rejected = true;
    m_timeout.start();
    m_socket->readAll();
    m_socket->write(response);
    m_socket->disconnectFromHost();
}

} // namespace masticlever::gateway::detail
