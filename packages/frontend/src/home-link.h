#pragma once

#include <masticlever/common/time.h>
#include <masticlever/net/receive-budget.h>
#include <masticlever/net/stream-socket.h>
#include <masticlever/stages/home-messages.h>

#include <functional>
#include <string>
#include <string_view>

/// \file
/// A connection between two daemons that carries home messages both ways.

namespace masticlever::frontend
{

class home_link final : private net::socket_handler
{
public:
    struct event_handlers {
        std::function<void(home_link &link, stages::home_message message)> onMessage;
        std::function<void(home_link &link)> onClosed;
    };

    /// Connects to the home at \p address.
    home_link(const net::socket_address &address, net::receive_budget &budget, event_handlers handlers,
              common::instant now);
    /// Takes over an accepted connection of another instance.
    home_link(int descriptor, net::receive_budget &budget, event_handlers handlers, common::instant now);
    ~home_link() override;

    void send(const stages::home_message &message);
    /// Sends an encoded message, so that a message to several instances is encoded only once.
    void sendEncoded(std::string_view message);
    /// Time of the last received bytes; initially that of construction.
    common::instant lastReceivedAt() const { return m_lastReceivedAt; }
    void close();

private:
    void onBytes(std::string_view bytes) override;
    void closeAndNotify();
    void onClosed(net::close_reason reason) override;

    event_handlers m_handlers;
    net::stream_socket::pointer m_socket;
    std::string m_buffer; ///< received bytes of a message that is not complete yet
    net::receive_budget::holding m_bufferBudget; ///< accounts for \c m_buffer
    common::instant m_lastReceivedAt;
    bool m_isOpen = true;
};

} // namespace masticlever::frontend
