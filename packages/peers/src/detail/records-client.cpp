#include "detail/records-client.h"

#include <masticlever/common/errors.h>

#include "detail/address.h"

#include <utility>

namespace masticlever::peers::detail
{

using common::error;

namespace
{

constexpr qint64 readBufferBytes = frameLengthBytes + maximumAnswerBytes;

} // namespace

records_client::records_client(std::string key, std::chrono::milliseconds timeout, handler done)
    : m_key(std::move(key)), m_done(std::move(done))
{
    m_socket.setReadBufferSize(readBufferBytes);
    m_timer.setSingleShot(true);
    m_timer.setInterval(timeout);
    QObject::connect(&m_timer, &QTimer::timeout, &m_socket, [this] { finish(make_error_code(error::timed_out)); });
    QObject::connect(&m_socket, &QTcpSocket::readyRead, &m_socket, [this] { onReadable(); });
    QObject::connect(&m_socket, &QTcpSocket::disconnected, &m_socket, [this] {
        onReadable();
        finish(make_error_code(error::unavailable));
    });
    QObject::connect(&m_socket, &QTcpSocket::errorOccurred, &m_socket, [this](QAbstractSocket::SocketError reason) {
        if (reason != QAbstractSocket::RemoteHostClosedError) {
            finish(make_error_code(error::unavailable));
        }
    });
}

records_client::~records_client()
{
    // The socket's destructor emits signals, which must not call the handler.
    m_isInFlight = false;
}

void records_client::send(const catch_up_request &request)
{
    finish(make_error_code(error::cancelled));
    m_request = request;
    m_requestMac.clear();
    m_isInFlight = true;
    const auto address = parseAddress(request.address);
    if (!address) {
        finish(address.error());
        return;
    }
    m_timer.start();
    m_socket.connectToHost(address.value().host, address.value().port);
}

void records_client::onReadable()
{
    if (!m_isInFlight || (m_requestMac.empty() && !sendRequest())) {
        return;
    }
    const QByteArray prefix = m_socket.peek(static_cast<qint64>(frameLengthBytes));
    const auto length = frameLength({prefix.constData(), static_cast<std::size_t>(prefix.size())}, maximumAnswerBytes);
    if (!length) {
        finish(length.error());
        return;
    }
    if (length.value() == 0 || m_socket.bytesAvailable() < static_cast<qint64>(length.value())) {
        return;
    }
    onFrame(m_socket.read(static_cast<qint64>(length.value())).toStdString());
}

bool records_client::sendRequest()
{
    if (m_socket.bytesAvailable() < static_cast<qint64>(challengeBytes)) {
        return false;
    }
    const std::string challenge = m_socket.read(static_cast<qint64>(challengeBytes)).toStdString();
    const auto frame = encodeRequest({m_request.from, m_request.limit}, m_key, challenge);
    if (!frame) {
        finish(frame.error());
        return false;
    }
    m_requestMac = macOf(frame.value());
    m_bytesSent += frame.value().size();
    m_socket.write(frame.value().data(), static_cast<qint64>(frame.value().size()));
    return true;
}

void records_client::onFrame(const std::string &frame)
{
    m_bytesReceived += frame.size() + challengeBytes;
    auto answer = decodeAnswer(frame, m_key, m_requestMac);
    if (!answer) {
        finish(answer.error());
    } else if (!answer.value().available) {
        finish(make_error_code(error::unavailable));
    } else {
        finish(std::move(answer.value().batch));
    }
}

void records_client::finish(common::result<platform::log_batch> outcome)
{
    if (!m_isInFlight) {
        return;
    }
    m_isInFlight = false;
    m_timer.stop();
    m_socket.abort();
    m_done(m_request.id, std::move(outcome));
}

} // namespace masticlever::peers::detail
