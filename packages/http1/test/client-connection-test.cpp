#include <masticlever/http1/client-connection.h>
#include <masticlever/net/stream-socket.h>

#include <event-loop.h>

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>

using namespace masticlever;
using namespace masticlever::http1;
using test::runUntil;

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;
const std::string request = "GET / HTTP/1.1\r\nHost: site.example\r\n\r\n";

/// Accepts one connection and writes to it with blocking calls.
class raw_server
{
public:
    raw_server()
    {
        runUntil([] { return true; });
        m_port = m_listener.listen({loopback, 0}, 1).value();
    }
    ~raw_server() { close(); }

    net::socket_address address() const { return {loopback, m_port}; }
    bool waitForConnection()
    {
        return runUntil([&] { return m_descriptor >= 0; });
    }
    void write(std::string_view bytes)
    {
        REQUIRE(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    }
    void close()
    {
        if (m_descriptor >= 0) {
            ::shutdown(m_descriptor, SHUT_WR); // in order, although the request was not read
            ::close(m_descriptor);
            m_descriptor = -1;
        }
    }
    void finish() { ::shutdown(m_descriptor, SHUT_WR); }

private:
    int m_descriptor = -1;
    net::listener m_listener{[this](int descriptor) { m_descriptor = descriptor; }};
    std::uint16_t m_port = 0;
};

class recording_handler final : public exchange_handler
{
public:
    bool onHead(const message_head &head) override
    {
        status = head.status;
        return true;
    }
    void onBody(std::string_view bytes) override { body += bytes; }
    void onEnd() override { isWhole = true; }
    void onFailure(exchange_failure /*failure*/) override { isFailed = true; }

    int status = 0;
    std::string body;
    bool isWhole = false;
    bool isFailed = false;
};

} // namespace

// Guards against an answer that was cut off, above all within its head, and is taken for a whole one.
TEST_CASE("A response that is cut off by an orderly close is not complete")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-First: r1\r\nX-Second: 3e1b\r\n";
    const bool isSecondExchange = GENERATE(false, true);
    const bool isAfterInterim = GENERATE(false, true);
    std::string response;
    std::size_t shortestWhole = 0;

    SECTION("with a length")
    {
        response = head + "Content-Length: 10\r\n\r\n0123456789";
        shortestWhole = response.size();
    }
    SECTION("in chunks")
    {
        response = head + "Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5;a=b\r\n56789\r\n0\r\nX-Trailer: x\r\n\r\n";
        shortestWhole = response.size();
    }
    SECTION("without either, except after its head")
    {
        response = head + "\r\n0123456789";
        shortestWhole = head.size() + 2;
    }
    for (std::size_t size = 0; size <= response.size(); ++size) {
        INFO("cut after " << size << " bytes");
        raw_server server;
        client_connection connection(server.address(), {}, {});
        if (isSecondExchange) {
            recording_handler first;
            connection.start(request, "", false, first);
            REQUIRE(server.waitForConnection());
            server.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            REQUIRE(runUntil([&] { return first.isWhole; }));
        }
        recording_handler handler;
        connection.start(request, "", false, handler);
        REQUIRE(server.waitForConnection());
        server.write((isAfterInterim ? "HTTP/1.1 100 Continue\r\n\r\n" : "") + response.substr(0, size));
        server.finish();
        REQUIRE(runUntil([&] { return handler.isWhole || handler.isFailed; }));
        CHECK(handler.isWhole == (size >= shortestWhole));
        CHECK(handler.isFailed != handler.isWhole);
        CHECK((handler.status == 200) == (size >= response.find("\r\n\r\n") + 4));
    }
}
