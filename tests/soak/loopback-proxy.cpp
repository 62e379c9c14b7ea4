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

/// Both ends of one connection.
class loopback_proxy::pair
{
public:
    pair(loopback_proxy &owner, int descriptor)
        : m_owner(owner), m_near(*this, true), m_far(*this, false),
          m_client(net::stream_socket::adopt(descriptor, {}, m_near)),
          m_target(net::stream_socket::connectTo(net::parseAddress(owner.m_target).value(), {}, m_far))
    { }

    void end()
    {
        m_client->abort();
        m_target->abort();
    }

private:
    class side final : public net::socket_handler
    {
    public:
        side(pair &owner, bool isNear) : m_pair(owner), m_isNear(isNear) { }
        void onBytes(std::string_view bytes) override { m_pair.pass(bytes, m_isNear); }
        void onClosed(net::close_reason reason) override { m_pair.onClosed(reason); }

    private:
        pair &m_pair;
        bool m_isNear;
    };

    void pass(std::string_view bytes, bool isFromClient)
    {
        const link_state state = m_owner.m_state;
        if (state == link_state::silent || (state == link_state::cut_back && !isFromClient)) {
            return;
        }
        net::stream_socket *to = isFromClient ? m_target.get() : m_client.get();
        // Once delayed, always delayed: bytes must not overtake each other.
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
            if (reason == net::close_reason::orderly) {
                m_client->closeWhenSent();
                m_target->closeWhenSent();
            } else {
                end();
            }
        });
    }

    loopback_proxy &m_owner;
    side m_near;
    side m_far;
    net::stream_socket::pointer m_client;
    net::stream_socket::pointer m_target;
    bool m_isDelayed = false;
};

loopback_proxy::loopback_proxy(std::string target) : m_target(std::move(target)) { }

loopback_proxy::~loopback_proxy() = default;

std::string loopback_proxy::listen()
{
    m_listener = std::make_unique<net::listener>([this](int descriptor) {
        auto added = std::make_unique<pair>(*this, descriptor);
        if (m_state == link_state::refused) {
            added->end();
        }
        m_pairs.emplace(added.get(), std::move(added));
    });
    const auto port = m_listener->listen({loopback, 0}, backlog);
    return "127.0.0.1:" + std::to_string(port.value());
}

void loopback_proxy::resetAll()
{
    for (const auto &[raw, owned] : m_pairs) {
        raw->end();
    }
}

} // namespace masticlever::soak
