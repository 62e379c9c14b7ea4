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

/// Answers the first \p answered POSTs of a connection, reads the next one and closes.
class closing_server
{
public:
    explicit closing_server(int answered) : m_answered(answered)
    {
        m_server.listen(QHostAddress::LocalHost);
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
    }

    QUrl url() const { return QUrl(QStringLiteral("http://127.0.0.1:%1/order").arg(m_server.serverPort())); }
    int seen() const { return m_seen; }

private:
    void accept()
    {
        QTcpSocket *socket = m_server.nextPendingConnection();
        auto text = std::make_shared<QByteArray>();
        auto left = std::make_shared<int>(m_answered);
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, text, left] {
            *text += socket->readAll();
            if (!text->endsWith("BODY")) {
                return;
            }
            ++m_seen;
            text->clear();
            if (--*left < 0) {
                socket->disconnectFromHost();
                return;
            }
            socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
    }

    QTcpServer m_server;
    int m_answered;
    int m_seen = 0;
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

TEST_CASE("a server reads a POST and closes without an answer")
{
    application();

    SECTION("on a fresh connection it sees each POST once")
    {
        closing_server server(0);
        for (int i = 1; i <= repetitions; ++i) {
            QNetworkAccessManager manager;
            CHECK(post(manager, server.url()) != QNetworkReply::NoError);
            REQUIRE(server.seen() == i);
        }
    }

    SECTION("on a kept-alive connection it sees each POST once")
    {
        closing_server server(1);
        for (int i = 1; i <= repetitions; ++i) {
            QNetworkAccessManager manager;
            CHECK(post(manager, server.url()) == QNetworkReply::NoError);
            CHECK(post(manager, server.url()) != QNetworkReply::NoError);
            REQUIRE(server.seen() == 2 * i);
        }
    }

    SECTION("one manager for many such servers' connections sends each POST once")
    {
        closing_server server(1);
        QNetworkAccessManager manager;
        for (int i = 1; i <= repetitions; ++i) {
            post(manager, server.url());
            REQUIRE(server.seen() == i);
        }
    }
}
