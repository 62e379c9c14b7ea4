#include "request-session.h"

#include <masticlever/forwarding/answer-owner.h>
#include <masticlever/forwarding/shared-parts.h>
#include <masticlever/telemetry/events.h>

#include <utility>

/// \file
/// Handling of an endpoint's answer to a request: its head, its body or events, and its end.

namespace masticlever::frontend
{

using common::instant;
using common::toMilliseconds;
using forwarding::call_end;
using forwarding::call_outcome;
using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr int firstServerErrorStatus = 500;
constexpr int statusConflict = 409;
constexpr int statusMisdirected = 421;
constexpr std::size_t maximumEventBytes = std::size_t{1} << 20; ///< of one event in a stream
/// An answer that has lasted this long since its first byte was not cut off by a crash at its begin.
constexpr common::duration settlingTime = std::chrono::milliseconds(500);
constexpr std::size_t slowReaderBytes = 262144; ///< unsent to the caller before reading from the endpoint is paused

const telemetry::metric_family callsFamily{"masticlever_frontend_calls_total", "Calls to endpoints by outcome."};

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

std::string_view nameOf(call_end end)
{
    switch (end) {
    case call_end::not_sent:
        return "not_sent";
    case call_end::rejected:
        return "rejected";
    case call_end::misdirected:
        return "misdirected";
    case call_end::input_gone:
        return "input_gone";
    case call_end::failure_answer:
        return "failure_answer";
    case call_end::unproven_refusal:
        return "unproven_refusal";
    case call_end::broken:
        break;
    }
    return "broken";
}

routing::own_outcome loadOutcome(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::answered:
        return routing::own_outcome::answered;
    case call_outcome::failed:
    case call_outcome::unreachable:
        return routing::own_outcome::failed;
    case call_outcome::rejected:
    case call_outcome::rejected_with_delay:
        break;
    }
    return routing::own_outcome::neither;
}

} // namespace

void request_session::abandonCall(call_outcome outcome)
{
    if (m_connection == nullptr) {
        return;
    }
    endpoint_pool::connection *used = std::exchange(m_connection, nullptr);
    used->abandon();
    const instant now = monotonicNow();
    m_context.pool.release(used, std::nullopt, now);
    m_context.choice.onCallEnds(m_endpointId, outcome, now, m_callTokens);
    m_context.load.onCallEnds(m_sharedCall, routing::own_outcome::neither);
}

/// The body of an authentic answer has arrived in part.
void request_session::onProgress(instant now)
{
    if (!m_firstBodyAt) {
        m_firstBodyAt = now;
        m_context.choice.onCallAnswers(m_endpointId, m_callTokens);
        m_context.load.onFirstAnswer(m_sharedCall, m_isEventStream ? std::optional(now - m_sentAt) : std::nullopt);
    }
    if (!m_isAnswerSettled && now - *m_firstBodyAt >= settlingTime) {
        m_isAnswerSettled = true;
        m_context.promptFaults.onAnswered(m_sharedParts, now);
    }
}

/// The call was cut off. If its answer had not settled, the request may have crashed the endpoint.
void request_session::reportInterruption(instant now)
{
    const catalog::endpoint_record *endpoint = m_context.directory.findUsable(m_endpointId);
    if (endpoint != nullptr && !m_isAnswerSettled) {
        m_context.crashes.onInterrupted(endpoint->id, endpoint->startedAtMs, endpoint->address,
                                        {m_request.attributes.requestId, m_sharedParts, m_sentAt, now});
    }
}

/// Ends a call without an answer for the caller. The flow decides whether to retry.
void request_session::endCall(call_end end, call_outcome outcome)
{
    const instant now = monotonicNow();
    if (m_connection != nullptr) {
        m_context.pool.release(std::exchange(m_connection, nullptr), m_answerAttributes.idleLimit, now);
        m_context.choice.onCallEnds(m_endpointId, outcome, now, m_callTokens);
        m_context.load.onCallEnds(m_sharedCall, loadOutcome(outcome));
    }
    if (end == call_end::broken) {
        reportInterruption(now);
    }
    m_context.metrics.counterOf(callsFamily, {{"outcome", nameOf(end)}}).add();
    const std::string parts = forwarding::formatParts(m_sharedParts);
    logEvent(event::call_failed,
             {{"request", std::string_view(m_request.attributes.requestId)},
              {"endpoint", std::string_view(m_endpointId)},
              {"end", nameOf(end)},
              {"status", std::int64_t{m_answer.status}},
              {"call_ms", toMilliseconds(now - m_sentAt)},
              {"attempt", static_cast<std::uint64_t>(m_flow.attempts())},
              {"answer",
               m_isAnswerSettled   ? "settled"
                   : m_firstBodyAt ? "begun"
                                   : "none"},
              {"parts", std::string_view(parts)}});
    if (end == call_end::misdirected) {
        m_context.reports.onMisdirected(m_endpointId, now);
    }
    if (m_flow.isEnded()) {
        finish("caller_left", 0, nameOf(end));
        return;
    }
    apply(m_flow.onCallEnds(end, now, [&] { return m_context.retries.take(m_service, now); }));
}

bool request_session::onHead(const http1::message_head &head)
{
    const protocol::answer_attributes attributes = m_context.protocol.readAnswer(head);
    const forwarding::answer_owner owner
        = forwarding::ownerOf(attributes.requestId, m_request.attributes.requestId, m_connection->isFirstExchange());
    const bool isForeign = owner == forwarding::answer_owner::other_exchange;
    m_context.reports.onAnswer(m_endpointId, head.status, attributes, isForeign ? instant::min() : m_sentAt,
                               monotonicNow());
    if (isForeign) {
        logEvent(event::foreign_answer,
                 {{"request", std::string_view(m_request.attributes.requestId)},
                  {"endpoint", std::string_view(m_endpointId)}});
        return false;
    }
    const bool isFromOther = !attributes.endpointId.empty() && attributes.endpointId != m_endpointId;
    if (m_context.promptFaults.hasCrashes() && head.status != statusMisdirected && !isFromOther) {
        const std::uint64_t startedAtMs = m_context.directory.startedAtMsOf(m_endpointId);
        m_context.promptFaults.onAlive(crash_monitor::incarnationOf(m_endpointId, startedAtMs), m_sentAt,
                                       monotonicNow());
    }
    m_answer = head;
    m_answerAttributes = attributes;
    const bool isAuthentic = attributes.requestId.has_value() && (attributes.hasSignature || !isSuccess(head.status));
    // On a connection in use, a rejection without an id may repeat the one of an earlier request.
    const bool isOwn = owner == forwarding::answer_owner::this_exchange;
    if (attributes.isNotExecuted && isOwn) {
        m_answerMode = answer_mode::discard;
        m_endIfDiscarded = head.status == statusMisdirected ? call_end::misdirected
            : head.status == statusConflict                 ? call_end::input_gone
                                                            : call_end::rejected;
    } else if (!isAuthentic) {
        m_answerMode = answer_mode::discard;
        m_endIfDiscarded = call_end::broken;
    } else if (forwarding::promisesNotRun(head.status)) {
        m_answerMode = answer_mode::discard;
        m_endIfDiscarded = call_end::unproven_refusal;
    } else {
        const std::string *type = head.find("Content-Type");
        m_isEventStream = isSuccess(head.status) && type != nullptr && type->starts_with("text/event-stream");
        m_answerMode = m_isEventStream ? answer_mode::stream : answer_mode::buffer;
        if (m_isHeadSent && !m_isEventStream) {
            m_answerMode = answer_mode::discard; // the caller has a part of a stream, which this does not continue
            m_endIfDiscarded = call_end::failure_answer;
        }
    }
    return true;
}

void request_session::onBody(std::string_view bytes)
{
    if (m_answerMode != answer_mode::discard) {
        onProgress(monotonicNow());
    }
    if (exceedsLimit(bytes)) {
        abortOversizedAnswer();
    } else if (m_answerMode == answer_mode::stream) {
        forwardEvents(bytes);
    } else if (m_answerMode == answer_mode::buffer) {
        m_bufferedAnswer += bytes;
    }
}

/// Whether \p bytes exceed what may be buffered of the answer, or read of one that is discarded.
bool request_session::exceedsLimit(std::string_view bytes)
{
    switch (m_answerMode) {
    case answer_mode::stream:
        return m_eventSplitter.pendingBytes() + bytes.size() > maximumEventBytes
            || !m_answerBudget.resize(m_eventSplitter.pendingBytes());
    case answer_mode::buffer:
        return !m_answerBudget.resize(m_bufferedAnswer.size() + bytes.size());
    case answer_mode::none:
    case answer_mode::discard:
        break;
    }
    m_discardedBytes += bytes.size();
    return m_discardedBytes > maximumDiscardedBytes;
}

/// Aborts a call whose answer exceeds the limit. An outcome that its head has proven still counts.
void request_session::abortOversizedAnswer()
{
    logEvent(
        event::received_too_much,
        {{"from", std::string_view(m_endpointId)},
         {"request", std::string_view(m_request.attributes.requestId)},
         {"bytes",
          static_cast<std::uint64_t>(m_bufferedAnswer.size() + m_eventSplitter.pendingBytes() + m_discardedBytes)}});
    m_connection->abandon();
    if (m_answerMode == answer_mode::discard && m_endIfDiscarded != call_end::broken) {
        endCall(m_endIfDiscarded, discardOutcome());
    } else {
        endCall(call_end::broken, call_outcome::failed);
    }
}

/// A rejection by an endpoint that was full and named a time to retry does not count against its health.
call_outcome request_session::discardOutcome() const
{
    if (m_endIfDiscarded == call_end::broken || m_endIfDiscarded == call_end::unproven_refusal) {
        return call_outcome::failed;
    }
    return m_answerAttributes.pauseFor ? call_outcome::rejected_with_delay : call_outcome::rejected;
}

void request_session::beginStream()
{
    if (m_isHeadSent || m_caller == nullptr) {
        return;
    }
    m_isHeadSent = true;
    m_flow.onAnswerBegins();
    recordFirstAnswer(monotonicNow());
    m_caller->beginAnswer(m_context.protocol.toCallerHead(m_answer), std::nullopt);
}

void request_session::forwardEvents(std::string_view bytes)
{
    std::string complete;
    apply(m_flow.onProgress());
    for (const forwarding::whole_event &entry : m_eventSplitter.feed(bytes)) {
        m_hasEvents = true;
        if (entry.id && m_flow.resumeAfter() && *entry.id <= *m_flow.resumeAfter()) {
            continue; // a resumed stream may repeat events that the caller already has
        }
        complete += entry.bytes;
        if (entry.id) {
            m_flow.onEventForwarded(*entry.id);
        }
    }
    if (complete.empty() || m_caller == nullptr) {
        return;
    }
    beginStream();
    m_caller->sendBody(complete);
    if (m_caller->unsentBytes() > slowReaderBytes) {
        m_connection->setReading(false);
    }
}

/// Whether a stream ended inside an event, or before the first one if nothing but its end frames it.
bool request_session::isStreamCutOff() const
{
    const bool isUnframed = m_answer.framing == http1::body_framing::until_close;
    return m_isEventStream && (m_eventSplitter.pendingBytes() > 0 || (isUnframed && !m_hasEvents));
}

void request_session::onEnd()
{
    if (m_answerMode == answer_mode::discard) {
        endCall(m_endIfDiscarded, discardOutcome());
        return;
    }
    if (isStreamCutOff()) {
        endCall(call_end::broken, call_outcome::failed);
        return;
    }
    if (m_answer.status >= firstServerErrorStatus) {
        endCall(call_end::failure_answer, call_outcome::failed);
        return;
    }
    const instant now = monotonicNow();
    const bool isProvenComplete = m_answer.framing != http1::body_framing::until_close;
    if (isProvenComplete && isSuccess(m_answer.status)) {
        m_context.promptFaults.onAnswered(m_sharedParts, now);
    }
    m_context.pool.release(std::exchange(m_connection, nullptr), m_answerAttributes.idleLimit, now);
    m_context.choice.onCallEnds(m_endpointId, call_outcome::answered, now, m_callTokens);
    m_context.load.onCallEnds(m_sharedCall, routing::own_outcome::answered);
    m_context.latencyEstimator.onAnswered(m_request.route->name, now - m_sentAt);
    m_context.metrics.counterOf(callsFamily, {{"outcome", "answered"}}).add();
    if (m_isEventStream) {
        beginStream();
        if (m_caller != nullptr) {
            m_caller->endAnswer();
        }
    } else {
        recordFirstAnswer(now);
        sendBufferedAnswer();
    }
    m_caller = nullptr;
    apply(m_flow.onAnswerEnds());
    finish("answered", m_answer.status, "");
}

void request_session::onFailure(http1::exchange_failure failure)
{
    const bool hasInvalidStatus = failure == http1::exchange_failure::invalid_status;
    if (hasInvalidStatus) {
        logEvent(event::invalid_status,
                 {{"from", std::string_view(m_endpointId)},
                  {"request", std::string_view(m_request.attributes.requestId)},
                  {"line", std::string_view(m_connection->invalidStatusLine())}});
    }
    m_answer.status = hasInvalidStatus || failure == http1::exchange_failure::garbled ? -1 : 0;
    if (m_answerMode == answer_mode::discard && m_endIfDiscarded != call_end::broken) {
        endCall(m_endIfDiscarded, discardOutcome()); // the head alone decides the outcome
    } else if (failure == http1::exchange_failure::not_connected) {
        endCall(call_end::not_sent, call_outcome::unreachable);
    } else {
        endCall(call_end::broken, call_outcome::failed);
    }
}

} // namespace masticlever::frontend
