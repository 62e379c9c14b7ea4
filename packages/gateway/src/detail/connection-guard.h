#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <cstddef>

/// \file
/// Limits the size and duration of requests before they reach the HTTP parser.

namespace masticlever::gateway::detail
{

/// QAbstractHttpServer buffers the whole head and body of a request, whatever their size. The guard peeks at the
/// incoming data and rejects a request with 400, 411 or 413 before it is buffered. It must connect to the socket before
/// the server does, so that it sees the data first.
class connection_guard : public QObject
{
    Q_OBJECT

public:
    connection_guard(QTcpSocket *socket, std::size_t maxBodyBytes);

private:
    void onReadyRead();
    /// Parses \p data as the next part of the request; returns false when the request was rejected.
    bool consume(QByteArray data);
    bool onHead();
    void reject(const char *response);

    QTcpSocket *m_socket;
    std::size_t m_maxBodyBytes;
    QByteArray m_head;
    std::size_t m_bodyLeft = 0;
    bool m_rejected = false;
    QTimer m_timeout; ///< aborts the connection; runs while a request is incomplete and after a rejection
};

} // namespace masticlever::gateway::detail
