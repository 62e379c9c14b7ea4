#include <masticlever/telemetry/tracing.h>

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QObject>
#include <QString>
#include <QTimer>
#include <QUrl>

#include <algorithm>
#include <deque>
#include <utility>

namespace masticlever::telemetry
{

namespace
{

class null_exporter : public span_exporter
{
public:
    void record(span_record /*span*/) override { }
    std::uint64_t lost() const override { return 0; }
};

class otlp_exporter : public span_exporter
{
public:
    otlp_exporter(otlp_options options, trace_resource resource);

    void record(span_record span) override;
    std::uint64_t lost() const override { return m_lost; }

private:
    void sendBatch();
    void onFinished(QNetworkReply *reply, std::size_t spans);

    otlp_options m_options;
    trace_resource m_resource;
    std::deque<span_record> m_queue;
    std::uint64_t m_lost = 0;
    bool m_isRequestInFlight = false;
    QNetworkAccessManager m_network;
    QTimer m_timer;
};

otlp_exporter::otlp_exporter(otlp_options options, trace_resource resource)
    : m_options(std::move(options)), m_resource(std::move(resource))
{
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { sendBatch(); });
    m_timer.start(m_options.interval);
}

void otlp_exporter::record(span_record span)
{
    if (!span.context.sampled) {
        return;
    }
    if (m_queue.size() >= m_options.queueLimit) {
        ++m_lost;
        return;
    }
    m_queue.push_back(std::move(span));
    if (m_queue.size() >= m_options.batchLimit) {
        sendBatch();
    }
}

void otlp_exporter::sendBatch()
{
    if (m_isRequestInFlight || m_queue.empty()) {
        return;
    }
    const auto count = std::min(m_queue.size(), m_options.batchLimit);
    const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(count);
    const std::vector<span_record> batch(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(end));
    m_queue.erase(m_queue.begin(), end);
    QNetworkRequest request(QUrl(QString::fromStdString(m_options.url)));
    request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
    request.setTransferTimeout(static_cast<int>(m_options.timeout.count()));
    QNetworkReply *reply = m_network.post(request, QByteArray::fromStdString(otlpJson(batch, m_resource)));
    m_isRequestInFlight = true;
    QObject::connect(reply, &QNetworkReply::finished, &m_timer, [this, reply, count] { onFinished(reply, count); });
}

void otlp_exporter::onFinished(QNetworkReply *reply, std::size_t spans)
{
    m_isRequestInFlight = false;
    if (reply->error() != QNetworkReply::NoError) {
        m_lost += spans;
    }
    reply->deleteLater();
    if (m_queue.size() >= m_options.batchLimit) {
        sendBatch();
    }
}

} // namespace

std::unique_ptr<span_exporter> makeSpanExporter(otlp_options options, trace_resource resource)
{
    if (options.url.empty()) {
        return std::make_unique<null_exporter>();
    }
    return std::make_unique<otlp_exporter>(std::move(options), std::move(resource));
}

} // namespace masticlever::telemetry
