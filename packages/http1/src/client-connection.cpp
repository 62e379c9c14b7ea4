#include <masticlever/http1/client-connection.h>

#include <utility>

namespace masticlever::http1
{

namespace
{

constexpr std::size_t maximumSkippedBytes = 262144; ///< of skipped responses, per connection

} // namespace

client_connection::client_connection(const net::socket_address &address, const net::socket_options &options,
                                     reader_limits limits)
    : m_socket(net::stream_socket::connectTo(address, options, *this)), m_reader(message_kind::answer, limits, *this)
{ }

client_connection::~client_connection() = default;

void client_connection::start(std::string_view head, std::string_view body, bool isHead, exchange_handler &handler)
{
    start(head, std::span(&body, 1), isHead, handler);
}

void client_connection::start(std::string_view head, std::span<const std::string_view> body, bool isHead,
                              exchange_handler &handler)
{
    m_handler = &handler;
    ++m_exchanges;
    m_isSkipping = false;
    if (m_hasReadResponse) {
        m_hasReadResponse = false;
        static_cast<void>(m_reader.next()); // a reusable connection has no bytes left over
    }
    if (isHead) {
        m_reader.expectNoBody();
    }
    m_socket->write(head);
    for (const std::string_view part : body) {
        m_socket->write(part);
    }
}

void client_connection::abandon()
{
    m_handler = nullptr;
    close();
}

void client_connection::failConnecting()
{
    if (!m_isConnected && m_isOpen) {
        fail(exchange_failure::not_connected);
    }
}

void client_connection::close()
{
    m_isOpen = false;
    m_socket->abort();
}

bool client_connection::isReusable() const
{
    return m_isOpen && m_handler == nullptr && m_keepsAlive && !m_hasSkipped && m_reader.pendingBytes() == 0
        && m_socket->unsentBytes() == 0 && !m_socket->hasSendFailed();
}

void client_connection::onBytes(std::string_view bytes)
{
    if (m_handler == nullptr) {
        close(); // a second response to the last request
        return;
    }
    if (m_reader.feed(bytes)) {
        fail(m_reader.invalidStatusLine().empty() ? exchange_failure::garbled : exchange_failure::invalid_status);
    } else if (m_handler == nullptr && m_reader.pendingBytes() > 0) {
        close(); // bytes follow the complete response
    }
}

void client_connection::onClosed(net::close_reason reason)
{
    m_isOpen = false;
    if (m_handler == nullptr) {
        return;
    }
    // An endpoint that gives up while it receives the request has not necessarily sent its whole response.
    const bool isFinished = reason == net::close_reason::orderly && m_socket->hasDeliveredAll();
    if (isFinished && !m_isSkipping && m_reader.hasHead() && !m_reader.finish()) {
        if (m_handler == nullptr) {
            return; // the close was the end of the response
        }
    }
    fail(m_isConnected ? exchange_failure::closed : exchange_failure::not_connected);
}

void client_connection::onHead(message_head head)
{
    m_keepsAlive = head.keepAlive;
    m_isSkipping = m_handler != nullptr && !m_handler->onHead(head);
    m_hasSkipped = m_hasSkipped || m_isSkipping;
}

void client_connection::onBody(std::string_view bytes)
{
    if (m_handler == nullptr) {
        return;
    }
    if (!m_isSkipping) {
        m_handler->onBody(bytes);
        return;
    }
    m_skippedBytes += bytes.size();
    if (m_skippedBytes > maximumSkippedBytes) {
        fail(exchange_failure::garbled);
    }
}

void client_connection::onEnd()
{
    if (m_handler == nullptr) {
        return;
    }
    if (std::exchange(m_isSkipping, false)) {
        if (!m_keepsAlive || m_reader.next()) {
            fail(m_reader.invalidStatusLine().empty() ? exchange_failure::garbled : exchange_failure::invalid_status);
        }
        return;
    }
    m_hasReadResponse = true;
    std::exchange(m_handler, nullptr)->onEnd();
}

void client_connection::fail(exchange_failure failure)
{
    close();
    if (exchange_handler *handler = std::exchange(m_handler, nullptr)) {
        handler->onFailure(failure);
    }
}

} // namespace masticlever::http1
