#include <masticlever/calls/http-call-client.h>

#include <event-loop.h>

#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace masticlever;
using namespace masticlever::calls;
using test::runUntil;

namespace
{

constexpr std::size_t megabyte = std::size_t{1} << 20;

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

class recording_observer final : public call_observer
{
public:
    void onCallText(const common::call_id & /*id*/, std::string_view /*text*/) override { }
    void onCallEnded(const common::call_id & /*id*/, const runs::call_end &end) override { ended.push_back(end); }
    void onEndpointReport(const endpoint_report & /*report*/) override { }
    void onAnswerDropped(drop_reason /*reason*/) override { }

    std::vector<runs::call_end> ended;
};

/// Writes \p begin once to each connection, then \p repeated until it is closed; closes in order if that is empty.
class raw_endpoint
{
public:
    raw_endpoint(const std::string &begin, const std::string &repeated)
    {
        runUntil([] { return true; });
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this, begin, repeated] {
            QTcpSocket *socket = m_server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, begin, repeated] {
                if (socket->readAll().isEmpty() || socket->property("answered").toBool()) {
                    return;
                }
                socket->setProperty("answered", true);
                socket->write(begin.data(), static_cast<qint64>(begin.size()));
                if (repeated.empty()) {
                    socket->disconnectFromHost();
                    return;
                }
                const auto writeMore = [this, socket, repeated] {
                    if (socket->bytesToWrite() < 65536) {
                        socket->write(repeated.data(), static_cast<qint64>(repeated.size()));
                        sentBytes += repeated.size();
                    }
                };
                QObject::connect(socket, &QTcpSocket::bytesWritten, socket, writeMore);
                writeMore();
            });
        });
        REQUIRE(m_server.listen(QHostAddress::LocalHost));
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.serverPort()); }

    std::size_t sentBytes = 0;

private:
    QTcpServer m_server;
};

runs::send_call callTo(const std::string &address)
{
    runs::send_call call;
    call.address = address;
    call.path = "/run";
    call.body = "{}";
    call.remaining = std::chrono::seconds(5);
    return call;
}

std::string headFor(const runs::send_call &call)
{
    return "HTTP/1.1 200 OK\r\nMasticlever-Call-Id: " + call.id.toString() + "\r\n";
}

} // namespace

// Guards against an answer that was cut off within its head and is taken for a whole one.
TEST_CASE("An answer to a call that is cut off by an orderly close is not complete")
{
    const runs::send_call prototype = callTo({});
    const std::string response = headFor(prototype) + "Content-Length: 4\r\n\r\n1234";
    for (std::size_t size = 1; size <= response.size(); ++size) {
        INFO("cut after " << size << " bytes");
        raw_endpoint endpoint(response.substr(0, size), {});
        recording_observer observer;
        const auto client = makeHttpCallClient(observer);
        client->send(callTo(endpoint.address()), {});
        REQUIRE(runUntil([&] { return !observer.ended.empty(); }));
        CHECK((observer.ended.front().status == runs::call_status::answered) == (size == response.size()));
    }
}

// Guards against a process that runs out of memory on bytes that an endpoint sends without end.
TEST_CASE("An answer to a call that does not end is given up within bounded memory", "[.endless]")
{
    const runs::send_call prototype = callTo({});
    const std::string block(32768, 'x');
    std::string begin;
    std::string repeated;
    SECTION("in a status line")
    {
        repeated = "HTTP/1.1 200 " + block;
    }
    SECTION("in a head")
    {
        begin = headFor(prototype);
        repeated = "X-Field: " + block + "\r\n";
    }
    SECTION("in one field")
    {
        begin = headFor(prototype) + "X-Field: ";
        repeated = block;
    }
    SECTION("in interim answers")
    {
        repeated = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    SECTION("in a body with a length")
    {
        begin = headFor(prototype) + "Content-Length: 1000000000000\r\n\r\n";
        repeated = block;
    }
    SECTION("in a body without one")
    {
        begin = headFor(prototype) + "\r\n";
        repeated = block;
    }
    SECTION("in a chunk header")
    {
        begin = headFor(prototype) + "Transfer-Encoding: chunked\r\n\r\n5;name=";
        repeated = block;
    }
    SECTION("in bytes that are no answer")
    {
        repeated = block;
    }
    raw_endpoint endpoint(begin, repeated);
    recording_observer observer;
    const auto client = makeHttpCallClient(observer);
    const std::size_t before = residentBytes();
    client->send(callTo(endpoint.address()), {});
    std::size_t peak = before;
    constexpr std::size_t limit = 96 * megabyte;
    runUntil([&] {
        peak = std::max(peak, residentBytes());
        return !observer.ended.empty() || peak - before > limit;
    });
    CHECK(peak - before < limit);
    REQUIRE(observer.ended.size() == 1);
    CHECK(observer.ended.front().status != runs::call_status::answered);
    CHECK(observer.ended.front().status != runs::call_status::refused);
    CHECK(observer.ended.front().status != runs::call_status::unsent);
}
