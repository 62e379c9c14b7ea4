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
      m_holding(budget, "home " + address.toString()), m_heardAt(now)
{ }

home_link::home_link(int descriptor, net::receive_budget &budget, event_handlers handlers, common::instant now)
    : m_handlers(std::move(handlers)), m_socket(net::stream_socket::adopt(descriptor, linkSocket, *this)),
      m_holding(budget, "owner " + std::to_string(descriptor)), m_heardAt(now)
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

void home_link::end()
{
    close();
    m_handlers.onClosed(*this);
}

void home_link::onBytes(std::string_view bytes)
{
    m_heardAt = presentInstant();
    m_received += bytes;
    while (m_isOpen) {
        auto message = stages::takeHomeMessage(m_received);
        if (!message) {
            end();
            return;
        }
        if (!message.value()) {
            break;
        }
        m_handlers.onMessage(*this, std::move(*message.value()));
    }
    if (m_isOpen && !m_holding.resize(m_received.size())) {
        logEvent(event::received_too_much,
                 {{"from", "instance"}, {"bytes", static_cast<std::uint64_t>(m_received.size())}});
        end();
    }
}

void home_link::onClosed(net::close_reason /*reason*/)
{
    m_isOpen = false;
    m_handlers.onClosed(*this);
}

} // namespace masticlever::frontend
