#include "home-link.h"

#include "frontend-context.h"

#include <utility>

namespace masticlever::frontend
{

namespace
{

constexpr net::socket_options linkSocket{std::chrono::milliseconds(800), std::chrono::seconds(1)};

} // namespace

home_link::home_link(const net::socket_address &address, event_handlers handlers, common::instant now)
    : m_handlers(std::move(handlers)), m_socket(net::stream_socket::connectTo(address, linkSocket, *this)),
      m_heardAt(now)
{ }

home_link::home_link(int descriptor, event_handlers handlers, common::instant now)
    : m_handlers(std::move(handlers)), m_socket(net::stream_socket::adopt(descriptor, linkSocket, *this)),
      m_heardAt(now)
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

void home_link::onBytes(std::string_view bytes)
{
    m_heardAt = presentInstant();
    m_received += bytes;
    while (m_isOpen) {
        auto message = stages::takeHomeMessage(m_received);
        if (!message) {
            close();
            m_handlers.onClosed(*this);
            return;
        }
        if (!message.value()) {
            return;
        }
        m_handlers.onMessage(*this, std::move(*message.value()));
    }
}

void home_link::onClosed(net::close_reason /*reason*/)
{
    m_isOpen = false;
    m_handlers.onClosed(*this);
}

} // namespace masticlever::frontend
