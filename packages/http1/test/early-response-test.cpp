#include <masticlever/http1/client-connection.h>
#include <masticlever/net/stream-socket.h>

#include <event-loop.h>

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

using namespace masticlever;
using namespace masticlever::http1;
using test::runUntil;

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;

std::string upload(std::size_t size)
{
    return "POST / HTTP/1.1\r\nHost: site.example\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
        + std::string(size, 'x');
}

/// Accepts one connection; writes and reads only when told to.
class raw_server
{
public:
    raw_server()
    {
        runUntil([] { return true; });
        m_port = m_listener.listen({loopback, 0}, 1).value();
    }
    ~raw_server() { reset(); }

    net::socket_address address() const { return {loopback, m_port}; }
    bool waitForConnection()
    {
        return runUntil([&] { return m_descriptor >= 0; });
    }
    void write(std::string_view bytes)
    {
        REQUIRE(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }
    /// Reads what has arrived. With a single buffer at a time, the kernel's window would limit a large upload to one
    /// buffer for each turn of the event loop.
    std::size_t read()
    {
        std::array<char, 65536> buffer{};
        std::size_t total = 0;
        for (ssize_t size = 1; size > 0; total += static_cast<std::size_t>(std::max<ssize_t>(size, 0))) {
            size = ::recv(m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        }
        return total;
    }
    void finish() { ::shutdown(m_descriptor, SHUT_WR); }
    void reset()
    {
        if (m_descriptor >= 0) {
            const linger immediately{1, 0};
            ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
            ::close(m_descriptor);
            m_descriptor = -1;
        }
    }

private:
    int m_descriptor = -1;
    net::listener m_listener{[this](int descriptor) { m_descriptor = descriptor; }};
    std::uint16_t m_port = 0;
};

class recording_handler final : public exchange_handler
{
public:
    bool onHead(const message_head & /*head*/) override { return hasHead = true; }
    void onBody(std::string_view bytes) override { body += bytes; }
    void onEnd() override
    {
        isWhole = true;
        wasReusable = connection != nullptr && connection->isReusable();
    }
    void onFailure(exchange_failure /*failure*/) override { isFailed = true; }
    bool isDone() const { return isWhole || isFailed; }

    std::string body;
    bool hasHead = false;
    bool isWhole = false;
    bool isFailed = false;
    const client_connection *connection = nullptr;
    bool wasReusable = false; ///< at the end of the response, when a pool takes the connection back
};

/// Completes one exchange if \p isNeeded, so that the next one is the second on its connection.
void completeExchange(bool isNeeded, raw_server &server, client_connection &connection)
{
    if (!isNeeded) {
        return;
    }
    recording_handler first;
    const std::string request = "GET / HTTP/1.1\r\nHost: site.example\r\n\r\n";
    connection.start(request, "", false, first);
    std::size_t received = 0;
    REQUIRE(runUntil([&] { return (received += server.read()) == request.size(); }));
    server.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(runUntil([&] { return first.isWhole; }));
    REQUIRE(connection.isReusable());
}

} // namespace

// Guards against a part of a response that is taken for a whole one: a failed write consumes the socket's error, after
// which a reset connection reads like one that was closed in order.
TEST_CASE("A response without a length to an upload that was not written in full is not complete")
{
    enum class end { reset, orderly };
    enum class order { write_first, one_turn, read_first };
    const bool isSecondExchange = GENERATE(false, true);
    const bool hasBody = GENERATE(false, true);
    const end ended = GENERATE(end::reset, end::orderly);
    const order noticed = GENERATE(order::write_first, order::one_turn, order::read_first);
    const std::size_t size
        = GENERATE(std::size_t{400000}, std::size_t{16000000}); // within and over the kernel's buffers
    INFO("second " << isSecondExchange << " body " << hasBody << " end " << static_cast<int>(ended) << " order "
                   << static_cast<int>(noticed) << " size " << size);
    raw_server server;
    client_connection connection(server.address(), {}, {});
    REQUIRE(server.waitForConnection());
    REQUIRE(runUntil([&] { return connection.isConnected(); }));
    completeExchange(isSecondExchange, server, connection);
    const std::string response
        = std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n") + (hasBody ? "first half" : "");
    const auto endConnection = [&] { ended == end::reset ? server.reset() : server.finish(); };
    recording_handler handler;
    if (noticed == order::write_first) {
        server.write(response);
        endConnection();
        connection.start(upload(size), "", false, handler);
    } else {
        connection.start(upload(size), "", false, handler);
        server.write(response);
        if (noticed == order::read_first) {
            REQUIRE(runUntil([&] { return handler.hasHead && handler.body.empty() != hasBody; }));
        }
        endConnection();
    }
    REQUIRE(runUntil([&] { return handler.isDone(); }));
    CHECK_FALSE(handler.isWhole);
    CHECK_FALSE(connection.isReusable());
}

// Guards against a second request whose bytes arrive where the rest of the first one's body is due.
TEST_CASE("A connection whose upload was answered early is not used again before the upload is written")
{
    constexpr std::size_t size = 16000000;
    raw_server server;
    client_connection connection(server.address(), {}, {});
    REQUIRE(server.waitForConnection());
    recording_handler handler;
    connection.start(upload(size), "", false, handler);
    server.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(runUntil([&] { return handler.isDone(); }));
    CHECK(handler.isWhole);
    CHECK_FALSE(connection.isReusable());

    SECTION("the endpoint reads the rest later")
    {
        std::size_t received = 0;
        REQUIRE(runUntil([&] { return (received += server.read()) == upload(size).size(); }));
        CHECK(runUntil([&] { return connection.isReusable(); }));
    }
    SECTION("the endpoint resets the connection")
    {
        server.reset();
        REQUIRE(runUntil([&] { return !connection.isOpen(); }));
        CHECK_FALSE(connection.isReusable());
    }
}

// Guards against a kept connection whose last write failed: a further request on it would be lost.
TEST_CASE("A connection whose write failed is not used again after a complete response")
{
    raw_server server;
    client_connection connection(server.address(), {}, {});
    REQUIRE(server.waitForConnection());
    REQUIRE(runUntil([&] { return connection.isConnected(); }));
    server.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    server.reset();
    recording_handler handler;
    handler.connection = &connection;
    connection.start(upload(1000), "", false, handler);
    REQUIRE(runUntil([&] { return handler.isDone(); }));
    CHECK(handler.isWhole);
    CHECK_FALSE(handler.wasReusable);
}
