#include <masticlever/http/manager-pool.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QNetworkReply>
#include <QTcpServer>
#include <QTcpSocket>
#include <QUrl>

#include <catch2/catch.hpp>

#include <vector>

using namespace masticlever::http;

TEST_CASE("many requests to one server are sent immediately")
{
    static int argc = 1;
    static char name[] = "test";
    static char *argv[] = {name, nullptr};
    const QCoreApplication application(argc, argv);
    constexpr int requests = 32;
    constexpr int deadlineMs = 10'000;

    QTcpServer server;
    server.listen(QHostAddress::LocalHost);
    int connections = 0;
    QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
        server.nextPendingConnection();
        ++connections;
    });

    manager_pool pool;
    const QNetworkRequest request(QUrl(QStringLiteral("http://127.0.0.1:%1/").arg(server.serverPort())));
    std::vector<QNetworkReply *> replies;
    replies.reserve(requests);
    for (int i = 0; i < requests; ++i) {
        replies.push_back(i % 2 == 0 ? pool.get(request) : pool.postOnce(request, "body"));
    }
    QElapsedTimer timer;
    timer.start();
    while (connections < requests && timer.elapsed() < deadlineMs) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 100);
    }
    CHECK(connections == requests);
    CHECK(pool.inFlight() == requests);

    SECTION("and count as in flight until they finish or are deleted")
    {
        replies[0]->abort();
        delete replies[1];
        CHECK(pool.inFlight() == requests - 2);
    }
}
