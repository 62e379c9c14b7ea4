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

piece_call::piece_call(const endpoint_access &access, std::string id, answer_kind kind, done_handler done)
    : m_access(access), m_id(std::move(id)), m_kind(kind), m_bodyBudget(access.budget, {}), m_done(std::move(done))
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
    const protocol::answer_attributes attributes = m_access.protocol.readAnswer(head);
    m_owner = forwarding::ownerOf(attributes.requestId, m_id, m_connection->isFirstExchange());
    const bool isForeign = m_owner == forwarding::answer_owner::other_exchange;
    const common::instant now = monotonicNow();
    const common::instant sentAt = isForeign ? common::instant::min() : m_sentAt;
    if (m_endpointId == m_address) {
        m_access.reports.onAnswerFrom(m_address, head.status, attributes, sentAt, now);
    } else {
        m_access.reports.onAnswer(m_endpointId, head.status, attributes, sentAt, now);
    }
    if (isForeign) {
        // The handles in it are left to expire, because those of a call that was answered before are in use.
        logEvent(event::foreign_answer,
                 {{"request", std::string_view(m_id)}, {"endpoint", std::string_view(m_endpointId)}});
        return false;
    }
    m_attributes = attributes;
    m_status = head.status;
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

bool piece_call::needsId() const
{
    return m_kind == answer_kind::results || m_status != statusOk;
}

bool piece_call::isOwn() const
{
    return m_owner == forwarding::answer_owner::this_exchange || !needsId();
}

piece_call::outcome piece_call::outcomeFromHead() const
{
    if (!isOwn()) {
        return outcome::lost;
    }
    if (m_status == statusMisdirected) {
        return outcome::misdirected;
    }
    return m_attributes.isNotExecuted ? outcome::rejected : outcome::lost;
}

void piece_call::onEnd()
{
    if (needsId() && !m_attributes.requestId) {
        m_connection->abandon(); // an extra answer could be taken for that of the next call
    }
    finish(m_status == statusOk && isOwn() ? outcome::answered : outcomeFromHead());
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
