#include "request-session.h"

#include <masticlever/telemetry/events.h>

#include <utility>

/// \file
/// How an endpoint's answer to a request is taken: what its head proves, its body or events, and its end.

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

constexpr int firstFailureStatus = 500;
constexpr int conflict = 409;
constexpr int misdirected = 421;
constexpr std::size_t maximumEventBytes = std::size_t{1} << 20; ///< of one event of a stream
constexpr std::size_t slowReaderBytes = 262144; ///< unsent to a caller before the endpoint is no longer read

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
    case call_end::broken:
        break;
    }
    return "broken";
}

} // namespace

void request_session::dropCall(call_outcome outcome)
{
    if (m_connection == nullptr) {
        return;
    }
    endpoint_pool::connection *used = std::exchange(m_connection, nullptr);
    used->abandon();
    const instant now = presentInstant();
    m_context.pool.release(used, std::nullopt, now);
    m_context.choice.onCallEnds(m_endpointId, outcome, now);
}

/// The call gave no answer for the caller; the flow decides what follows.
void request_session::endCall(call_end end, call_outcome outcome)
{
    const instant now = presentInstant();
    if (m_connection != nullptr) {
        m_context.pool.release(std::exchange(m_connection, nullptr), m_answerAttributes.idleLimit, now);
        m_context.choice.onCallEnds(m_endpointId, outcome, now);
    }
    m_context.metrics.counterOf(callsFamily, {{"outcome", nameOf(end)}}).add();
    logEvent(event::call_failed,
             {{"request", std::string_view(m_request.attributes.requestId)},
              {"endpoint", std::string_view(m_endpointId)},
              {"end", nameOf(end)},
              {"status", std::int64_t{m_answer.status}},
              {"call_ms", toMilliseconds(now - m_sentAt)},
              {"attempt", static_cast<std::uint64_t>(m_flow.attempts())}});
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
    m_context.reports.onAnswer(m_endpointId, head.status, attributes, presentInstant());
    if (attributes.requestId && *attributes.requestId != m_request.attributes.requestId) {
        logEvent(event::foreign_answer,
                 {{"request", std::string_view(m_request.attributes.requestId)},
                  {"endpoint", std::string_view(m_endpointId)}});
        return false;
    }
    m_answer = head;
    m_answerAttributes = attributes;
    const bool isWhole = attributes.requestId.has_value() && (attributes.hasSignature || !isSuccess(head.status));
    if (attributes.provesNotRun) {
        m_use = answer_use::discard;
        m_verdict = head.status == misdirected ? call_end::misdirected
            : head.status == conflict          ? call_end::input_gone
                                               : call_end::rejected;
    } else if (!isWhole) {
        m_use = answer_use::discard;
        m_verdict = call_end::broken;
    } else {
        const std::string *type = head.find("Content-Type");
        m_isEventStream = isSuccess(head.status) && type != nullptr && type->starts_with("text/event-stream");
        m_use = m_isEventStream ? answer_use::pass_on : answer_use::buffer;
    }
    return true;
}

void request_session::onBody(std::string_view bytes)
{
    if (isTooMuch(bytes)) {
        cutOff();
    } else if (m_use == answer_use::pass_on) {
        passEvents(bytes);
    } else if (m_use == answer_use::buffer) {
        m_buffered += bytes;
    }
}

/// Whether \p bytes of the answer are more than may be kept of it, or than it is worth to read on.
bool request_session::isTooMuch(std::string_view bytes)
{
    switch (m_use) {
    case answer_use::pass_on:
        return m_events.pendingBytes() + bytes.size() > maximumEventBytes
            || !m_received.resize(m_events.pendingBytes());
    case answer_use::buffer:
        return !m_received.resize(m_buffered.size() + bytes.size());
    case answer_use::none:
    case answer_use::discard:
        break;
    }
    m_discarded += bytes.size();
    return m_discarded > maximumUnusedBytes;
}

/// Ends a call whose answer does not stop.
void request_session::cutOff()
{
    logEvent(event::received_too_much,
             {{"from", std::string_view(m_endpointId)},
              {"request", std::string_view(m_request.attributes.requestId)},
              {"bytes", static_cast<std::uint64_t>(m_buffered.size() + m_events.pendingBytes() + m_discarded)}});
    m_connection->abandon();
    if (m_use == answer_use::discard && m_verdict != call_end::broken) {
        endCall(m_verdict, rejectionOutcome());
    } else {
        endCall(call_end::broken, call_outcome::failed);
    }
}

/// An endpoint that named a time when it was full is not to be held for a failing one.
call_outcome request_session::rejectionOutcome() const
{
    return m_answerAttributes.quietFor ? call_outcome::postponed : call_outcome::rejected;
}

void request_session::beginStream()
{
    if (m_isHeadPassed || m_caller == nullptr) {
        return;
    }
    m_isHeadPassed = true;
    m_flow.onAnswerBegins();
    noteFirstAnswer(presentInstant());
    m_caller->beginAnswer(m_context.protocol.returned(m_answer), std::nullopt);
}

void request_session::passEvents(std::string_view bytes)
{
    std::string whole;
    apply(m_flow.onProgress());
    for (const forwarding::whole_event &entry : m_events.feed(bytes)) {
        if (entry.id && m_flow.resumeAfter() && *entry.id <= *m_flow.resumeAfter()) {
            continue; // a resumed stream may begin with what the caller has
        }
        whole += entry.bytes;
        if (entry.id) {
            m_flow.onEventPassed(*entry.id);
        }
    }
    if (whole.empty() || m_caller == nullptr) {
        return;
    }
    beginStream();
    m_caller->sendBody(whole);
    if (m_caller->unsentBytes() > slowReaderBytes) {
        m_connection->setReading(false);
    }
}

void request_session::onEnd()
{
    if (m_use == answer_use::discard) {
        endCall(m_verdict, m_verdict == call_end::broken ? call_outcome::failed : rejectionOutcome());
        return;
    }
    if (m_isEventStream && m_events.pendingBytes() > 0) {
        endCall(call_end::broken, call_outcome::failed);
        return;
    }
    if (m_answer.status >= firstFailureStatus) {
        endCall(call_end::failure_answer, call_outcome::failed);
        return;
    }
    const instant now = presentInstant();
    m_context.pool.release(std::exchange(m_connection, nullptr), m_answerAttributes.idleLimit, now);
    m_context.choice.onCallEnds(m_endpointId, call_outcome::answered, now);
    m_context.metrics.counterOf(callsFamily, {{"outcome", "answered"}}).add();
    if (m_isEventStream) {
        beginStream();
        if (m_caller != nullptr) {
            m_caller->endAnswer();
        }
    } else {
        noteFirstAnswer(now);
        answerWhole();
    }
    m_caller = nullptr;
    apply(m_flow.onAnswerEnds());
    finish("answered", m_answer.status, "");
}

void request_session::onFailure(http1::exchange_failure failure)
{
    m_answer.status = failure == http1::exchange_failure::garbled ? -1 : 0;
    if (m_use == answer_use::discard && m_verdict != call_end::broken) {
        endCall(m_verdict, rejectionOutcome()); // the head is proof enough
    } else if (failure == http1::exchange_failure::not_connected) {
        endCall(call_end::not_sent, call_outcome::unreachable);
    } else {
        endCall(call_end::broken, call_outcome::failed);
    }
}

} // namespace masticlever::frontend
