#pragma once

#include <QAbstractHttpServer>
#include <QByteArray>
#include <QHttpServerRequest>
#include <QJsonObject>
#include <QList>
#include <QPair>
#include <QPointer>
#include <QTcpSocket>

/// \file
/// Base of the fakes' HTTP servers. Answers are written directly to sockets, which may disconnect at any time.

namespace masticlever::fakes
{

using header_list = QList<QPair<QByteArray, QByteArray>>;

struct response {
    int status = 200;
    QByteArray body;
    header_list headers;
};

response jsonResponse(const QJsonObject &object, int status = 200);
QJsonObject jsonBody(const QHttpServerRequest &request);

/// These functions do nothing when the socket is disconnected. Connections are kept alive.
void write(QTcpSocket *socket, const response &answer);
/// Writes the head and half of the body, then closes the connection.
void writeTruncated(QTcpSocket *socket, const response &answer);
void beginChunked(QTcpSocket *socket, const header_list &headers);
void writeChunk(QTcpSocket *socket, const QByteArray &data);
void endChunked(QTcpSocket *socket);
void close(QTcpSocket *socket);

class http_server : public QAbstractHttpServer
{
public:
    /// Listens on 127.0.0.1 and prints "listening 127.0.0.1:PORT"; false when the port is taken.
    bool start(quint16 port);

protected:
    virtual void onRequest(const QHttpServerRequest &request, QTcpSocket *socket) = 0;

private:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) final;
    void missingHandler(const QHttpServerRequest &request, QTcpSocket *socket) final;
};

} // namespace masticlever::fakes
