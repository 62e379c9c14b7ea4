#include "http-server.h"

#include <QHostAddress>
#include <QJsonDocument>

#include <cstdio>

namespace masticlever::fakes
{

namespace
{

bool isOpen(const QTcpSocket *socket)
{
    return socket != nullptr && socket->state() == QAbstractSocket::ConnectedState;
}

QByteArray head(int status, const header_list &headers)
{
    QByteArray text = "HTTP/1.1 " + QByteArray::number(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text;
}

QByteArray serialize(const response &answer)
{
    const QByteArray length = QByteArray::number(answer.body.size());
    return head(answer.status, answer.headers) + "Content-Length: " + length + "\r\n\r\n" + answer.body;
}

} // namespace

response jsonResponse(const QJsonObject &object, int status)
{
    return {status, QJsonDocument(object).toJson(QJsonDocument::Compact), {{"Content-Type", "application/json"}}};
}

QJsonObject jsonBody(const QHttpServerRequest &request)
{
    return QJsonDocument::fromJson(request.body()).object();
}

void write(QTcpSocket *socket, const response &answer)
{
    if (isOpen(socket)) {
        socket->write(serialize(answer));
    }
}

void writeTruncated(QTcpSocket *socket, const response &answer)
{
    if (isOpen(socket)) {
        socket->write(serialize(answer).chopped(answer.body.size() / 2));
        socket->disconnectFromHost();
    }
}

void beginChunked(QTcpSocket *socket, const header_list &headers)
{
    if (isOpen(socket)) {
        constexpr int statusOk = 200;
        socket->write(head(statusOk, headers) + "Transfer-Encoding: chunked\r\n\r\n");
    }
}

void writeChunk(QTcpSocket *socket, const QByteArray &data)
{
    if (isOpen(socket)) {
        constexpr int hexadecimal = 16;
        socket->write(QByteArray::number(data.size(), hexadecimal) + "\r\n" + data + "\r\n");
    }
}

void endChunked(QTcpSocket *socket)
{
    if (isOpen(socket)) {
        socket->write("0\r\n\r\n");
    }
}

void close(QTcpSocket *socket)
{
    if (isOpen(socket)) {
        socket->disconnectFromHost();
    }
}

bool http_server::start(quint16 port)
{
    const quint16 actual = listen(QHostAddress::LocalHost, port);
    if (actual == 0) {
        return false;
    }
    std::printf("listening 127.0.0.1:%u\n", static_cast<unsigned>(actual));
    std::fflush(stdout);
    return true;
}

bool http_server::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    // Disables Nagle's algorithm, so that small writes don't wait for the peer's delayed acknowledgement.
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    onRequest(request, socket);
    return true;
}

void http_server::missingHandler(const QHttpServerRequest &, QTcpSocket *) { }

} // namespace masticlever::fakes
