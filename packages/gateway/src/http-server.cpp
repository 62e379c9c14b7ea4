#include "detail/caller-registry.h"

#include <masticlever/gateway/http-server.h>

#include <QFile>
#include <QHostAddress>
#include <QHttpServerRequest>
#include <QIODevice>
#include <QSslCertificate>
#include <QSslConfiguration>
#include <QSslKey>
#include <QSslSocket>
#include <QString>
#include <QStringList>
#include <QTcpServer>
#include <QUrl>
#include <QUrlQuery>

#include <sys/socket.h>

#include <optional>
#include <utility>

namespace masticlever::gateway
{

namespace
{

constexpr int receiveBufferBytes = 65536;

std::string methodOf(const QHttpServerRequest &request)
{
    switch (request.method()) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Put:
        return "PUT";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    default:
        return "OTHER";
    }
}

http_request readRequest(const QHttpServerRequest &request)
{
    http_request parsed;
    parsed.method = methodOf(request);
    const QStringList segments = request.url().path(QUrl::FullyEncoded).split(QLatin1Char('/'), Qt::SkipEmptyParts);
    for (const QString &segment : segments) {
        parsed.path.push_back(QUrl::fromPercentEncoding(segment.toUtf8()).toStdString());
    }
    parsed.body = request.body();
    parsed.header = [headers = request.headers()](const char *name) {
        for (const auto &[key, value] : headers) {
            if (key.compare(name, Qt::CaseInsensitive) == 0) {
                return value;
            }
        }
        return QByteArray();
    };
    parsed.query = [query = request.query()](const char *name) {
        return query.queryItemValue(QLatin1StringView(name), QUrl::FullyDecoded).toStdString();
    };
    return parsed;
}

/// Half of the descriptors for one address, as a load balancer may be the only peer, and five eighths for all leave the
/// rest for endpoints, the platform and other instances.
net::connection_limits connectionLimits()
{
    const std::size_t descriptors = net::descriptorLimit();
    return {descriptors / 2, descriptors / 8 * 5};
}

QByteArray readFile(const std::string &path)
{
    QFile file(QString::fromStdString(path));
    return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

} // namespace

class http_server::listener : public QTcpServer
{
public:
    explicit listener(const server_options &options)
        : m_options(options), m_registry(connectionLimits(), options.callerMemoryBytes)
    { }

    void onAnswered(const QTcpSocket *socket) { m_registry.onAnswered(socket); }

    std::string loadCertificate()
    {
        if (m_options.certificateFile.empty()) {
            return {};
        }
        const QList<QSslCertificate> chain = QSslCertificate::fromData(readFile(m_options.certificateFile));
        const QByteArray keyData = readFile(m_options.privateKeyFile);
        QSslKey key(keyData, QSsl::Rsa);
        if (key.isNull()) {
            key = QSslKey(keyData, QSsl::Ec);
        }
        if (chain.isEmpty() || key.isNull()) {
            return "certificate_file or private_key_file holds no usable PEM data";
        }
        QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
        configuration.setLocalCertificateChain(chain);
        configuration.setPrivateKey(key);
        configuration.setPeerVerifyMode(QSslSocket::VerifyNone);
        configuration.setProtocol(QSsl::TlsV1_2OrLater);
        m_tlsConfiguration = configuration;
        return {};
    }

protected:
    void incomingConnection(qintptr handle) override
    {
        QTcpSocket *socket = nullptr;
        if (m_tlsConfiguration) {
            auto *tlsSocket = new QSslSocket(this);
            tlsSocket->setSslConfiguration(*m_tlsConfiguration);
            socket = tlsSocket;
        } else {
            socket = new QTcpSocket(this);
        }
        socket->setSocketDescriptor(handle);
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        m_registry.add(socket, {m_options.bodyLimitBytes, m_options.idleTimeout});
        if (socket->state() != QAbstractSocket::ConnectedState) {
            socket->deleteLater(); // there are too many, and all others are in use
            return;
        }
        if (m_tlsConfiguration) {
            static_cast<QSslSocket *>(socket)->startServerEncryption();
        }
        addPendingConnection(socket);
    }

private:
    server_options m_options;
    detail::caller_registry m_registry;
    std::optional<QSslConfiguration> m_tlsConfiguration;
};

http_server::http_server(server_options options, handler handle)
    : m_options(std::move(options)), m_handler(std::move(handle)), m_listener(std::make_unique<listener>(m_options))
{ }

http_server::~http_server() = default;

std::string http_server::start()
{
    const std::string error = m_listener->loadCertificate();
    if (!error.empty()) {
        return error;
    }
    const QHostAddress host(QString::fromStdString(m_options.address.host));
    if (!m_listener->listen(host, m_options.address.port)) {
        return m_options.address.toString() + ": " + m_listener->errorString().toStdString();
    }
    // Accepted connections inherit it. It bounds what arrives before the guard of a connection can reject it.
    const int receiveBuffer = receiveBufferBytes;
    static_cast<void>(::setsockopt(static_cast<int>(m_listener->socketDescriptor()), SOL_SOCKET, SO_RCVBUF,
                                   &receiveBuffer, sizeof(receiveBuffer)));
    // bind() makes the listener a child of the server, but m_listener owns it.
    bind(m_listener.get());
    m_listener->setParent(nullptr);
    return {};
}

std::uint16_t http_server::port() const
{
    return m_listener->serverPort();
}

std::string http_server::reloadCertificate()
{
    return m_listener->loadCertificate();
}

bool http_server::handleRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    if (m_activeSockets.contains(socket)) {
        // Pipelined requests are not supported: their answers could not be distinguished.
        socket->abort();
        return true;
    }
    http_request parsed = readRequest(request);
    const bool keepAlive = parsed.header("Connection").compare("close", Qt::CaseInsensitive) != 0;
    auto *httpExchange = new exchange(socket, std::move(parsed), keepAlive);
    m_activeSockets.insert(socket);
    connect(httpExchange, &exchange::finished, this, [this, socket] {
        m_activeSockets.erase(socket);
        m_listener->onAnswered(socket);
    });
    m_handler(*httpExchange);
    return true;
}

void http_server::missingHandler(const QHttpServerRequest & /*request*/, QTcpSocket *socket)
{
    socket->abort();
}

} // namespace masticlever::gateway
