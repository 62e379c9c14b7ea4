#include "piece-call.h"

#include "frontend-context.h"

#include <masticlever/telemetry/events.h>

#include <utility>

namespace masticlever::frontend
{

using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr int statusOk = 200;
constexpr int statusMisdirected = 421;

} // namespace

piece_call::piece_call(const endpoint_access &access, done_handler done)
    : m_access(access), m_bodyBudget(access.budget, {}), m_done(std::move(done))
{ }

piece_call::~piece_call()
{
    if (m_connection != nullptr) {
        m_connection->abandon();
        m_access.pool.release(m_connection, std::nullopt, monotonicNow());
    }
}

bool piece_call::start(const std::string &endpointId, const std::string &address, http1::message_head head,
                       std::string_view body)
{
    m_endpointId = endpointId;
    m_address = address;
    m_bodyBudget.restart(address);
    m_sentAt = monotonicNow();
    m_connection = m_access.pool.acquire(endpointId, address, forwarding::sender_role::only, m_sentAt);
    if (m_connection == nullptr) {
        return false;
    }
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
    m_connection->start(http1::requestText(head), body, false, *this);
    return true;
}

bool piece_call::onHead(const http1::message_head &head)
{
    m_attributes = m_access.protocol.readAnswer(head);
    m_status = head.status;
    const common::instant now = monotonicNow();
    if (m_endpointId == m_address) {
        m_access.reports.onAnswerFrom(m_address, m_status, m_attributes, m_sentAt, now);
    } else {
        m_access.reports.onAnswer(m_endpointId, m_status, m_attributes, m_sentAt, now);
    }
    return true;
}

void piece_call::onBody(std::string_view bytes)
{
    m_body += bytes;
    const bool isDiscarded = m_status != statusOk && m_body.size() > maximumDiscardedBytes;
    if (!isDiscarded && m_bodyBudget.resize(m_body.size())) {
        return;
    }
    logEvent(event::received_too_much,
             {{"from", std::string_view(m_endpointId)}, {"bytes", static_cast<std::uint64_t>(m_body.size())}});
    m_connection->abandon();
    finish(isDiscarded ? outcomeFromHead() : outcome::lost);
}

piece_call::outcome piece_call::outcomeFromHead() const
{
    if (m_status == statusMisdirected) {
        return outcome::misdirected;
    }
    return m_attributes.isNotExecuted ? outcome::rejected : outcome::lost;
}

void piece_call::onEnd()
{
    if (m_status != statusOk) {
        // Answers name no call. If this one repeats an earlier rejection, the right one would be read for the next
        // call.
        m_connection->abandon();
    }
    finish(m_status == statusOk ? outcome::answered : outcomeFromHead());
}

void piece_call::onFailure(http1::exchange_failure failure)
{
    if (failure == http1::exchange_failure::invalid_status) {
        logEvent(
            event::invalid_status,
            {{"from", std::string_view(m_endpointId)}, {"line", std::string_view(m_connection->invalidStatusLine())}});
    }
    finish(outcome::lost);
}

void piece_call::expire()
{
    if (m_connection != nullptr) {
        m_connection->abandon();
        finish(outcome::lost);
    }
}

void piece_call::finish(outcome result)
{
    m_access.pool.release(std::exchange(m_connection, nullptr), m_attributes.idleLimit, monotonicNow());
    m_done(result, m_body);
}

} // namespace masticlever::frontend
