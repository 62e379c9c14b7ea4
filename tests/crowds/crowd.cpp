#include "crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace masticlever::crowds
{

crowd::~crowd()
{
    for (const connection &item : m_connections) {
        if (item.descriptor >= 0) {
            ::close(item.descriptor);
        }
    }
}

void crowd::add(std::size_t count, const std::string &address, transmission sent)
{
    const net::socket_address target = net::parseAddress(address).value();
    const auto script = std::make_shared<const transmission>(std::move(sent));
    for (std::size_t i = 0; i < count; ++i) {
        m_connections.push_back({script, target});
        open(m_connections.back());
    }
}

void crowd::open(connection &target)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(target.target.ip);
    address.sin_port = htons(target.target.port);
    target.sent = 0;
    target.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // Fails with EINPROGRESS; a refused connection shows at the first send.
    static_cast<void>(::connect(target.descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)));
}

std::string_view crowd::nextBytes(const connection &target)
{
    const transmission &script = *target.script;
    if (target.sent < script.opening.size()) {
        return std::string_view(script.opening).substr(target.sent);
    }
    const std::size_t done = target.sent - script.opening.size();
    if (done >= script.repeatedBytes) {
        return {};
    }
    const std::size_t atOnce = script.repeatedBytes - script.trickledBytes;
    const std::size_t left = done < atOnce ? atOnce - done : 1;
    return std::string_view(script.repeated).substr(done % script.repeated.size(), left);
}

void crowd::advance(connection &target)
{
    const transmission &script = *target.script;
    const std::size_t trickleFrom = script.opening.size() + script.repeatedBytes - script.trickledBytes;
    std::size_t left = script.bytesPerTurn;
    for (std::string_view bytes = nextBytes(target); !bytes.empty() && left > 0; bytes = nextBytes(target)) {
        const ssize_t size = ::send(target.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size < 0) {
            if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
                ::close(std::exchange(target.descriptor, -1));
            }
            return;
        }
        target.sent += static_cast<std::size_t>(size);
        left -= std::min(left, static_cast<std::size_t>(size));
        if (script.trickledBytes > 0 && target.sent >= trickleFrom) {
            return;
        }
    }
}

void crowd::advance()
{
    for (connection &item : m_connections) {
        if (item.descriptor >= 0) {
            advance(item);
        }
        if (!item.script->isReconnecting) {
            continue;
        }
        if (item.descriptor >= 0 && nextBytes(item).empty()) {
            ::close(std::exchange(item.descriptor, -1));
        }
        if (item.descriptor < 0) {
            open(item);
        }
    }
}

std::size_t crowd::openConnections() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_connections, [](const connection &item) { return item.descriptor >= 0; }));
}

} // namespace masticlever::crowds
