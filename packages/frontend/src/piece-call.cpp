#include "piece-call.h"

#include "frontend-context.h"

#include <utility>

namespace masticlever::frontend
{

namespace
{

constexpr int success = 200;
constexpr int misdirectedStatus = 421;

} // namespace

piece_call::piece_call(endpoint_pool &pool, const protocol::site_protocol &protocol, done_handler done)
    : m_pool(pool), m_protocol(protocol), m_done(std::move(done))
{ }

piece_call::~piece_call()
{
    if (m_connection != nullptr) {
        m_connection->abandon();
        m_pool.release(m_connection, std::nullopt, presentInstant());
    }
}

bool piece_call::start(const std::string &endpointId, const std::string &address, http1::message_head head,
                       const std::string &body)
{
    m_connection = m_pool.acquire(endpointId, address, presentInstant());
    if (m_connection == nullptr) {
        return false;
    }
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
    m_connection->start(http1::requestText(head) + body, false, *this);
    return true;
}

bool piece_call::onHead(const http1::message_head &head)
{
    m_attributes = m_protocol.readAnswer(head);
    m_status = head.status;
    return true;
}

void piece_call::onEnd()
{
    if (m_status == success) {
        finish(outcome::answered);
    } else if (m_status == misdirectedStatus) {
        finish(outcome::misdirected);
    } else {
        finish(m_attributes.provesNotRun ? outcome::rejected : outcome::lost);
    }
}

void piece_call::onFailure(http1::exchange_failure /*failure*/)
{
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
    m_pool.release(std::exchange(m_connection, nullptr), m_attributes.idleLimit, presentInstant());
    m_done(result, m_body);
}

} // namespace masticlever::frontend
