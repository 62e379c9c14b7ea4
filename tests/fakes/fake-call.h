#pragma once

#include "http-server.h"

#include <QElapsedTimer>
#include <QObject>
#include <QString>
#include <QTimer>

/// \file
/// A call at the fake endpoint, from its arrival to its answer.

namespace masticlever::fakes
{

enum class fault_mode { none, slow, cut, wrong_id, duplicate_answer, close_after_read, never, late, error, refuse };

fault_mode parseFaultMode(const QString &name);

struct fault {
    fault_mode mode = fault_mode::none;
    int delayMs = 2'000; ///< for slow and late
    int tokens = 3; ///< sent before the connection closes, for cut
};

/// The parsed request of a call.
struct call_request {
    QString stage;
    QJsonObject request; ///< the caller's JSON body
    QByteArray callId;
    QByteArray idempotencyKey; ///< empty for a repeatable stage
    int priority = 0;
    bool isStream = false;
    fault injectedFault;
};

struct call_speed {
    double tokensPerSecond = 0; ///< per call; 0 for a stage that generates no tokens
    int prefillMs = 0;
};

/// The endpoint starts the call when a slot is free. A repeatable call is cancelled when its caller disconnects.
class fake_call final : public QObject
{
    Q_OBJECT

public:
    fake_call(call_request request, QTcpSocket *socket, QObject *parent);

    const call_request &request() const { return m_request; }
    bool isRunning() const { return m_isRunning; }
    bool isClosed() const { return m_isClosed; }

    /// \p headers are sent with every answer; \p number is the sequence number of the call at the endpoint.
    void start(call_speed speed, const header_list &headers, qint64 number);
    /// Result of a finished call.
    const QJsonObject &result() const { return m_result; }

Q_SIGNALS:
    /// The work is done; the answer may be sent later.
    void finished();
    /// The call is no longer in flight: its answer was sent or its caller has disconnected.
    void closed(bool isCancelled);

private:
    void onDisconnected();
    void beginWork();
    void onTick();
    void complete();
    void answer();
    void answerPlain();
    void answerStream();
    void end(bool isCancelled);
    QByteArray answeredId() const;
    int tokensDue() const;

    call_request m_request;
    QPointer<QTcpSocket> m_socket;
    call_speed m_speed;
    header_list m_headers;
    qint64 m_number = 0;
    QTimer m_timer;
    QElapsedTimer m_generationTimer;
    QByteArray m_text; ///< generated so far
    int m_tokens = 0;
    bool m_isRunning = false;
    bool m_isClosed = false;
    QJsonObject m_result;
};

} // namespace masticlever::fakes
