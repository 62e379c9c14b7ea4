#include "home-link.h"

#include "frontend-context.h"

#include <masticlever/telemetry/events.h>

#include <utility>

namespace masticlever::frontend
{

using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr net::socket_options linkSocket{std::chrono::milliseconds(800), std::chrono::seconds(1)};

} // namespace

home_link::home_link(const net::socket_address &address, net::receive_budget &budget, event_handlers handlers,
                     common::instant now)
    : m_handlers(std::move(handlers)), m_socket(net::stream_socket::connectTo(address, linkSocket, *this)),
      m_bufferBudget(budget, "home " + address.toString()), m_lastReceivedAt(now)
{ }

home_link::home_link(int descriptor, net::receive_budget &budget, event_handlers handlers, common::instant now)
    : m_handlers(std::move(handlers)), m_socket(net::stream_socket::adopt(descriptor, linkSocket, *this)),
      m_bufferBudget(budget, "owner " + std::to_string(descriptor)), m_lastReceivedAt(now)
{ }

home_link::~home_link() = default;

void home_link::send(const stages::home_message &message)
{
    sendEncoded(stages::encodeHomeMessage(message));
}

void home_link::sendEncoded(std::string_view message)
{
    m_socket->write(message);
}

void home_link::close()
{
    m_isOpen = false;
    m_socket->abort();
}

void home_link::closeAndNotify()
{
    close();
    m_handlers.onClosed(*this);
}

void home_link::onBytes(std::string_view bytes)
{
    m_lastReceivedAt = monotonicNow();
    m_buffer += bytes;
    while (m_isOpen) {
        auto message = stages::takeHomeMessage(m_buffer);
        if (!message) {
            closeAndNotify();
            return;
        }
        if (!message.value()) {
            break;
        }
        m_handlers.onMessage(*this, std::move(*message.value()));
    }
    if (m_isOpen && !m_bufferBudget.resize(m_buffer.size())) {
        logEvent(event::received_too_much,
                 {{"from", "instance"}, {"bytes", static_cast<std::uint64_t>(m_buffer.size())}});
        closeAndNotify();
    }
}

void home_link::onClosed(net::close_reason /*reason*/)
{
    m_isOpen = false;
    m_handlers.onClosed(*this);
}

} // namespace masticlever::frontend
