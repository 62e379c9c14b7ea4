#include <masticlever/http/single-send.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QHostAddress>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTcpServer>
#include <QTcpSocket>
#include <QUrl>

#include <catch2/catch.hpp>

#include <memory>

using namespace masticlever::http;

namespace
{

QCoreApplication &application()
{
    static int argc = 1;
    static char name[] = "test";
    static char *argv[] = {name, nullptr};
    static QCoreApplication instance(argc, argv);
    return instance;
}

/// Responds to the first \p answeredPosts POSTs of a connection, reads the next one and closes the connection.
class closing_server
{
public:
    explicit closing_server(int answeredPosts) : m_answeredPosts(answeredPosts)
    {
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
    }

    QUrl url() const { return QUrl(QStringLiteral("http://127.0.0.1:%1/order").arg(m_server.serverPort())); }
    int receivedPosts() const { return m_receivedPosts; }

private:
    void accept()
    {
        QTcpSocket *socket = m_server.nextPendingConnection();
        auto received = std::make_shared<QByteArray>();
        auto remaining = std::make_shared<int>(m_answeredPosts);
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, received, remaining] {
            *received += socket->readAll();
            if (!received->endsWith("BODY")) {
                return;
            }
            ++m_receivedPosts;
            received->clear();
            if (--*remaining < 0) {
                socket->disconnectFromHost();
                return;
            }
            socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
    }

    QTcpServer m_server;
    int m_answeredPosts;
    int m_receivedPosts = 0;
};

QNetworkReply::NetworkError post(QNetworkAccessManager &manager, const QUrl &url)
{
    QNetworkRequest request(url);
    request.setHeader(QNetworkRequest::ContentTypeHeader, QByteArray("text/plain"));
    const std::unique_ptr<QNetworkReply> reply(postOnce(manager, request, "the BODY"));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    return reply->error();
}

constexpr int repetitions = 100;

} // namespace

TEST_CASE("a server reads a POST and closes without a response")
{
    application();

    SECTION("on a new connection it receives each POST once")
    {
        closing_server server(0);
        for (int i = 1; i <= repetitions; ++i) {
            QNetworkAccessManager manager;
            CHECK(post(manager, server.url()) != QNetworkReply::NoError);
            REQUIRE(server.receivedPosts() == i);
        }
    }

    SECTION("on a kept-alive connection it receives each POST once")
    {
        closing_server server(1);
        for (int i = 1; i <= repetitions; ++i) {
            QNetworkAccessManager manager;
            CHECK(post(manager, server.url()) == QNetworkReply::NoError);
            CHECK(post(manager, server.url()) != QNetworkReply::NoError);
            REQUIRE(server.receivedPosts() == 2 * i);
        }
    }

    SECTION("one manager with many such connections sends each POST once")
    {
        closing_server server(1);
        QNetworkAccessManager manager;
        for (int i = 1; i <= repetitions; ++i) {
            post(manager, server.url());
            REQUIRE(server.receivedPosts() == i);
        }
    }
}
