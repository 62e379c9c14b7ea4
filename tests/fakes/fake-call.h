#pragma once

#include "http-server.h"

#include <QElapsedTimer>
#include <QObject>
#include <QString>
#include <QTimer>

/// \file
/// One call at the fake endpoint, from its arrival to its answer.

namespace masticlever::fakes
{

enum class fault_mode { none, slow, cut, wrong_id, is_double, close_after_read, never, late, error, refuse };

fault_mode parseFaultMode(const QString &name);

struct fault {
    fault_mode mode = fault_mode::none;
    int delayMs = 2'000; ///< of slow and late
    int tokens = 3; ///< that are sent before a cut
};

/// What arrived.
struct call_request {
    QString stage;
    QJsonObject request; ///< the caller's JSON body
    QByteArray callId;
    QByteArray idempotencyKey; ///< empty: the stage is repeatable
    int priority = 0;
    bool isStream = false;
    fault injected;
};

struct call_speed {
    double tokensPerSecond = 0; ///< 0: the stage generates no tokens
    int prefillMs = 0;
};

/// Started by the endpoint when a slot is free; a caller that hangs up cancels a repeatable call.
class fake_call final : public QObject
{
    Q_OBJECT

public:
    fake_call(call_request request, QTcpSocket *socket, QObject *parent);

    const call_request &request() const { return m_request; }
    bool isRunning() const { return m_isRunning; }
    bool isClosed() const { return m_isClosed; }

    /// \p headers go out with every answer; \p number is the running number of the endpoint's calls.
    void start(call_speed speed, const header_list &headers, qint64 number);
    /// Result of a call that ran to its end.
    const QJsonObject &result() const { return m_result; }

Q_SIGNALS:
    /// The work is done; the answer may go out later.
    void finished();
    /// The answer is out, or the caller has gone: the call is no longer in flight.
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
    QElapsedTimer m_generating;
    QByteArray m_text; ///< generated until now
    int m_tokens = 0;
    bool m_isRunning = false;
    bool m_isClosed = false;
    QJsonObject m_result;
};

} // namespace masticlever::fakes
