#include <masticlever/gateway/exchange.h>

#include <QAbstractSocket>

#include <utility>

namespace masticlever::gateway
{

namespace
{

constexpr int hexadecimalBase = 16;
constexpr qint64 maxUnsentBytes = 1 << 20; ///< of one connection

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 307:
        return "Temporary Redirect";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 411:
        return "Length Required";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

QByteArray toByteArray(std::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

} // namespace

exchange::exchange(QTcpSocket *socket, http_request request, bool keepAlive)
    : m_socket(socket), m_request(std::move(request)), m_keepAlive(keepAlive)
{
    connect(socket, &QTcpSocket::disconnected, this, [this] {
        if (!std::exchange(m_finished, true)) {
            Q_EMIT disconnected();
            Q_EMIT finished();
            deleteLater();
        }
    });
}

bool exchange::isOpen() const
{
    return !m_finished && m_socket && m_socket->state() == QAbstractSocket::ConnectedState;
}

void exchange::answer(int status, std::string_view contentType, std::string_view body,
                      std::initializer_list<header> headers)
{
    if (!isOpen() || m_headSent) {
        return;
    }
    m_headSent = true;
    QByteArray head = "HTTP/1.1 " + QByteArray::number(status) + ' ' + reasonPhrase(status) + "\r\n";
    head += "Content-Type: " + toByteArray(contentType) + "\r\n";
    head += "Content-Length: " + QByteArray::number(static_cast<qulonglong>(body.size())) + "\r\n";
    for (const header &field : headers) {
        if (!field.value.empty()) {
            head += toByteArray(field.name) + ": " + toByteArray(field.value) + "\r\n";
        }
    }
    head += m_keepAlive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
    head += toByteArray(body);
    m_socket->write(head);
    finish();
}

void exchange::answerJson(int status, std::string_view body, std::initializer_list<header> headers)
{
    answer(status, "application/json", body, headers);
}

void exchange::beginEvents()
{
    if (!isOpen() || m_headSent) {
        return;
    }
    m_headSent = true;
    QByteArray head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n"
                      "Transfer-Encoding: chunked\r\n";
    head += m_keepAlive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
    m_socket->write(head);
}

void exchange::sendEvent(std::string_view name, std::string_view json)
{
    std::string event = "event: ";
    event += name;
    event += "\ndata: ";
    event += json;
    event += "\n\n";
    writeChunk(event);
}

void exchange::writeChunk(std::string_view data)
{
    if (!isOpen()) {
        return;
    }
    QByteArray chunk = QByteArray::number(static_cast<qulonglong>(data.size()), hexadecimalBase);
    chunk += "\r\n";
    chunk += toByteArray(data);
    chunk += "\r\n";
    m_socket->write(chunk);
    if (m_socket->bytesToWrite() > maxUnsentBytes) {
        // Bounds the memory taken by a caller that does not read its stream.
        m_socket->abort();
    }
}

void exchange::endEvents()
{
    if (isOpen()) {
        m_socket->write("0\r\n\r\n");
        finish();
    }
}

void exchange::finish()
{
    m_finished = true;
    if (!m_keepAlive) {
        m_socket->disconnectFromHost();
    }
    Q_EMIT finished();
    deleteLater();
}

} // namespace masticlever::gateway
