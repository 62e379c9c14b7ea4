#include "loopback-proxy.h"

#include <QTimer>

#include <utility>

namespace masticlever::soak
{

namespace
{

constexpr std::chrono::milliseconds addedDelay{120};
constexpr std::uint32_t loopback = 0x7f000001;
constexpr int backlog = 128;

} // namespace

/// One proxied connection: the sockets to the client and to the target.
class loopback_proxy::pair
{
public:
    pair(loopback_proxy &owner, int descriptor)
        : m_owner(owner), m_clientSide(*this, true), m_targetSide(*this, false),
          m_client(net::stream_socket::adopt(descriptor, {}, m_clientSide)),
          m_target(net::stream_socket::connectTo(net::parseAddress(owner.m_target).value(), {}, m_targetSide))
    { }

    void abortBoth()
    {
        m_client->abort();
        m_target->abort();
    }

private:
    class side final : public net::socket_handler
    {
    public:
        side(pair &owner, bool isClient) : m_pair(owner), m_isClient(isClient) { }
        void onBytes(std::string_view bytes) override { m_pair.pass(bytes, m_isClient); }
        void onClosed(net::close_reason reason) override { m_pair.onClosed(reason); }

    private:
        pair &m_pair;
        bool m_isClient;
    };

    void pass(std::string_view bytes, bool isFromClient)
    {
        const link_state state = m_owner.m_state;
        if (state == link_state::silent || (state == link_state::responses_dropped && !isFromClient)) {
            m_hasDropped = true;
            return;
        }
        net::stream_socket *to = isFromClient ? m_target.get() : m_client.get();
        // Once delayed, a connection stays delayed, so that bytes are not reordered.
        m_isDelayed = m_isDelayed || state == link_state::delayed;
        if (!m_isDelayed) {
            to->write(bytes);
            return;
        }
        QTimer::singleShot(addedDelay, to, [to, copy = std::string(bytes)] { to->write(copy); });
    }

    void onClosed(net::close_reason reason)
    {
        if (m_owner.m_state == link_state::silent) {
            return;
        }
        const auto wait = m_isDelayed ? addedDelay * 2 : std::chrono::milliseconds(0);
        QTimer::singleShot(wait, &m_owner.m_timers, [this, reason] {
            if (reason == net::close_reason::orderly && !m_hasDropped) {
                m_client->closeWhenSent();
                m_target->closeWhenSent();
            } else {
                abortBoth();
            }
        });
    }

    loopback_proxy &m_owner;
    side m_clientSide;
    side m_targetSide;
    net::stream_socket::pointer m_client;
    net::stream_socket::pointer m_target;
    bool m_isDelayed = false;
    bool m_hasDropped = false; ///< bytes were dropped; TCP delivers no orderly end after a gap
};

loopback_proxy::loopback_proxy(std::string target) : m_target(std::move(target)) { }

loopback_proxy::~loopback_proxy() = default;

std::string loopback_proxy::listen()
{
    m_listener = std::make_unique<net::listener>([this](int descriptor) {
        auto added = std::make_unique<pair>(*this, descriptor);
        if (m_state == link_state::refused) {
            added->abortBoth();
        }
        m_pairs.emplace(added.get(), std::move(added));
    });
    const auto port = m_listener->listen({loopback, m_port}, backlog);
    m_port = port ? port.value() : m_listener->listen({loopback, 0}, backlog).value(); // it may be in use by now
    return "127.0.0.1:" + std::to_string(m_port);
}

void loopback_proxy::stop()
{
    m_listener.reset();
    resetAll();
}

std::string loopback_proxy::resume()
{
    return listen();
}

void loopback_proxy::resetAll()
{
    for (const auto &[raw, owned] : m_pairs) {
        raw->abortBoth();
    }
}

} // namespace masticlever::soak
