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
/// TCP connections on the event loop of the calling thread. Unlike QTcpSocket they tell an orderly close from a
/// reset, on which it depends whether an answer without a length is whole.

namespace masticlever::net
{

struct socket_address {
    std::uint32_t ip = 0; ///< IPv4, host byte order
    std::uint16_t port = 0;

    bool operator==(const socket_address &) const = default;
    std::string toString() const;
};

/// Reads "IP:port"; error::malformed for names.
common::result<socket_address> parseAddress(std::string_view text);

enum class close_reason {
    orderly, ///< the other side has sent all it had
    reset,
    refused, ///< the connection was never established
    timed_out, ///< data was not acknowledged, or probes were not answered
};

struct socket_options {
    std::chrono::milliseconds unacknowledgedLimit{1000}; ///< data in flight for longer ends the connection
    std::chrono::seconds probeAfter{0}; ///< idle time before keep-alive probes; 0: none
};

class socket_handler
{
public:
    virtual ~socket_handler() = default;
    virtual void onConnected() { }
    virtual void onBytes(std::string_view bytes) = 0;
    /// No further call follows.
    virtual void onClosed(close_reason reason) = 0;
    /// All that was written has been handed to the system.
    virtual void onDrained() { }
};

class stream_socket : public QObject
{
    Q_OBJECT

public:
    /// Detaches the handler and ends the connection; safe inside a call of the handler.
    struct deferred_delete {
        void operator()(stream_socket *socket) const;
    };
    using pointer = std::unique_ptr<stream_socket, deferred_delete>;

    /// Begins to connect; the outcome is told to the handler. \p handler must outlive the pointer.
    static pointer connectTo(const socket_address &address, const socket_options &options, socket_handler &handler);
    /// Takes over a connected descriptor.
    static pointer adopt(int descriptor, const socket_options &options, socket_handler &handler);
    ~stream_socket() override;

    void write(std::string_view bytes);
    /// Ends the connection once all bytes are sent; onClosed() follows.
    void closeWhenSent();
    /// Resets the connection, so that the other side cannot take what it has for a whole message.
    void abort();
    void setReading(bool isReading);

    bool isConnected() const { return m_isConnected; }
    /// The other side has closed or reset the connection, and nothing is left to be read before that.
    bool hasPeerClosed() const;
    std::size_t unsentBytes() const { return m_unsent.size() - m_sent; }

private:
    stream_socket(int descriptor, bool isConnected, socket_handler *handler);

    void watch();
    void onReadable();
    void onWritable();
    void finishConnecting();
    void flush();
    void finishSending();
    void close(close_reason reason);
    void release();

    int m_descriptor = -1;
    bool m_isConnected = false;
    bool m_isClosing = false; ///< ends once all is sent
    bool m_isDiscarding = false; ///< all is sent; what still arrives is dropped
    socket_handler *m_handler = nullptr;
    QSocketNotifier *m_readable = nullptr;
    QSocketNotifier *m_writable = nullptr;
    std::string m_unsent;
    std::size_t m_sent = 0; ///< bytes at the front of m_unsent that are gone
};

class listener : public QObject
{
    Q_OBJECT

public:
    using accept_handler = std::function<void(int descriptor)>;

    explicit listener(accept_handler handler);
    ~listener() override;

    /// error::unavailable when the address is taken.
    common::result<std::uint16_t> listen(const socket_address &address, int backlog);
    void close();

private:
    void onReadable();

    accept_handler m_handler;
    int m_descriptor = -1;
    QSocketNotifier *m_readable = nullptr;
};

} // namespace masticlever::net
