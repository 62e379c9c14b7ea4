#include "store-connection.h"

#include <masticlever/common/errors.h>
#include <masticlever/telemetry/events.h>

#include <utility>

namespace masticlever::frontend
{

using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr net::socket_options storeSocket{std::chrono::milliseconds(1500), std::chrono::seconds(1)};
constexpr http1::reader_limits storeLimits{65536, std::uint64_t{64} * 1024 * 1024};

} // namespace

store_connection::~store_connection() = default;

void store_connection::call(const protocol::store_call &call, common::duration timeout, answer_handler handler,
                            common::instant now)
{
    m_handler = std::move(handler);
    m_answer = {};
    m_deadline = now + timeout;
    const auto address = net::parseAddress(m_address);
    if (!address) {
        finish(make_error_code(common::error::malformed));
        return;
    }
    if (!m_connection || !m_connection->isReusable()) {
        m_ended = std::move(m_connection);
        m_connection = std::make_unique<http1::client_connection>(address.value(), storeSocket, storeLimits);
    }
    http1::message_head head;
    head.method = call.method;
    head.target = call.target;
    head.fields.push_back({"Host", m_address});
    if (!call.contentType.empty()) {
        head.fields.push_back({"Content-Type", call.contentType});
    }
    if (!call.body.empty()) {
        head.fields.push_back({"Content-Length", std::to_string(call.body.size())});
    }
    m_connection->start(http1::requestText(head), call.body, false, *this);
}

void store_connection::onTick(common::instant now)
{
    m_ended.reset();
    if (m_handler && now >= m_deadline) {
        reset();
    }
}

void store_connection::reset()
{
    if (m_connection) {
        m_connection->abandon();
    }
    if (m_handler) {
        finish(make_error_code(common::error::lost_answer));
    }
}

bool store_connection::onHead(const http1::message_head &head)
{
    m_answer.head = head;
    return true;
}

void store_connection::onBody(std::string_view bytes)
{
    m_answer.body += bytes;
    if (m_received.resize(m_answer.body.size())) {
        return;
    }
    logEvent(event::received_too_much,
             {{"from", "store"}, {"bytes", static_cast<std::uint64_t>(m_answer.body.size())}});
    reset();
}

void store_connection::onEnd()
{
    finish(std::move(m_answer));
}

void store_connection::onFailure(http1::exchange_failure failure)
{
    if (failure == http1::exchange_failure::invalid_status) {
        logEvent(event::invalid_status,
                 {{"from", "store"}, {"line", std::string_view(m_connection->invalidStatusLine())}});
    }
    const bool isUnsent = failure == http1::exchange_failure::not_connected;
    finish(make_error_code(isUnsent ? common::error::unavailable : common::error::lost_answer));
}

void store_connection::finish(common::result<store_answer> answer)
{
    const answer_handler handler = std::exchange(m_handler, nullptr);
    m_answer = {};
    m_received.resize(0);
    handler(std::move(answer));
}

} // namespace masticlever::frontend
