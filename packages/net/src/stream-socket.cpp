#include <masticlever/common/errors.h>
#include <masticlever/net/stream-socket.h>

#include <QSocketNotifier>
#include <QTimer>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace masticlever::net
{

using common::error;

namespace
{

constexpr std::size_t readBytes = 65536; ///< at one wake-up; more waits for the next
constexpr std::size_t compactAbove = 65536; ///< sent bytes that are kept before the buffer is moved up
constexpr std::chrono::seconds discardLimit{1}; ///< for the other side to close after the last answer
constexpr int probeInterval = 1; ///< seconds between keep-alive probes, the smallest the system knows
constexpr int probeCount = 2;

template <typename Value> void setOption(int descriptor, int level, int name, const Value &value)
{
    // An option that the system does not know leaves the connection usable, only slower to notice a silent peer.
    static_cast<void>(::setsockopt(descriptor, level, name, &value, sizeof(value)));
}

void configure(int descriptor, const socket_options &options)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(options.unacknowledgedLimit.count()));
    if (options.probeAfter.count() > 0) {
        setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(options.probeAfter.count()));
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeInterval);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    }
}

sockaddr_in systemAddress(const socket_address &address)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(address.ip);
    target.sin_port = htons(address.port);
    return target;
}

int openSocket()
{
    return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

bool isRetryable(int code)
{
    return code == EAGAIN || code == EWOULDBLOCK || code == EINTR;
}

close_reason reasonOf(int code)
{
    return code == ETIMEDOUT ? close_reason::timed_out : close_reason::reset;
}

} // namespace

std::string socket_address::toString() const
{
    std::array<char, INET_ADDRSTRLEN> text{};
    const in_addr source{htonl(ip)};
    ::inet_ntop(AF_INET, &source, text.data(), text.size());
    return std::string(text.data()) + ':' + std::to_string(port);
}

common::result<socket_address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return make_error_code(error::malformed);
    }
    socket_address address;
    const std::string_view port = text.substr(colon + 1);
    const auto [end, failure] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    in_addr ip{};
    const bool isIp = ::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) == 1;
    if (!isIp || port.empty() || failure != std::errc{} || end != port.data() + port.size()) {
        return make_error_code(error::malformed);
    }
    address.ip = ntohl(ip.s_addr);
    return address;
}

void stream_socket::deferred_delete::operator()(stream_socket *socket) const
{
    socket->m_handler = nullptr;
    socket->release();
    socket->deleteLater();
}

stream_socket::stream_socket(int descriptor, bool isConnected, socket_handler *handler)
    : m_descriptor(descriptor), m_isConnected(isConnected), m_handler(handler)
{
    watch();
}

stream_socket::pointer stream_socket::connectTo(const socket_address &address, const socket_options &options,
                                                socket_handler &handler)
{
    const int descriptor = openSocket();
    if (descriptor >= 0) {
        configure(descriptor, options);
    }
    const sockaddr_in target = systemAddress(address);
    const bool hasFailed = descriptor < 0
        || (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) < 0
            && errno != EINPROGRESS);
    pointer socket(new stream_socket(descriptor, false, &handler));
    if (hasFailed) {
        QMetaObject::invokeMethod(
            socket.get(), [raw = socket.get()] { raw->close(close_reason::refused); }, Qt::QueuedConnection);
    }
    return socket;
}

stream_socket::pointer stream_socket::adopt(int descriptor, const socket_options &options, socket_handler &handler)
{
    configure(descriptor, options);
    return pointer(new stream_socket(descriptor, true, &handler));
}

stream_socket::~stream_socket()
{
    release();
}

void stream_socket::watch()
{
    if (m_descriptor < 0) {
        return;
    }
    m_readable = new QSocketNotifier(m_descriptor, QSocketNotifier::Read, this);
    m_writable = new QSocketNotifier(m_descriptor, QSocketNotifier::Write, this);
    m_readable->setEnabled(m_isConnected);
    m_writable->setEnabled(!m_isConnected);
    connect(m_readable, &QSocketNotifier::activated, this, [this] { onReadable(); });
    connect(m_writable, &QSocketNotifier::activated, this, [this] { onWritable(); });
}

void stream_socket::release()
{
    if (m_descriptor < 0) {
        return;
    }
    // Notifiers must be off before the descriptor can be given to another connection.
    m_readable->setEnabled(false);
    m_writable->setEnabled(false);
    ::close(m_descriptor);
    m_descriptor = -1;
}

void stream_socket::close(close_reason reason)
{
    release();
    if (socket_handler *handler = std::exchange(m_handler, nullptr)) {
        handler->onClosed(reason);
    }
}

void stream_socket::abort()
{
    if (m_descriptor >= 0) {
        setOption(m_descriptor, SOL_SOCKET, SO_LINGER, linger{1, 0});
    }
    m_handler = nullptr;
    release();
}

void stream_socket::setReading(bool isReading)
{
    if (m_descriptor >= 0 && m_isConnected) {
        m_readable->setEnabled(isReading);
    }
}

bool stream_socket::hasPeerClosed() const
{
    if (m_descriptor < 0) {
        return true;
    }
    char next = 0;
    const ssize_t size = ::recv(m_descriptor, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && !isRetryable(errno));
}

void stream_socket::write(std::string_view bytes)
{
    if (m_descriptor < 0 || bytes.empty()) {
        return;
    }
    m_unsent.append(bytes);
    if (m_isConnected) {
        flush();
    }
}

void stream_socket::closeWhenSent()
{
    m_isClosing = true;
    if (m_descriptor >= 0 && unsentBytes() == 0) {
        finishSending();
    }
}

/// Closing with unread bytes would reset the connection and could destroy the last answer on its way.
void stream_socket::finishSending()
{
    m_isDiscarding = true;
    ::shutdown(m_descriptor, SHUT_WR);
    m_readable->setEnabled(true);
    QTimer::singleShot(discardLimit, this, [this] { close(close_reason::orderly); });
}

void stream_socket::flush()
{
    while (m_descriptor >= 0 && unsentBytes() > 0) {
        const ssize_t sent = ::send(m_descriptor, m_unsent.data() + m_sent, unsentBytes(), MSG_NOSIGNAL);
        if (sent < 0) {
            if (!isRetryable(errno)) {
                // The receiving side may still hold an answer; its end tells the reason.
                m_unsent.clear();
                m_sent = 0;
                break;
            }
            break;
        }
        m_sent += static_cast<std::size_t>(sent);
    }
    if (unsentBytes() == 0) {
        m_unsent.clear();
        m_sent = 0;
    } else if (m_sent > compactAbove) {
        m_unsent.erase(0, m_sent);
        m_sent = 0;
    }
    if (m_descriptor >= 0) {
        m_writable->setEnabled(unsentBytes() > 0);
    }
}

void stream_socket::finishConnecting()
{
    int code = 0;
    socklen_t size = sizeof(code);
    if (::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &code, &size) < 0 || code != 0) {
        close(close_reason::refused);
        return;
    }
    m_isConnected = true;
    m_readable->setEnabled(true);
    m_writable->setEnabled(false);
    if (m_handler != nullptr) {
        m_handler->onConnected();
    }
    flush();
}

void stream_socket::onWritable()
{
    if (!m_isConnected) {
        finishConnecting();
        return;
    }
    flush();
    if (m_descriptor < 0 || unsentBytes() > 0) {
        return;
    }
    if (m_isClosing) {
        finishSending();
    } else if (m_handler != nullptr) {
        m_handler->onDrained();
    }
}

void stream_socket::onReadable()
{
    static thread_local std::array<char, readBytes> buffer;
    const ssize_t size = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (size > 0) {
        if (m_handler != nullptr && !m_isDiscarding) {
            m_handler->onBytes({buffer.data(), static_cast<std::size_t>(size)});
        }
    } else if (size == 0) {
        close(close_reason::orderly);
    } else if (!isRetryable(errno)) {
        close(reasonOf(errno));
    }
}

listener::listener(accept_handler handler) : m_handler(std::move(handler)) { }

listener::~listener()
{
    close();
}

common::result<std::uint16_t> listener::listen(const socket_address &address, int backlog)
{
    m_descriptor = openSocket();
    setOption(m_descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in local = systemAddress(address);
    const bool isListening = ::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) == 0
        && ::listen(m_descriptor, backlog) == 0;
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    if (!isListening || ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&bound), &size) < 0) {
        close();
        return make_error_code(error::unavailable);
    }
    m_readable = new QSocketNotifier(m_descriptor, QSocketNotifier::Read, this);
    connect(m_readable, &QSocketNotifier::activated, this, [this] { onReadable(); });
    return ntohs(bound.sin_port);
}

void listener::close()
{
    if (m_readable != nullptr) {
        m_readable->setEnabled(false);
    }
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

void listener::onReadable()
{
    constexpr int acceptsAtOnce = 64;
    for (int i = 0; i < acceptsAtOnce && m_descriptor >= 0; ++i) {
        const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        m_handler(descriptor);
    }
}

} // namespace masticlever::net
