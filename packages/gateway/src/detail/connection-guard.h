#pragma once

#include <masticlever/common/time.h>
#include <masticlever/net/connection-limit.h>
#include <masticlever/net/memory-account.h>

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>
#include <QTimer>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>

/// \file
/// Limits the size and duration of requests before they reach the HTTP parser.

namespace masticlever::gateway::detail
{

struct guard_limits {
    std::size_t bodyBytes = 0;
    std::chrono::milliseconds idleTimeout{}; ///< of a connection without a request
};

/// The time that connections are compared by.
common::instant steadyNow();

/// QAbstractHttpServer buffers the whole head and body of a request, whatever their size. The guard peeks at the
/// incoming data and rejects a request with 400, 411, 413 or 503 before it is buffered. It must connect to the socket
/// before the server does, so that it sees the data first.
class connection_guard : public QObject
{
    Q_OBJECT

public:
    /// Called when the connection may hold more than before.
    using use_handler = std::function<void(connection_guard &guard)>;

    connection_guard(QTcpSocket *socket, const guard_limits &limits, use_handler onUse);

    /// The answer to the request in flight is complete.
    void onAnswered();
    /// Ends the connection: with 503 if its request has not been read in full, so that it has not been executed, and by
    /// an abort otherwise.
    void shed();
    /// Aborts the connection.
    void close() { m_socket->abort(); }
    /// Closes the connection after the answer to the request in flight.
    void closeAfterAnswer() { m_isClosing = true; }
    bool isClosingAfterAnswer() const { return m_isClosing; }
    net::memory_use memoryUse() const;
    /// What the connection waits for, for the choice of the one to close when there are too many.
    net::connection_activity activity(common::instant now) const;
    common::instant lastProgressAt() const { return m_lastProgressAt; }

    std::uint64_t number = 0; ///< greater for newer connections
    std::uint32_t address = 0; ///< of the caller

private:
    void onReadyRead();
    /// Parses \p data as the next part of the request; returns false when the request was rejected.
    bool consume(QByteArray data);
    bool onHead();
    void reject(const char *response);
    void updateTimeout();

    QTcpSocket *m_socket;
    guard_limits m_limits;
    use_handler m_onUse;
    QByteArray m_head;
    std::size_t m_body = 0; ///< stated length of the body of the request in flight
    std::size_t m_bodyLeft = 0;
    bool m_isAnswering = false; ///< a request has been read and not been answered
    bool m_hasRequested = false;
    bool m_rejected = false;
    bool m_isClosing = false; ///< after the answer to the request in flight
    common::instant m_lastProgressAt; ///< last byte from the caller or answer to it
    QTimer m_timeout; ///< ends the connection: an idle one, one with an incomplete request, and one after a rejection
};

} // namespace masticlever::gateway::detail
