#include "connection-guard.h"

#include <QList>

#include <algorithm>
#include <chrono>

namespace masticlever::gateway::detail
{

namespace
{

constexpr qsizetype headLimit = 16384; ///< bytes
constexpr std::chrono::seconds patience{15};

constexpr const char *lengthRequired = "HTTP/1.1 411 Length Required\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr const char *tooLarge = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr const char *badRequest = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

} // namespace

connection_guard::connection_guard(QTcpSocket *socket, std::size_t bodyLimit)
    : QObject(socket), m_socket(socket), m_bodyLimit(bodyLimit)
{
    m_patience.setSingleShot(true);
    m_patience.setInterval(patience);
    connect(socket, &QTcpSocket::readyRead, this, &connection_guard::onReadyRead);
    connect(&m_patience, &QTimer::timeout, socket, &QTcpSocket::abort);
}

void connection_guard::onReadyRead()
{
    if (m_refused) {
        m_socket->readAll();
        return;
    }
    if (!follow(m_socket->peek(m_socket->bytesAvailable()))) {
        return;
    }
    const bool isIncomplete = m_bodyLeft > 0 || !m_head.isEmpty();
    if (!isIncomplete) {
        m_patience.stop();
    } else if (!m_patience.isActive()) {
        m_patience.start();
    }
}

bool connection_guard::follow(QByteArray data)
{
    while (!data.isEmpty()) {
        if (m_bodyLeft > 0) {
            const auto taken = std::min(static_cast<qsizetype>(m_bodyLeft), data.size());
            m_bodyLeft -= static_cast<std::size_t>(taken);
            data.remove(0, taken);
            continue;
        }
        const qsizetype before = m_head.size();
        m_head += data;
        const qsizetype end = m_head.indexOf("\r\n\r\n");
        if (end < 0) {
            if (m_head.size() > headLimit) {
                refuse(tooLarge);
                return false;
            }
            return true;
        }
        constexpr qsizetype markLength = 4;
        data.remove(0, end + markLength - before);
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
    qsizetype lengths = 0;
    for (const QByteArray &line : lines) {
        const qsizetype colon = line.indexOf(':');
        const QByteArray name = line.left(colon).trimmed().toLower();
        if (name == "transfer-encoding") {
            refuse(lengthRequired);
            return false;
        }
        if (name != "content-length") {
            continue;
        }
        bool isNumber = false;
        const qulonglong length = line.mid(colon + 1).trimmed().toULongLong(&isNumber);
        if (!isNumber || ++lengths > 1) {
            refuse(badRequest);
            return false;
        }
        if (length > m_bodyLimit) {
            refuse(tooLarge);
            return false;
        }
        m_bodyLeft = length;
    }
    return true;
}

void connection_guard::refuse(const char *response)
{
    m_refused = true;
    m_patience.start();
    m_socket->readAll();
    m_socket->write(response);
    m_socket->disconnectFromHost();
}

} // namespace masticlever::gateway::detail
