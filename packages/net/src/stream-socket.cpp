#include <masticlever/common/errors.h>
#include <masticlever/net/stream-socket.h>

#include <QSocketNotifier>
#include <QTimer>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
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

constexpr std::size_t readBufferBytes = 65536; ///< read per wake-up; the rest waits for the next one
constexpr std::size_t keptCapacityBytes = 4096; ///< of the send buffer, once all its bytes are sent
constexpr std::size_t compactThresholdBytes = 65536; ///< sent bytes that stay in the buffer before it is compacted
constexpr std::chrono::seconds discardTimeout{1}; ///< time for the peer to close after the last message
constexpr int probeIntervalSeconds = 1; ///< between keep-alive probes; the smallest value that the kernel supports
constexpr int probeCount = 2;

template <typename Value> void setOption(int descriptor, int level, int name, const Value &value)
{
    // Without an unsupported option the connection still works, but detects a silent peer later.
    static_cast<void>(::setsockopt(descriptor, level, name, &value, sizeof(value)));
}

void limitReceiving(int descriptor, std::size_t bytes)
{
    if (bytes > 0) {
        setOption(descriptor, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
    }
}

void configure(int descriptor, const socket_options &options)
{
    limitReceiving(descriptor, options.receiveBuffer);
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(options.unacknowledgedLimit.count()));
    if (options.probeAfter.count() > 0) {
        setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(options.probeAfter.count()));
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    }
}

sockaddr_in toSockaddr(const socket_address &address)
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

close_reason closeReasonFor(int code)
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

std::uint32_t peerIp(int descriptor)
{
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const bool isKnown = ::getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
    return isKnown ? ntohl(peer.sin_addr.s_addr) : 0;
}

void stream_socket::deferred_delete::operator()(stream_socket *socket) const
{
    socket->m_handler = nullptr;
    socket->closeDescriptor();
    socket->deleteLater();
}

stream_socket::stream_socket(int descriptor, bool isConnected, socket_handler *handler)
    : m_descriptor(descriptor), m_isConnected(isConnected), m_handler(handler)
{
    createNotifiers();
}

stream_socket::pointer stream_socket::connectTo(const socket_address &address, const socket_options &options,
                                                socket_handler &handler)
{
    const int descriptor = openSocket();
    if (descriptor >= 0) {
        configure(descriptor, options);
    }
    const sockaddr_in target = toSockaddr(address);
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
    closeDescriptor();
}

void stream_socket::createNotifiers()
{
    if (m_descriptor < 0) {
        return;
    }
    m_readNotifier = new QSocketNotifier(m_descriptor, QSocketNotifier::Read, this);
    m_writeNotifier = new QSocketNotifier(m_descriptor, QSocketNotifier::Write, this);
    m_readNotifier->setEnabled(m_isConnected);
    m_writeNotifier->setEnabled(!m_isConnected);
    connect(m_readNotifier, &QSocketNotifier::activated, this, [this] { onReadable(); });
    connect(m_writeNotifier, &QSocketNotifier::activated, this, [this] { onWritable(); });
}

void stream_socket::closeDescriptor()
{
    if (m_descriptor < 0) {
        return;
    }
    // Notifiers must be disabled before the descriptor number can be reused by another connection.
    m_readNotifier->setEnabled(false);
    m_writeNotifier->setEnabled(false);
    ::close(m_descriptor);
    m_descriptor = -1;
}

void stream_socket::close(close_reason reason)
{
    closeDescriptor();
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
    closeDescriptor();
}

void stream_socket::closeNow()
{
    m_handler = nullptr;
    closeDescriptor();
}

void stream_socket::setReading(bool isReading)
{
    if (m_descriptor >= 0 && m_isConnected) {
        m_readNotifier->setEnabled(isReading);
    }
}

void stream_socket::setReceiveBuffer(std::size_t bytes)
{
    if (m_descriptor >= 0) {
        limitReceiving(m_descriptor, bytes);
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
    if (m_isConnected && unsentBytes() == 0) {
        bytes.remove_prefix(sendNow(bytes)); // without a copy in the buffer
        m_writeNotifier->setEnabled(!bytes.empty());
    }
    m_sendBuffer.append(bytes);
}

/// Sends what the kernel accepts and returns its size. A write that fails loses all bytes.
std::size_t stream_socket::sendNow(std::string_view bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size >= 0) {
            sent += static_cast<std::size_t>(size);
        } else if (isRetryable(errno)) {
            break;
        } else {
            // A response may still be waiting to be read, so the read side reports the close.
            m_sendError = errno;
            return bytes.size();
        }
    }
    return sent;
}

void stream_socket::closeWhenSent()
{
    m_isClosingWhenSent = true;
    if (m_descriptor >= 0 && unsentBytes() == 0) {
        finishSending();
    }
}

/// Shuts down sending and discards received bytes until the peer closes. Closing a socket with unread bytes would reset
/// the connection, which could destroy the last response in transit.
void stream_socket::finishSending()
{
    m_isDiscarding = true;
    ::shutdown(m_descriptor, SHUT_WR);
    m_readNotifier->setEnabled(true);
    QTimer::singleShot(discardTimeout, this, [this] { close(close_reason::orderly); });
}

void stream_socket::flush()
{
    if (m_descriptor >= 0) {
        m_sendOffset += sendNow(std::string_view(m_sendBuffer).substr(m_sendOffset));
    }
    if (unsentBytes() == 0) {
        m_sendBuffer.clear();
        m_sendOffset = 0;
        if (m_sendBuffer.capacity() > keptCapacityBytes) {
            m_sendBuffer.shrink_to_fit(); // an idle connection would keep the memory of its largest message
        }
    } else if (m_sendOffset > compactThresholdBytes) {
        m_sendBuffer.erase(0, m_sendOffset);
        m_sendOffset = 0;
    }
    if (m_descriptor >= 0) {
        m_writeNotifier->setEnabled(unsentBytes() > 0);
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
    m_readNotifier->setEnabled(true);
    m_writeNotifier->setEnabled(false);
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
    if (m_isClosingWhenSent) {
        finishSending();
    } else if (m_handler != nullptr) {
        m_handler->onDrained();
    }
}

void stream_socket::onPeerFinished()
{
    if (m_sendError != 0) {
        // The failed write has consumed the error of the socket, after which a reset connection reads as finished.
        close(closeReasonFor(m_sendError));
        return;
    }
    int unacknowledged = 0;
    const bool isKnown = ::ioctl(m_descriptor, SIOCOUTQ, &unacknowledged) == 0;
    m_hasDeliveredAll = unsentBytes() == 0 && isKnown && unacknowledged == 0;
    close(close_reason::orderly);
}

void stream_socket::onReadable()
{
    static thread_local std::array<char, readBufferBytes> buffer;
    const ssize_t size = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (size > 0) {
        if (m_handler != nullptr && !m_isDiscarding) {
            m_handler->onBytes({buffer.data(), static_cast<std::size_t>(size)});
        }
    } else if (size == 0) {
        onPeerFinished();
    } else if (!isRetryable(errno)) {
        close(closeReasonFor(errno));
    }
}

listener::listener(accept_handler handler) : m_handler(std::move(handler)) { }

listener::~listener()
{
    close();
}

common::result<std::uint16_t> listener::listen(const socket_address &address, int backlog, std::size_t receiveBuffer)
{
    m_descriptor = openSocket();
    setOption(m_descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    limitReceiving(m_descriptor, receiveBuffer); // before a connection can receive anything
    const sockaddr_in local = toSockaddr(address);
    const bool isListening = ::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) == 0
        && ::listen(m_descriptor, backlog) == 0;
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    if (!isListening || ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&bound), &size) < 0) {
        close();
        return make_error_code(error::unavailable);
    }
    m_readNotifier = new QSocketNotifier(m_descriptor, QSocketNotifier::Read, this);
    connect(m_readNotifier, &QSocketNotifier::activated, this, [this] { onReadable(); });
    return ntohs(bound.sin_port);
}

void listener::close()
{
    if (m_readNotifier != nullptr) {
        m_readNotifier->setEnabled(false);
    }
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

void listener::onReadable()
{
    constexpr int acceptsPerWakeup = 64;
    for (int i = 0; i < acceptsPerWakeup && m_descriptor >= 0; ++i) {
        const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        m_handler(descriptor);
    }
}

} // namespace masticlever::net
