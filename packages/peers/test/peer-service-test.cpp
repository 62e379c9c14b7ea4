#include <masticlever/common/errors.h>
#include <masticlever/peers/codec.h>
#include <masticlever/peers/peer-service.h>

#include <QByteArray>
#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QHostAddress>
#include <QTcpSocket>
#include <QUdpSocket>

#include <catch2/catch.hpp>

#include <functional>

using namespace masticlever::peers;
using namespace masticlever::membership;
using masticlever::common::duration;
using masticlever::common::instant;
using masticlever::platform::log_batch;
using masticlever::platform::log_offset;

namespace
{

const std::string key = "a key that all daemons share";

bool waitFor(const std::function<bool()> &condition)
{
    const QDeadlineTimer deadline(std::chrono::seconds(30));
    while (!condition() && !deadline.hasExpired()) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 50);
    }
    return condition();
}

instant steadyNow()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

instance_notice makeNotice(const std::string &name, std::uint16_t port)
{
    instance_notice notice;
    notice.name = name;
    notice.incarnation = name + "-1";
    notice.peerAddress = "127.0.0.1:" + std::to_string(port);
    return notice;
}

peer_settings makeSettings()
{
    peer_settings settings;
    settings.listenAddress = "127.0.0.1:0";
    settings.key = key;
    settings.gossip.interval = std::chrono::milliseconds(100);
    settings.catchUp.behindFor = std::chrono::milliseconds(100);
    return settings;
}

/// The parts of a daemon that take part: membership table, records and peer service.
struct test_daemon {
    explicit test_daemon(const std::string &name, log_offset applied = 0)
        : lastApplied(applied), table({}, makeNotice(name, 0)),
          service(makeSettings(), table,
                  {[this](log_offset from, std::size_t limit) { return recordsFrom(from, limit); },
                   [this](const log_batch &batch) { return apply(batch); }, nullptr, nullptr,
                   [this](std::error_code, std::uint64_t) { ++reports; }})
    {
        port = service.listen().value();
        table.setSelf(makeNotice(name, port));
        service.setState(true, applied);
    }

    masticlever::common::result<log_batch> recordsFrom(log_offset from, std::size_t limit) const
    {
        log_batch batch{1, lastApplied + 1, {}};
        for (log_offset offset = from; offset <= lastApplied && batch.records.size() < limit; ++offset) {
            batch.records.push_back({offset, {}, "record " + std::to_string(offset)});
        }
        return batch;
    }

    log_offset apply(const log_batch &batch)
    {
        for (const auto &record : batch.records) {
            const bool isNext = record.offset == lastApplied + 1;
            const bool isWhole = record.payload == "record " + std::to_string(record.offset);
            lastApplied = isNext && isWhole ? record.offset : lastApplied;
        }
        service.setState(true, lastApplied);
        return lastApplied;
    }

    log_offset lastApplied;
    std::uint16_t port = 0;
    int reports = 0;
    membership_table table;
    peer_service service;
};

void introduce(test_daemon &one, test_daemon &other)
{
    one.table.onNotice(other.table.self(), steadyNow());
}

} // namespace

TEST_CASE("two daemons discover each other over loopback")
{
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    test_daemon first("first", 700);
    test_daemon second("second");
    introduce(second, first);
    REQUIRE(waitFor([&] { return first.table.isLive("second-1", steadyNow()); }));

    SECTION("a daemon that lacks records gets them from the other")
    {
        CHECK(waitFor([&] { return second.lastApplied == 700; }));
        CHECK(first.service.counters().recordRequestsServed >= 2);
        CHECK(second.service.counters().recordRequestsFailed == 0);
    }

    SECTION("a leaving endpoint is announced to the peer")
    {
        second.service.announceEndpointLeaving({"10.0.0.1:80", "e"});
        CHECK(waitFor([&] { return first.table.isEndpointLeaving("10.0.0.1:80"); }));
    }

    SECTION("a leaving instance is announced to the peer")
    {
        second.service.announceLeaving();
        CHECK(waitFor([&] {
            const auto live = first.table.liveInstances(steadyNow());
            return live.size() == 2 && live[1].leaving;
        }));
    }
}

TEST_CASE("invalid messages are dropped and counted")
{
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    test_daemon target("target", 5);
    const peer_counters &counters = target.service.counters();
    QUdpSocket sender;
    const auto send = [&](const std::string &bytes) {
        sender.writeDatagram(QByteArray::fromStdString(bytes), QHostAddress(QHostAddress::LocalHost), target.port);
    };
    gossip_message message;
    message.sender = makeNotice("sender", sender.localPort());
    message.sender.heartbeat = 3;

    SECTION("malformed, forged and oversized datagrams")
    {
        send("garbage");
        send(std::string(1400, '\1'));
        send(encodeDatagram(message, "not the key of the fleet").value());
        CHECK(waitFor([&] { return target.service.counters().datagramsReceived == 3; }));
        CHECK(counters.refusedMalformed == 1);
        CHECK(counters.refusedTooLarge == 1);
        CHECK(counters.refusedUnauthenticated == 1);
        CHECK(target.table.size() == 0);
    }

    SECTION("a flood of datagrams, with reports limited in rate")
    {
        for (int i = 0; i < 200; ++i) {
            send("garbage");
        }
        CHECK(waitFor([&] { return target.service.counters().refusedMalformed == 200; }));
        CHECK(target.reports >= 1);
        CHECK(target.reports < 50);
    }

    SECTION("a duplicate datagram")
    {
        const std::string datagram = encodeDatagram(message, key).value();
        send(datagram);
        send(datagram);
        CHECK(waitFor([&] { return target.service.counters().datagramsReceived == 2; }));
        CHECK(counters.refusedRepeated == 1);
        CHECK(target.table.isLive("sender-1", steadyNow()));
    }

    SECTION("a request replayed from another connection")
    {
        QTcpSocket honest;
        honest.connectToHost(QHostAddress(QHostAddress::LocalHost), target.port);
        REQUIRE(waitFor([&] { return honest.bytesAvailable() == qint64{challengeBytes}; }));
        const std::string challenge = honest.readAll().toStdString();
        const auto request = QByteArray::fromStdString(encodeRequest({1, 10}, key, challenge).value());
        honest.write(request);
        CHECK(waitFor([&] { return target.service.counters().recordRequestsServed == 1; }));

        QTcpSocket replay;
        replay.connectToHost(QHostAddress(QHostAddress::LocalHost), target.port);
        replay.write(request);
        CHECK(waitFor([&] { return counters.refusedUnauthenticated == 1; }));
        CHECK(target.service.counters().recordRequestsServed == 1);
    }

    SECTION("a frame with a length of gigabytes")
    {
        QTcpSocket socket;
        socket.connectToHost(QHostAddress(QHostAddress::LocalHost), target.port);
        socket.write("\x7f\xff\xff\xff");
        CHECK(waitFor([&] { return counters.refusedTooLarge == 1; }));
        CHECK(waitFor([&] { return socket.state() == QAbstractSocket::UnconnectedState; }));
    }
}

TEST_CASE("a service does not start without a valid key and address")
{
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    membership_table table({}, makeNotice("only", 0));
    peer_settings settings = makeSettings();

    SECTION("a short key")
    {
        settings.key = "short";
        CHECK(peer_service(settings, table, {}).listen().error() == masticlever::common::error::malformed);
    }

    SECTION("a host name instead of an IP address")
    {
        settings.listenAddress = "localhost:0";
        CHECK(peer_service(settings, table, {}).listen().error() == masticlever::common::error::malformed);
    }
}
