#pragma once

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <cstddef>

/// \file
/// Limits what one connection may send before the HTTP parser sees it.

namespace masticlever::gateway::detail
{

/// The parser of QAbstractHttpServer keeps a request's whole head and body in memory, whatever their size. The guard
/// reads along and closes the connection with 411 or 413 before that. It must be connected to the socket first.
class connection_guard : public QObject
{
    Q_OBJECT

public:
    connection_guard(QTcpSocket *socket, std::size_t bodyLimit);

private:
    void onReadyRead();
    /// Consumes \p data of the request that is under way; false when the connection was closed.
    bool follow(QByteArray data);
    bool onHead();
    void refuse(const char *response);

    QTcpSocket *m_socket;
    std::size_t m_bodyLimit;
    QByteArray m_head;
    std::size_t m_bodyLeft = 0;
    bool m_refused = false;
    QTimer m_patience; ///< runs while a request is incomplete
};

} // namespace masticlever::gateway::detail
