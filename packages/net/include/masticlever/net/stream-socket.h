#pragma once

#include <masticlever/common/result.h>

#include <QObject>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

class QSocketNotifier;

/// \file
/// TCP connections on the event loop of the calling thread. Unlike QTcpSocket they distinguish an orderly close from a
/// reset, which decides whether a response without a length is complete.

namespace masticlever::net
{

struct socket_address {
    std::uint32_t ip = 0; ///< IPv4, host byte order
    std::uint16_t port = 0;

    bool operator==(const socket_address &) const = default;
    std::string toString() const;
};

/// Returns the address of the peer of a connected descriptor, or 0 when it is gone.
std::uint32_t peerIp(int descriptor);

/// Parses "IP:port"; returns error::malformed for host names.
common::result<socket_address> parseAddress(std::string_view text);

enum class close_reason {
    orderly, ///< the peer closed its side after sending all data
    reset,
    refused, ///< the connection could not be established
    timed_out, ///< data was not acknowledged or keep-alive probes were not answered
};

struct socket_options {
    /// The connection is closed when sent data stays unacknowledged for longer.
    std::chrono::milliseconds unacknowledgedLimit{1000};
    std::chrono::seconds probeAfter{0}; ///< idle time before keep-alive probes; 0 disables them
    std::size_t receiveBuffer = 0; ///< bytes that the kernel may hold unread, see setReceiveBuffer(); 0: its default
};

class socket_handler
{
public:
    virtual ~socket_handler() = default;
    virtual void onConnected() { }
    virtual void onBytes(std::string_view bytes) = 0;
    /// No call follows this one.
    virtual void onClosed(close_reason reason) = 0;
    /// All written bytes have been passed to the kernel.
    virtual void onDrained() { }
};

class stream_socket : public QObject
{
    Q_OBJECT

public:
    /// Detaches the handler, closes the connection and deletes the socket later, so it is safe in handler calls.
    struct deferred_delete {
        void operator()(stream_socket *socket) const;
    };
    using pointer = std::unique_ptr<stream_socket, deferred_delete>;

    /// Starts connecting; the handler is notified of the outcome. \p handler must outlive the pointer.
    static pointer connectTo(const socket_address &address, const socket_options &options, socket_handler &handler);
    /// Takes ownership of a connected descriptor.
    static pointer adopt(int descriptor, const socket_options &options, socket_handler &handler);
    ~stream_socket() override;

    void write(std::string_view bytes);
    /// Closes the connection after all bytes are sent; onClosed() follows.
    void closeWhenSent();
    /// Resets the connection, so that the peer cannot mistake a partial message for a complete one.
    void abort();
    /// Closes the connection at once. The peer sees an orderly close if it has read everything and sends nothing more.
    void closeNow();
    void setReading(bool isReading);
    /// Limits the bytes that the kernel receives before they are read. It takes up to twice as much memory.
    void setReceiveBuffer(std::size_t bytes);

    bool isConnected() const { return m_isConnected; }
    /// Returns whether the peer has closed or reset the connection and no unread bytes remain.
    bool hasPeerClosed() const;
    std::size_t unsentBytes() const { return m_sendBuffer.size() - m_sendOffset; }
    std::size_t allocatedBytes() const { return m_sendBuffer.capacity(); } ///< for bytes that are not sent
    /// A write failed; the bytes that were not sent are lost, although the connection may not have been closed yet.
    bool hasSendFailed() const { return m_sendError != 0; }
    /// After an orderly close: whether the peer had received all written bytes by then.
    bool hasDeliveredAll() const { return m_hasDeliveredAll; }

private:
    stream_socket(int descriptor, bool isConnected, socket_handler *handler);

    void createNotifiers();
    void onReadable();
    void onWritable();
    void finishConnecting();
    std::size_t sendNow(std::string_view bytes);
    void flush();
    void finishSending();
    void close(close_reason reason);
    void closeDescriptor();
    void onPeerFinished();

    int m_descriptor = -1;
    bool m_isConnected = false;
    bool m_isClosingWhenSent = false; ///< the connection closes after all bytes are sent
    bool m_isDiscarding = false; ///< all bytes are sent; received bytes are dropped
    socket_handler *m_handler = nullptr;
    QSocketNotifier *m_readNotifier = nullptr;
    QSocketNotifier *m_writeNotifier = nullptr;
    std::string m_sendBuffer;
    std::size_t m_sendOffset = 0; ///< bytes at the front of m_sendBuffer that are already sent
    int m_sendError = 0; ///< errno of the write that failed; 0: none did
    bool m_hasDeliveredAll = false;
};

class listener : public QObject
{
    Q_OBJECT

public:
    using accept_handler = std::function<void(int descriptor)>;

    explicit listener(accept_handler handler);
    ~listener() override;

    /// Returns the port, or error::unavailable when the address is in use. Accepted connections begin with
    /// \p receiveBuffer, see stream_socket::setReceiveBuffer(); 0: the kernel's default.
    common::result<std::uint16_t> listen(const socket_address &address, int backlog, std::size_t receiveBuffer = 0);
    void close();

private:
    void onReadable();

    accept_handler m_handler;
    int m_descriptor = -1;
    QSocketNotifier *m_readNotifier = nullptr;
};

} // namespace masticlever::net
