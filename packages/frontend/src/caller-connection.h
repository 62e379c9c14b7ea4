#pragma once

#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>
#include <masticlever/http1/message-reader.h>
#include <masticlever/net/connection-limit.h>
#include <masticlever/net/memory-account.h>
#include <masticlever/net/stream-socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// A caller's HTTP/1 connection: reads requests one after the other and writes their answers.

namespace masticlever::frontend
{

class caller_connection;

/// Handles the requests of a connection.
class request_handler
{
public:
    virtual ~request_handler() = default;
    virtual void onRequestHead(caller_connection &caller, http1::message_head head) = 0;
    virtual void onRequestBody(caller_connection &caller, std::string_view bytes) = 0;
    virtual void onRequestEnd(caller_connection &caller) = 0;
    /// The caller has disconnected; the connection must not be used any more.
    virtual void onCallerGone(caller_connection &caller) = 0;
    virtual void onCallerDrained(caller_connection &caller) = 0;
    /// A malformed, oversized or timed out request was rejected with \p status.
    virtual void onBadRequest(int status) = 0;
    /// Bytes were read, so that the connection may hold more than before.
    virtual void onCallerRead(caller_connection & /*caller*/) { }
    /// Whether the kernel may receive \p bytes more ahead of the body that the caller is sending.
    virtual bool mayReceiveAhead(std::size_t /*bytes*/) { return true; }
    /// The connection was aborted because the caller did not read its answers.
    virtual void onUnreadAnswers(const caller_connection & /*caller*/) { }
};

class caller_connection final : private net::socket_handler, private http1::message_sink
{
public:
    /// Receive buffer of a connection without a large body, for a listener: enough for a head and a short body.
    static constexpr std::size_t idleReceiveBuffer = 16384;

    caller_connection(int descriptor, const catalog::caller_limits &limits, request_handler &handler,
                      common::instant now);
    ~caller_connection() override;
    caller_connection(const caller_connection &) = delete;
    caller_connection &operator=(const caller_connection &) = delete;

    /// Begins the answer to the request in flight. Without \p length the body is sent chunked, or until the connection
    /// is closed for an HTTP/1.0 caller. If that request already has an answer, nothing is written, the connection is
    /// aborted and false is returned.
    bool beginAnswer(http1::message_head head, std::optional<std::uint64_t> length);
    void sendBody(std::string_view bytes);
    void endAnswer();
    /// Aborts the connection in the middle of the answer, so that it cannot be taken for a complete one.
    void abortAnswer();

    /// Closes the connection at once, with an abort if a request is in flight.
    void closeNow();
    /// Closes the connection after the next answer.
    void closeAfterAnswer() { m_isClosing = true; }
    /// Closes the connection if no request is in flight.
    void closeIfIdle();
    void onTick(common::instant now);
    /// Ends the request in flight and the connection: with 503 if the body has not been read in full, so that the
    /// request has not been executed, and by an abort otherwise. A connection that is being closed is aborted.
    void shed();
    net::memory_use memoryUse() const;

    bool isGone() const { return m_isGone; }
    /// Whether the caller has closed the connection. Also true when the close has arrived but has not been processed
    /// yet, as on an overloaded instance.
    bool hasCallerDisconnected() const { return m_isGone || m_socket->hasPeerClosed(); }
    bool isIdle() const { return !m_isBusy && m_reader.isUntouched(); }
    /// What the connection waits for, for the choice of the one to close when there are too many.
    net::connection_activity activity(common::instant now) const;
    /// When the caller last sent something or read of what is unsent, to the accuracy of a tick.
    common::instant lastProgressAt() const { return m_lastProgressAt; }
    bool isClosingAfterAnswer() const { return m_isClosing; }
    std::size_t unsentBytes() const { return m_socket->unsentBytes(); }
    std::uint64_t number = 0; ///< greater for newer connections
    std::uint32_t address = 0; ///< of the caller
    std::uint64_t session = 0; ///< number of the request in flight; 0: none

private:
    /// What the caller has of the answer to the request in flight.
    enum class answer_progress { none, begun, ended };

    void onBytes(std::string_view bytes) override;
    void onClosed(net::close_reason reason) override;
    void onDrained() override;
    void onHead(http1::message_head head) override;
    void onBody(std::string_view bytes) override;
    void onEnd() override;

    void handleReadResult(std::error_code failure);
    void reject(int status);
    void dropRequest();
    void finishExchange();
    bool isNextReady() const;
    /// Whether all is answered and sent, and only the caller's close is missing.
    bool isAwaitingClose() const { return m_isFinished && !m_isGone && unsentBytes() == 0; }
    void limitReading();
    void enlargeReceiveBuffer();
    void restoreReceiveBuffer();
    void checkUnread(common::instant now);

    net::stream_socket::pointer m_socket;
    http1::message_reader m_reader;
    catalog::caller_limits m_limits;
    request_handler &m_handler;
    common::instant m_now; ///< time of the last tick
    common::instant m_lastProgressAt;
    std::size_t m_declaredBody = 0; ///< stated length of the body of the request in flight
    std::size_t m_receivedBody = 0; ///< of the request in flight
    std::size_t m_lastUnsent = 0; ///< at the last tick
    bool m_hasLargeReceiveBuffer = false;
    bool m_hasRequested = false;
    bool m_isAwaitingDrain = false; ///< the next request is begun when the caller has read the answers
    bool m_isAdvancing = false; ///< the requests that were read ahead are being processed
    bool m_isBusy = false; ///< a request is being read or answered
    answer_progress m_progress = answer_progress::none;
    bool m_isChunked = false;
    bool m_isClosing = false;
    bool m_isFinished = false; ///< no more requests are read
    bool m_isGone = false;
    bool m_keepsAlive = true;
    bool m_isVersion11 = true;
    bool m_isHead = false;
};

} // namespace masticlever::frontend
