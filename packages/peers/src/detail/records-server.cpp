#include "detail/records-server.h"

#include <QRandomGenerator>
#include <QTimer>

#include <array>
#include <utility>

namespace masticlever::peers::detail
{

namespace
{

constexpr qint64 readBufferBytes = frameLengthBytes + maximumRequestBytes;

std::string makeChallenge()
{
    std::array<quint32, challengeBytes / sizeof(quint32)> random{};
    QRandomGenerator::system()->fillRange(random.data(), static_cast<qsizetype>(random.size()));
    return {reinterpret_cast<const char *>(random.data()), challengeBytes};
}

} // namespace

records_server::records_server(options settings, provider provideRecords, refused_handler onRefused)
    : m_options(std::move(settings)), m_provideRecords(std::move(provideRecords)), m_onRefused(std::move(onRefused))
{
    QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
}

void records_server::accept()
{
    while (QTcpSocket *socket = m_server.nextPendingConnection()) {
        if (m_connections >= m_options.maximumConnections) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        ++m_connections;
        socket->setReadBufferSize(readBufferBytes);
        const std::string challenge = makeChallenge();
        QObject::connect(socket, &QTcpSocket::readyRead, &m_server,
                         [this, socket, challenge] { onReadable(*socket, challenge); });
        QObject::connect(socket, &QTcpSocket::disconnected, &m_server, [this, socket] {
            --m_connections;
            socket->deleteLater();
        });
        QTimer::singleShot(m_options.timeout, socket, [socket] { socket->abort(); });
        m_bytesSent += challenge.size();
        socket->write(challenge.data(), static_cast<qint64>(challenge.size()));
    }
}

void records_server::onReadable(QTcpSocket &socket, const std::string &challenge)
{
    const QByteArray available = socket.peek(readBufferBytes);
    const std::string_view bytes(available.constData(), static_cast<std::size_t>(available.size()));
    const auto length = frameLength(bytes, maximumRequestBytes);
    if (!length) {
        reject(socket, length.error());
        return;
    }
    if (length.value() == 0 || bytes.size() < length.value()) {
        return;
    }
    m_bytesReceived += length.value();
    const std::string frame(bytes.substr(0, length.value()));
    socket.skip(static_cast<qint64>(available.size()));
    respond(socket, frame, challenge);
}

void records_server::respond(QTcpSocket &socket, const std::string &frame, const std::string &challenge)
{
    const auto request = decodeRequest(frame, m_options.key, challenge);
    if (!request) {
        reject(socket, request.error());
        return;
    }
    // One request per connection makes its MAC unique, and thereby the MAC of the response.
    QObject::disconnect(&socket, &QTcpSocket::readyRead, &m_server, nullptr);
    const auto reply = encodeAnswer(m_provideRecords(request.value()), m_options.key, macOf(frame));
    if (!reply) {
        socket.abort();
        return;
    }
    ++m_served;
    m_bytesSent += reply.value().size();
    socket.write(reply.value().data(), static_cast<qint64>(reply.value().size()));
    socket.disconnectFromHost();
}

void records_server::reject(QTcpSocket &socket, std::error_code reason)
{
    m_onRefused(reason);
    socket.abort();
}

} // namespace masticlever::peers::detail
