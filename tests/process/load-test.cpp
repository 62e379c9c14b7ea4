#include "generation.h"
#include "scenario.h"

#include <QHostAddress>
#include <QJsonArray>
#include <QTcpSocket>
#include <QUdpSocket>

#include <catch2/catch.hpp>

using namespace masticlever;
using namespace masticlever::process;
using namespace Qt::Literals::StringLiterals;

namespace
{

struct socket_address {
    QHostAddress host;
    quint16 port = 0;
};

socket_address parseAddress(const QString &text)
{
    return {QHostAddress(text.section(u':', 0, 0)), text.section(u':', 1).toUShort()};
}

/// Sends bytes on a new connection and closes it.
void sendRaw(const QString &address, const QByteArray &bytes)
{
    QTcpSocket socket;
    const auto [host, port] = parseAddress(address);
    socket.connectToHost(host, port);
    REQUIRE(waitUntil([&] { return socket.state() == QAbstractSocket::ConnectedState; }));
    socket.write(bytes);
    waitUntil([&] { return socket.bytesToWrite() == 0 || socket.state() != QAbstractSocket::ConnectedState; });
    socket.abort();
}

bool canServe(fleet &setup, std::size_t index)
{
    const QJsonObject body = request(u"still serving"_s, 3);
    return completeText(*setup.run(index, u"advice"_s, body, {.stream = true})) == fakes::generatedText(body);
}

} // namespace

TEST_CASE("many concurrent callers", "[load]")
{
    const auto setup = adviceFleet(1).start();

    SECTION("32 streams to one endpoint run concurrently")
    {
        std::vector<http_call_ptr> streams;
        streams.reserve(32);
        for (int i = 0; i < 32; ++i) {
            streams.push_back(setup->send(0, u"advice"_s, request(u"lot %1"_s.arg(i), 400), {.stream = true}));
        }
        const auto inFlight = [&] { return setup->counters(u"generate-1"_s).value(u"in_flight").toInt(); };
        CHECK(waitUntil([&] { return inFlight() == 32; }));
        REQUIRE(waitForAll(streams));
        for (int i = 0; i < 32; ++i) {
            CHECK(completeText(*streams[static_cast<std::size_t>(i)])
                  == fakes::generatedText(request(u"lot %1"_s.arg(i), 400)));
        }
    }

    SECTION("after 1,000 callers disconnect, their calls are cancelled and the daemon still serves")
    {
        const QByteArray body = toJson(request(u"never read"_s, 4'000));
        for (int i = 0; i < 1'000; ++i) {
            sendRaw(setup->daemon(0).address(),
                    "POST /v1/pipelines/advice/runs HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + teamToken
                        + "\r\nAccept: text/event-stream\r\nIdempotency-Key: " + newKey()
                        + "\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body);
        }
        CHECK(waitUntil([&] { return setup->counters(u"generate-1"_s).value(u"in_flight").toInt() == 0; }));
        CHECK(canServe(*setup, 0));
    }
}

TEST_CASE("malformed, oversized and forged input", "[load]")
{
    const auto setup = adviceFleet(2).start();
    const QString address = setup->daemon(0).address();
    const auto post = [&](const QByteArray &body, const header_list &headers) {
        return setup->http().request("POST", address, u"/v1/pipelines/advice/runs"_s, body, headers)->status();
    };
    const QPair<QByteArray, QByteArray> token{"Authorization", "Bearer " + teamToken};

    SECTION("over HTTP, it gets an error status")
    {
        CHECK(post("{}", {}) == 401);
        CHECK(post("{}", {{"Authorization", "Bearer forged"}}) == 401);
        CHECK(post("{\"a\":", {token}) == 400);
        CHECK(post("{}", {token, {"Idempotency-Key", "not-a-uuid"}}) == 400);
        CHECK(post("{}", {token, {"Idempotency-Key", "0192f0c1-2a3b-4cde-8f01-23456789abcd"}}) == 400);
        CHECK(setup->run(0, u"no-such-pipeline"_s, {})->status() == 404);
        const header_list asCaller{token};
        CHECK(setup->http().request("GET", address, u"/v1/resources/team"_s, {}, asCaller)->status() == 401);
        const QByteArray spec = toJson(pipelineOf({stage(u"quote"_s)}));
        CHECK(setup->operatorRequest("PUT", u"/v1/resources/pipeline/p"_s, 0, spec)->status() == 400);
        CHECK(setup->put(u"pipeline"_s, u"p"_s, {{u"unknown_field"_s, 1}})->status() == 422);
        const QByteArray tooLarge(1 << 20, ' ');
        const int status = post(tooLarge, {token});
        CHECK((status == 413 || status == 0));
        CHECK(canServe(*setup, 0));
    }

    SECTION("on raw sockets, it affects only its own connection")
    {
        sendRaw(address, QByteArray(200'000, 'x'));
        sendRaw(address, "POST /v1/pipelines/advice/runs HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n");
        sendRaw(address, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffff\r\n");
        sendRaw(address, QByteArray("GET / HTTP/1.1\r\nX: ") + QByteArray(300'000, 'y'));
        sendRaw(address, QByteArray(1'000, '\0'));
        CHECK(canServe(*setup, 0));
    }

    SECTION("on the peers' port, it is dropped")
    {
        const auto list = setup->http().request("GET", setup->platform().address(), u"/v1/instances"_s)->json();
        for (const auto &each : list.value(u"instances").toArray()) {
            const QString peerAddress = each.toObject().value(u"peer_address").toString();
            if (peerAddress.isEmpty()) {
                continue;
            }
            const auto [host, port] = parseAddress(peerAddress);
            sendRaw(peerAddress, QByteArray(100'000, '\xff'));
            QUdpSocket socket;
            for (int size = 0; size < 1'400; size += 7) {
                socket.writeDatagram(QByteArray(size, static_cast<char>(size)), host, port);
            }
        }
        runEventLoopFor(std::chrono::milliseconds(200));
        CHECK(canServe(*setup, 0));
        CHECK(canServe(*setup, 1));
    }
}
