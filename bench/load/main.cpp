#include <QByteArray>
#include <QCoreApplication>
#include <QElapsedTimer>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <QTcpSocket>
#include <QTimer>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <vector>

/// \file
/// Sends streamed requests at a fixed rate for a bounded time and prints one JSON line of what came back.
/// usage: load-generator HOST:PORT PATH TOKEN REQUESTS_PER_SECOND SECONDS TOKENS_PER_REQUEST

namespace
{

constexpr int bytesPerToken = 5; ///< of the fake endpoint's text
constexpr std::size_t connectionLimit = 2000;

struct plan {
    QString host;
    quint16 port = 0;
    QByteArray path;
    QByteArray token;
    double rate = 1;
    double seconds = 1;
    int tokens = 10;
};

struct totals {
    std::vector<double> firstMs;
    std::vector<double> gapMs;
    qint64 textBytes = 0;
    int sent = 0;
    int whole = 0;
    int failed = 0;
    int overLimit = 0;
};

double quantile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + place, values.end());
    return values[static_cast<std::size_t>(place)];
}

/// One connection; it is used again after a whole answer.
class stream
{
public:
    stream(const plan &what, totals &sums, std::function<void(stream *)> onIdle)
        : m_plan(what), m_totals(sums), m_onIdle(std::move(onIdle))
    {
        QObject::connect(&m_socket, &QTcpSocket::readyRead, &m_socket, [this] { onReadyRead(); });
        QObject::connect(&m_socket, &QTcpSocket::disconnected, &m_socket, [this] { onClosed(); });
        m_socket.connectToHost(what.host, what.port);
        m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    }

    bool isBroken() const { return m_broken; }

    void send(int number)
    {
        const QByteArray prompt = "request " + QByteArray::number(number);
        const QByteArray inner
            = "{\"prompt\":\"" + prompt + "\",\"max_tokens\":" + QByteArray::number(m_plan.tokens) + '}';
        const bool isDirect = m_plan.token == "direct";
        const QByteArray body = isDirect ? "{\"request\":" + inner + ",\"results\":{}}" : inner;
        QByteArray request = "POST " + m_plan.path + " HTTP/1.1\r\nHost: bench\r\nAccept: text/event-stream\r\n";
        request += isDirect ? "Masticlever-Call-Id: bench-" + QByteArray::number(number) + "\r\n"
                            : "Authorization: Bearer " + m_plan.token + "\r\n";
        request += "Content-Type: application/json\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n";
        m_isBusy = true;
        m_buffer.clear();
        m_hasText = false;
        m_clock.start();
        m_socket.write(request + body);
        ++m_totals.sent;
    }

private:
    void onReadyRead()
    {
        const QByteArray bytes = m_socket.readAll();
        const double now = static_cast<double>(m_clock.nsecsElapsed()) / 1e6;
        if (bytes.contains("event: token")) {
            (m_hasText ? m_totals.gapMs : m_totals.firstMs).push_back(m_hasText ? now - m_lastMs : now);
            m_hasText = true;
            m_lastMs = now;
        }
        m_buffer += bytes;
        const bool isError = m_buffer.startsWith("HTTP/1.1") && !m_buffer.startsWith("HTTP/1.1 200");
        const qsizetype end = m_buffer.indexOf("event: end");
        const bool isOver = end >= 0 && m_buffer.indexOf("\n\n", end) >= 0;
        if (!isOver && !isError) {
            return;
        }
        m_isBusy = false;
        if (isError) {
            ++m_totals.failed;
        } else {
            const qsizetype length = m_buffer.indexOf("\"length\":", end);
            m_totals.textBytes += m_buffer.mid(length + 9, 12).split(',').first().split('}').first().toLongLong();
            ++m_totals.whole;
        }
        m_onIdle(this);
    }

    void onClosed()
    {
        m_broken = true;
        if (m_isBusy) {
            m_isBusy = false;
            ++m_totals.failed;
        }
    }

    const plan &m_plan;
    totals &m_totals;
    std::function<void(stream *)> m_onIdle;
    QTcpSocket m_socket;
    QElapsedTimer m_clock;
    QByteArray m_buffer;
    double m_lastMs = 0;
    bool m_hasText = false;
    bool m_isBusy = false;
    bool m_broken = false;
};

class generator
{
public:
    explicit generator(plan what) : m_plan(std::move(what))
    {
        QObject::connect(&m_tick, &QTimer::timeout, &m_tick, [this] { onTick(); });
        m_tick.setTimerType(Qt::PreciseTimer);
    }

    void start()
    {
        m_clock.start();
        m_tick.start(1);
    }

private:
    void onTick()
    {
        const double elapsed = static_cast<double>(m_clock.nsecsElapsed()) / 1e9;
        const int due = static_cast<int>(std::min(elapsed, m_plan.seconds) * m_plan.rate);
        while (m_totals.sent + m_totals.overLimit < due) {
            sendOne();
        }
        constexpr double graceSeconds = 8;
        const bool isAllBack = m_totals.whole + m_totals.failed == m_totals.sent;
        if ((elapsed > m_plan.seconds && isAllBack) || elapsed > m_plan.seconds + graceSeconds) {
            print();
            QCoreApplication::quit();
            m_tick.stop();
        }
    }

    void sendOne()
    {
        while (!m_idle.empty() && m_idle.back()->isBroken()) {
            m_idle.pop_back();
        }
        if (m_idle.empty()) {
            if (m_streams.size() == connectionLimit) {
                ++m_totals.overLimit;
                return;
            }
            m_streams.push_back(
                std::make_unique<stream>(m_plan, m_totals, [this](stream *one) { m_idle.push_back(one); }));
            m_idle.push_back(m_streams.back().get());
        }
        stream *one = m_idle.back();
        m_idle.pop_back();
        one->send(m_totals.sent);
    }

    void print()
    {
        const double tokens = static_cast<double>(m_totals.textBytes) / bytesPerToken;
        std::printf("{\"rate\":%.0f,\"sent\":%d,\"whole\":%d,\"failed\":%d,\"over_limit\":%d,\"tokens_per_s\":%.0f,"
                    "\"first_p50_ms\":%.2f,\"first_p95_ms\":%.2f,\"gap_p50_ms\":%.2f,\"gap_p95_ms\":%.2f}\n",
                    m_plan.rate, m_totals.sent, m_totals.whole, m_totals.failed, m_totals.overLimit,
                    tokens / m_plan.seconds, quantile(m_totals.firstMs, 0.5), quantile(m_totals.firstMs, 0.95),
                    quantile(m_totals.gapMs, 0.5), quantile(m_totals.gapMs, 0.95));
    }

    plan m_plan;
    totals m_totals;
    std::vector<std::unique_ptr<stream>> m_streams;
    std::vector<stream *> m_idle;
    QElapsedTimer m_clock;
    QTimer m_tick;
};

} // namespace

int main(int argc, char **argv)
{
    constexpr int argumentCount = 7;
    if (argc != argumentCount) {
        std::fputs("usage: load-generator HOST:PORT PATH TOKEN REQUESTS_PER_SECOND SECONDS TOKENS_PER_REQUEST\n",
                   stderr);
        return 2;
    }
    const QCoreApplication application(argc, argv);
    const QByteArrayList address = QByteArray(argv[1]).split(':');
    generator load({.host = QString::fromLatin1(address.value(0)),
                    .port = address.value(1).toUShort(),
                    .path = argv[2],
                    .token = argv[3],
                    .rate = QByteArray(argv[4]).toDouble(),
                    .seconds = QByteArray(argv[5]).toDouble(),
                    .tokens = QByteArray(argv[6]).toInt()});
    load.start();
    return QCoreApplication::exec();
}
