#include "caller-connection.h"

#include <masticlever/common/errors.h>
#include <masticlever/telemetry/events.h>

#include <utility>

namespace masticlever::frontend
{

using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr int badRequest = 400;
constexpr int requestTimeout = 408;
constexpr int contentTooLarge = 413;
constexpr int headTooLarge = 431;
constexpr int unavailable = 503;
constexpr common::duration stallTime = std::chrono::seconds(2); ///< as for bodies in net::memory_account_options
constexpr std::size_t unreadLimit = 262144; ///< bytes of answers that a caller may leave unread before its next request
constexpr std::size_t largeBody = 32768; ///< bytes from which a body gets the large receive buffer
constexpr std::size_t largeReceiveBuffer = 131072; ///< lets a body arrive in fewer round trips
constexpr std::size_t kernelFactor = 2; ///< memory that the kernel takes for a receive buffer, relative to its size
constexpr std::size_t pipelineLimit = 262144; ///< bytes that a caller may pipeline before an answer
constexpr net::socket_options callerSocket{std::chrono::milliseconds(20000), std::chrono::seconds(5)};

http1::reader_limits readerLimits(const catalog::caller_limits &limits)
{
    return {limits.headBytes, limits.bodyBytes};
}

} // namespace

caller_connection::caller_connection(int descriptor, const catalog::caller_limits &limits, request_handler &handler,
                                     common::instant now)
    : m_socket(net::stream_socket::adopt(descriptor, callerSocket, *this)),
      m_reader(http1::message_kind::request, readerLimits(limits), *this), m_limits(limits), m_handler(handler),
      m_now(now), m_lastProgressAt(now)
{ }

caller_connection::~caller_connection() = default;

void caller_connection::onBytes(std::string_view bytes)
{
    if (m_isFinished) {
        return;
    }
    m_lastProgressAt = m_now;
    handleReadResult(m_reader.feed(bytes));
    limitReading();
    if (!m_isGone) {
        m_handler.onCallerRead(*this);
    }
}

void caller_connection::limitReading()
{
    if (!m_isFinished && (m_reader.pendingBytes() > pipelineLimit || m_isAwaitingDrain)) {
        m_socket->setReading(false);
    }
}

void caller_connection::enlargeReceiveBuffer()
{
    if (!m_hasLargeReceiveBuffer && m_handler.mayReceiveAhead(kernelFactor * largeReceiveBuffer)) {
        m_hasLargeReceiveBuffer = true;
        m_socket->setReceiveBuffer(largeReceiveBuffer);
    }
}

/// Until the caller has read the answer and closes, the kernel may hold as much as before.
void caller_connection::restoreReceiveBuffer()
{
    if (m_hasLargeReceiveBuffer) {
        m_socket->setReceiveBuffer(idleReceiveBuffer);
    }
}

void caller_connection::onDrained()
{
    m_handler.onCallerDrained(*this);
    if (std::exchange(m_isAwaitingDrain, false)) {
        finishExchange();
    }
}

net::memory_use caller_connection::memoryUse() const
{
    if (m_isGone) {
        return {};
    }
    const std::size_t receiveBuffer = m_hasLargeReceiveBuffer ? kernelFactor * largeReceiveBuffer : 0;
    const std::size_t spare
        = m_reader.allocatedBytes() - m_reader.pendingBytes() + m_socket->allocatedBytes() - unsentBytes();
    if (m_isFinished) {
        // Nothing more arrives of a request that has been read whole.
        return {.receiveBuffer = m_reader.isEnded() ? 0 : receiveBuffer,
                .readAhead = m_reader.pendingBytes(),
                .unsent = unsentBytes(),
                .spare = spare,
                .isClosing = isAwaitingClose()};
    }
    const bool isReadingBody = m_reader.hasHead() && !m_reader.isEnded();
    return {.declaredBody = m_declaredBody,
            .receivedBody = m_receivedBody,
            .receiveBuffer = receiveBuffer,
            .readAhead = m_reader.pendingBytes(),
            .unsent = unsentBytes(),
            .spare = spare,
            .isReadingBody = isReadingBody};
}

net::connection_activity caller_connection::activity(common::instant now) const
{
    if (isAwaitingClose()) {
        return net::connection_activity::closing;
    }
    if (!m_hasRequested) {
        return net::connection_activity::unused;
    }
    if (!m_isBusy && !m_isFinished) {
        return net::connection_activity::idle;
    }
    const bool isRequestIncomplete = !m_isFinished && m_progress != answer_progress::ended && !m_reader.isEnded();
    const bool isAnswerUnread = unsentBytes() > 0 && unsentBytes() == m_lastUnsent;
    const bool isStalled = (isRequestIncomplete || isAnswerUnread) && now - m_lastProgressAt > stallTime;
    return isStalled ? net::connection_activity::stalled : net::connection_activity::active;
}

void caller_connection::closeNow()
{
    if (m_isGone) {
        return;
    }
    if (m_isBusy && !isAwaitingClose()) {
        dropRequest();
        return;
    }
    m_isFinished = true;
    m_isGone = true;
    m_socket->closeNow();
}

void caller_connection::shed()
{
    if (m_isGone) {
        return;
    }
    const bool isReading = m_isBusy && m_progress == answer_progress::none && !m_reader.isEnded();
    if (isReading && unsentBytes() == 0 && !m_isFinished) {
        reject(unavailable);
    } else {
        dropRequest();
    }
}

void caller_connection::handleReadResult(std::error_code failure)
{
    if (!failure || m_isFinished) {
        return;
    }
    if (failure == common::error::too_large) {
        reject(m_reader.isBodyTooLarge() ? contentTooLarge : headTooLarge);
    } else {
        reject(badRequest);
    }
}

/// Answers an invalid request with \p status and closes the connection, as the bytes after it cannot be parsed
/// reliably.
void caller_connection::reject(int status)
{
    m_handler.onBadRequest(status);
    m_isFinished = true;
    restoreReceiveBuffer();
    if (m_progress == answer_progress::begun) {
        dropRequest();
        return;
    }
    if (m_progress == answer_progress::ended || m_isGone) {
        m_socket->closeWhenSent();
        return;
    }
    if (session != 0) {
        m_handler.onCallerGone(*this);
    }
    http1::message_head head;
    head.status = status;
    m_isBusy = true;
    m_keepsAlive = false;
    beginAnswer(std::move(head), 0);
    endAnswer();
}

void caller_connection::onHead(http1::message_head head)
{
    m_isBusy = true;
    m_hasRequested = true;
    m_declaredBody = static_cast<std::size_t>(head.length);
    m_receivedBody = 0;
    m_progress = answer_progress::none;
    m_keepsAlive = head.keepAlive;
    m_isVersion11 = head.isVersion11;
    m_isHead = head.method == "HEAD";
    const std::string *expectation = head.find("Expect");
    if (expectation != nullptr && http1::equalNames(*expectation, "100-continue")) {
        m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (m_declaredBody > largeBody) {
        enlargeReceiveBuffer();
    }
    m_handler.onRequestHead(*this, std::move(head));
}

void caller_connection::onBody(std::string_view bytes)
{
    m_receivedBody += bytes.size();
    if (m_receivedBody > largeBody) {
        enlargeReceiveBuffer();
    }
    m_handler.onRequestBody(*this, bytes);
}

void caller_connection::onEnd()
{
    m_handler.onRequestEnd(*this);
    finishExchange();
}

bool caller_connection::beginAnswer(http1::message_head head, std::optional<std::uint64_t> length)
{
    if (m_progress != answer_progress::none) {
        logEvent(event::second_answer_prevented, {{"status", std::int64_t{head.status}}});
        dropRequest();
        return false;
    }
    m_progress = answer_progress::begun;
    m_isChunked = !length && m_isVersion11;
    if (!m_reader.isEnded() || m_isClosing || (!length && !m_isVersion11)) {
        m_keepsAlive = false; // the unread rest of a body would be parsed as the next request
    }
    if (length) {
        head.fields.push_back({"Content-Length", std::to_string(*length)});
    } else if (m_isChunked) {
        head.fields.push_back({"Transfer-Encoding", "chunked"});
    }
    if (!m_keepsAlive) {
        head.fields.push_back({"Connection", "close"});
    }
    m_socket->write(http1::answerText(head));
    return true;
}

void caller_connection::sendBody(std::string_view bytes)
{
    if (m_isHead || m_progress != answer_progress::begun) {
        return;
    }
    if (m_isChunked) {
        m_socket->write(http1::chunkText(bytes));
    } else {
        m_socket->write(bytes);
    }
}

void caller_connection::endAnswer()
{
    if (m_progress != answer_progress::begun) {
        return;
    }
    if (m_isChunked && !m_isHead) {
        m_socket->write(http1::lastChunk);
    }
    m_progress = answer_progress::ended;
    session = 0;
    finishExchange();
}

void caller_connection::finishExchange()
{
    if (m_progress != answer_progress::ended || m_isGone) {
        return;
    }
    if (!m_keepsAlive || m_isClosing) {
        m_isFinished = true;
        restoreReceiveBuffer();
        m_socket->setReading(true);
        m_socket->closeWhenSent();
        return;
    }
    m_declaredBody = 0;
    m_receivedBody = 0;
    restoreReceiveBuffer();
    m_hasLargeReceiveBuffer = false;
    if (m_isAdvancing) {
        return; // continued by the loop below; a recursion for each request read ahead would exhaust the stack
    }
    m_isAdvancing = true;
    while (isNextReady()) {
        if (unsentBytes() > unreadLimit) {
            m_isAwaitingDrain = true;
            break;
        }
        m_isBusy = false;
        m_progress = answer_progress::none;
        m_lastProgressAt = m_now;
        m_socket->setReading(true);
        handleReadResult(m_reader.next());
    }
    m_isAdvancing = false;
    limitReading();
}

/// Whether the exchange in flight has ended and the connection continues with another one.
bool caller_connection::isNextReady() const
{
    return m_progress == answer_progress::ended && m_reader.isEnded() && !m_isGone && !m_isFinished;
}

/// Aborts the connection if the caller has not read any of its answers for the idle timeout.
void caller_connection::checkUnread(common::instant now)
{
    if (m_lastUnsent != unsentBytes()) {
        m_lastUnsent = unsentBytes();
        m_lastProgressAt = now;
    }
    if (m_isAwaitingDrain && now - m_lastProgressAt > m_limits.idleTimeout) {
        m_handler.onUnreadAnswers(*this);
        dropRequest();
    }
}

/// Aborts the connection and tells the request in flight.
void caller_connection::dropRequest()
{
    if (session != 0) {
        m_handler.onCallerGone(*this);
    }
    abortAnswer();
}

void caller_connection::abortAnswer()
{
    session = 0;
    m_progress = answer_progress::ended;
    m_isFinished = true;
    m_isGone = true;
    m_socket->abort();
}

void caller_connection::closeIfIdle()
{
    if (isIdle() && !m_isFinished) {
        m_isFinished = true;
        m_socket->closeWhenSent();
    }
}

void caller_connection::onTick(common::instant now)
{
    m_now = now;
    if (m_isGone) {
        return;
    }
    checkUnread(now);
    if (m_isFinished || m_isGone) {
        return;
    }
    if (isIdle()) {
        if (now - m_lastProgressAt > m_limits.idleTimeout) {
            closeIfIdle();
        }
        return;
    }
    const bool isReadingHead = !m_reader.hasHead();
    const bool isReadingBody = m_reader.hasHead() && !m_reader.isEnded() && m_progress != answer_progress::ended;
    const common::duration limit = isReadingHead ? m_limits.headTimeout : m_limits.idleTimeout;
    if ((isReadingHead || isReadingBody) && now - m_lastProgressAt > limit) {
        reject(requestTimeout);
    }
}

void caller_connection::onClosed(net::close_reason /*reason*/)
{
    m_isGone = true;
    m_isFinished = true;
    if (session != 0) {
        m_handler.onCallerGone(*this);
    }
}

} // namespace masticlever::frontend
