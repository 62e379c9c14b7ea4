#include "fake-call.h"

#include "generation.h"

#include <QJsonDocument>

#include <algorithm>
#include <map>
#include <utility>

namespace masticlever::fakes
{

namespace
{

constexpr int tickMs = 5;
constexpr double msPerSecond = 1000;

QByteArray serverSentEvent(const QByteArray &name, const QJsonObject &data)
{
    return "event: " + name + "\ndata: " + QJsonDocument(data).toJson(QJsonDocument::Compact) + "\n\n";
}

} // namespace

fault_mode parseFaultMode(const QString &name)
{
    static const std::map<QString, fault_mode> modes{
        {QStringLiteral("slow"), fault_mode::slow},
        {QStringLiteral("cut"), fault_mode::cut},
        {QStringLiteral("wrong_id"), fault_mode::wrong_id},
        {QStringLiteral("double"), fault_mode::duplicate_answer},
        {QStringLiteral("never"), fault_mode::never},
        {QStringLiteral("late"), fault_mode::late},
        {QStringLiteral("error"), fault_mode::error},
        {QStringLiteral("refuse"), fault_mode::refuse},
        {QStringLiteral("close_after_read"), fault_mode::close_after_read},
    };
    const auto found = modes.find(name);
    return found == modes.end() ? fault_mode::none : found->second;
}

fake_call::fake_call(call_request request, QTcpSocket *socket, QObject *parent)
    : QObject(parent), m_request(std::move(request)), m_socket(socket)
{
    connect(socket, &QTcpSocket::disconnected, this, &fake_call::onDisconnected);
    m_timer.setTimerType(Qt::PreciseTimer);
}

void fake_call::start(call_speed speed, const header_list &headers, qint64 number)
{
    m_isRunning = true;
    m_speed = speed;
    m_headers = headers;
    m_headers.emplaceBack("Masticlever-Call-Id", answeredId());
    m_number = number;
    if (m_request.injectedFault.mode == fault_mode::never) {
        return;
    }
    const bool isSlow = m_request.injectedFault.mode == fault_mode::slow;
    const int delayMs = speed.prefillMs + (isSlow ? m_request.injectedFault.delayMs : 0);
    QTimer::singleShot(delayMs, Qt::PreciseTimer, this, &fake_call::beginWork);
}

void fake_call::beginWork()
{
    if (m_speed.tokensPerSecond <= 0) {
        complete();
        return;
    }
    if (m_request.isStream) {
        header_list headers = m_headers;
        headers.emplaceBack("Content-Type", "text/event-stream");
        beginChunked(m_socket, headers);
    }
    m_generationTimer.start();
    connect(&m_timer, &QTimer::timeout, this, &fake_call::onTick);
    m_timer.start(tickMs);
}

int fake_call::tokensDue() const
{
    const double generated = static_cast<double>(m_generationTimer.elapsed()) * m_speed.tokensPerSecond / msPerSecond;
    return std::min(tokenCount(m_request.request), static_cast<int>(generated) + 1);
}

void fake_call::onTick()
{
    const bool isTruncated = m_request.injectedFault.mode == fault_mode::cut && m_request.isStream;
    for (const int dueTokens = tokensDue(); m_tokens < dueTokens; ++m_tokens) {
        if (isTruncated && m_tokens >= m_request.injectedFault.tokens) {
            close(m_socket);
            return;
        }
        const QByteArray next = token(m_request.request, m_tokens);
        m_text += next;
        if (m_request.isStream) {
            writeChunk(m_socket, serverSentEvent("token", {{QStringLiteral("text"), QString::fromUtf8(next)}}));
        }
    }
    if (m_tokens == tokenCount(m_request.request)) {
        m_timer.stop();
        complete();
    }
}

void fake_call::complete()
{
    m_result = {
        {QStringLiteral("stage"), m_request.stage},
        {QStringLiteral("echo"), QString::fromLatin1(requestDigest(m_request.request))},
        {QStringLiteral("prompt_digest"), QString::fromLatin1(promptDigest(m_request.request))},
        {QStringLiteral("key"), QString::fromLatin1(m_request.idempotencyKey)},
        {QStringLiteral("n"), m_number},
    };
    if (m_speed.tokensPerSecond > 0) {
        m_result[u"text"] = QString::fromUtf8(m_text);
    }
    Q_EMIT finished();
    if (m_request.injectedFault.mode == fault_mode::late) {
        QTimer::singleShot(m_request.injectedFault.delayMs, this, &fake_call::answer);
    } else {
        answer();
    }
}

void fake_call::answer()
{
    if (m_isClosed) {
        return;
    }
    if (m_request.isStream && m_speed.tokensPerSecond > 0) {
        answerStream();
    } else {
        answerPlain();
    }
    end(m_socket.isNull());
}

void fake_call::answerPlain()
{
    constexpr int statusError = 500;
    response plain = jsonResponse(m_result);
    plain.headers += m_headers;
    plain.headers.emplaceBack("Masticlever-Digest", sha256(plain.body));
    switch (m_request.injectedFault.mode) {
    case fault_mode::cut:
        writeTruncated(m_socket, plain);
        return;
    case fault_mode::error:
        write(m_socket, {statusError, "{}", m_headers});
        return;
    case fault_mode::duplicate_answer:
        write(m_socket, plain);
        write(m_socket, plain);
        return;
    default:
        write(m_socket, plain);
    }
}

void fake_call::answerStream()
{
    const QByteArray last = serverSentEvent("end",
                                            {{QStringLiteral("call_id"), QString::fromLatin1(answeredId())},
                                             {QStringLiteral("length"), m_text.size()},
                                             {QStringLiteral("digest"), QString::fromLatin1(sha256(m_text))}});
    if (m_request.injectedFault.mode == fault_mode::error) {
        close(m_socket);
        return;
    }
    writeChunk(m_socket, last);
    if (m_request.injectedFault.mode == fault_mode::duplicate_answer) {
        writeChunk(m_socket, serverSentEvent("token", {{QStringLiteral("text"), QStringLiteral("second answer")}}));
        writeChunk(m_socket, last);
    }
    endChunked(m_socket);
}

/// A call with an idempotency key continues after its caller has disconnected.
void fake_call::onDisconnected()
{
    if (m_request.idempotencyKey.isEmpty()) {
        m_timer.stop();
    }
    end(true);
}

void fake_call::end(bool isCancelled)
{
    if (!std::exchange(m_isClosed, true)) {
        Q_EMIT closed(isCancelled);
    }
}

QByteArray fake_call::answeredId() const
{
    return m_request.injectedFault.mode == fault_mode::wrong_id ? QByteArray("another-call-1") : m_request.callId;
}

} // namespace masticlever::fakes
