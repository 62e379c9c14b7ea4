#include <masticlever/common/errors.h>
#include <masticlever/platform/http-platform.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include <optional>

using namespace masticlever;
using namespace masticlever::platform;

namespace
{

/// Sends the same bytes in answer to every request and closes the connection; may send none at all.
class scripted_server
{
public:
    explicit scripted_server(QByteArray answer) : m_answer(std::move(answer))
    {
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] {
            QTcpSocket *socket = m_server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                m_request += socket->readAll();
                socket->write(m_answer);
                socket->disconnectFromHost();
            });
        });
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_server.serverPort()); }
    void stop() { m_server.close(); }
    const QByteArray &request() const { return m_request; }

private:
    QTcpServer m_server;
    QByteArray m_answer;
    QByteArray m_request;
};

QByteArray answer(const QByteArray &status, const QByteArray &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

template <typename T> T await(const std::optional<T> &value)
{
    constexpr int deadlineMs = 20'000;
    QElapsedTimer timer;
    timer.start();
    while (!value && timer.elapsed() < deadlineMs) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 100);
    }
    REQUIRE(value.has_value());
    return *value;
}

common::result<log_offset> append(scripted_server &server)
{
    const auto log = makeHttpLogService(server.url(), "hawick-1");
    std::optional<common::result<log_offset>> result;
    log->append("config", "record", [&](auto outcome) { result.emplace(outcome); });
    CHECK_FALSE(result.has_value());
    return await(result);
}

common::result<log_batch> read(scripted_server &server)
{
    const auto log = makeHttpLogService(server.url(), "hawick-1");
    std::optional<common::result<log_batch>> result;
    log->read("config", 3, 10, std::chrono::milliseconds(50), [&](auto outcome) { result.emplace(outcome); });
    return await(result);
}

common::result<std::vector<listed_instance>> fetch(scripted_server &server)
{
    const auto list = makeHttpInstanceList(server.url(), "hawick-1");
    std::optional<common::result<std::vector<listed_instance>>> result;
    list->fetch([&](auto outcome) { result.emplace(outcome); });
    return await(result);
}

} // namespace

TEST_CASE("HTTP clients of the platform")
{
    static int argc = 1;
    static char name[] = "test";
    static char *argv[] = {name, nullptr};
    const QCoreApplication application(argc, argv);

    SECTION("a successful append returns its offset")
    {
        scripted_server server(answer("200 OK", R"({"offset":7})"));
        CHECK(append(server).value() == 7);
        CHECK(server.request().startsWith("POST /v1/logs/config/records"));
        CHECK(server.request().toLower().contains("masticlever-instance: hawick-1"));
    }

    SECTION("an append is unavailable only if it certainly had no effect")
    {
        scripted_server stopped("");
        stopped.stop();
        CHECK(append(stopped).error() == common::error::unavailable);
        scripted_server rejecting("HTTP/1.1 503 Down\r\nMasticlever-Applied: no\r\nContent-Length: 0\r\n\r\n");
        CHECK(append(rejecting).error() == common::error::unavailable);
    }

    SECTION("any other failure of an append is a lost answer")
    {
        const QByteArray cases[] = {
            "",
            "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"offset\":7}",
            answer("503 Down", ""),
            answer("400 Bad", ""),
            answer("200 OK", "{}"),
            answer("200 OK", QByteArray(100'000, ' ')),
        };
        for (const QByteArray &httpAnswer : cases) {
            scripted_server server(httpAnswer);
            CHECK(append(server).error() == common::error::lost_answer);
        }
    }

    SECTION("a read returns the records between head and end")
    {
        scripted_server server(
            answer("200 OK",
                   R"({"head":3,"end":5,"records":[{"offset":3,"appended_at_ms":9,"payload":"YQ=="},)"
                   R"({"offset":4,"appended_at_ms":10,"payload":"YgA="}]})"));
        const log_batch batch = read(server).value();
        CHECK(server.request().startsWith("GET /v1/logs/config/records?from=3&limit=10&wait_ms=50"));
        CHECK((batch.head == 3 && batch.end == 5));
        REQUIRE(batch.records.size() == 2);
        CHECK(batch.records[1].payload == std::string("b\0", 2));
        CHECK(batch.records[1].appendedAt.time_since_epoch().count() == 10);
    }

    SECTION("a read with a gap or a broken payload is malformed")
    {
        scripted_server gap(
            answer("200 OK", R"({"head":3,"end":6,"records":[{"offset":3,"payload":""},{"offset":5,"payload":""}]})"));
        CHECK(read(gap).error() == common::error::malformed);
        scripted_server broken(answer("200 OK", R"({"head":3,"end":4,"records":[{"offset":3,"payload":"*"}]})"));
        CHECK(read(broken).error() == common::error::malformed);
    }

    SECTION("the instance list returns kind and state")
    {
        scripted_server server(answer(
            "200 OK", R"({"instances":[{"name":"e1","kind":"endpoint","state":"leaving","address":"127.0.0.1:1"}]})"));
        const auto list = fetch(server).value();
        REQUIRE(list.size() == 1);
        CHECK(list[0].kind == instance_kind::endpoint);
        CHECK(list[0].state == instance_state::leaving);

        SECTION("a list service that is down is unavailable")
        {
            server.stop();
            CHECK(fetch(server).error() == common::error::unavailable);
        }
    }
}
