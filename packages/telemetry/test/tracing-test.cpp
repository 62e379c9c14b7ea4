#include <masticlever/telemetry/tracing.h>

#include <QByteArray>
#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QHostAddress>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpServer>
#include <QTcpSocket>

#include <catch2/catch.hpp>

#include <functional>

using namespace masticlever::telemetry;

namespace
{

constexpr std::string_view example = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

span_record makeSpan()
{
    span_record span;
    span.context = newTrace(1, 2, 3);
    span.parent = span_id{1};
    span.name = "stage rank";
    span.start = span_time(std::chrono::microseconds(5));
    span.end = span_time(std::chrono::microseconds(7));
    span.attributes.push_back({"attempt", std::int64_t{2}});
    return span;
}

bool waitFor(const std::function<bool()> &condition)
{
    const QDeadlineTimer deadline(std::chrono::seconds(20));
    while (!condition() && !deadline.hasExpired()) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 50);
    }
    return condition();
}

} // namespace

TEST_CASE("trace contexts are propagated in the traceparent header")
{
    const auto context = parseTraceparent(example);
    REQUIRE(context.has_value());
    CHECK(context.value().sampled);
    CHECK(formatTraceparent(context.value()) == example);

    SECTION("a child keeps the trace id")
    {
        const trace_context child = childOf(context.value(), 0);
        CHECK(child.trace == context.value().trace);
        CHECK(parseTraceparent(formatTraceparent(child)).value() == child);
    }

    SECTION("invalid headers are malformed")
    {
        CHECK_FALSE(parseTraceparent("").has_value());
        CHECK_FALSE(parseTraceparent("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01").has_value());
        CHECK_FALSE(parseTraceparent("00-00000000000000000000000000000000-b7ad6b7169203331-01").has_value());
        CHECK_FALSE(parseTraceparent("ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01").has_value());
        CHECK_FALSE(parseTraceparent(std::string(example) + "-more").has_value());
    }

    SECTION("ids are never zero")
    {
        CHECK(parseTraceparent(formatTraceparent(newTrace(0, 0, 0))).has_value());
    }
}

TEST_CASE("spans are encoded as OTLP JSON")
{
    const span_record spans[] = {makeSpan()};
    const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(otlpJson(spans, {"n1", "i1", "hawick"})));
    const auto entry = body[u"resourceSpans"][0][u"scopeSpans"][0][u"spans"][0];
    CHECK(entry[u"traceId"].toString() == u"00000000000000010000000000000002");
    CHECK(entry[u"parentSpanId"].toString() == u"0100000000000000");
    CHECK(entry[u"startTimeUnixNano"].toString() == u"5000");
    CHECK(entry[u"attributes"][0][u"value"][u"intValue"].toString() == u"2");
}

TEST_CASE("the exporter sends batches and counts lost spans")
{
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    QTcpServer collector;
    REQUIRE(collector.listen(QHostAddress::LocalHost));
    QByteArray received;
    QObject::connect(&collector, &QTcpServer::newConnection, &collector, [&] {
        QTcpSocket *socket = collector.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [&received, socket] {
            received += socket->readAll();
            if (received.endsWith("]}")) {
                socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            }
        });
    });
    otlp_options options;
    options.url = "http://127.0.0.1:" + std::to_string(collector.serverPort()) + "/v1/traces";
    options.interval = std::chrono::milliseconds(5);
    options.queueLimit = 2;

    SECTION("spans arrive at the collector")
    {
        const auto exporter = makeSpanExporter(options, {"n1", "i1", "hawick"});
        exporter->record(makeSpan());
        CHECK(waitFor([&] { return received.contains("stage rank"); }));
        CHECK(exporter->lost() == 0);
    }

    SECTION("spans over the queue limit are lost")
    {
        const auto exporter = makeSpanExporter(options, {});
        exporter->record(makeSpan());
        exporter->record(makeSpan());
        exporter->record(makeSpan());
        CHECK(exporter->lost() == 1);
    }

    SECTION("spans of a failed request are lost")
    {
        collector.close();
        const auto exporter = makeSpanExporter(options, {});
        exporter->record(makeSpan());
        CHECK(waitFor([&] { return exporter->lost() == 1; }));
    }

    SECTION("without a collector address spans are discarded and not counted")
    {
        const auto exporter = makeSpanExporter({}, {});
        exporter->record(makeSpan());
        CHECK(exporter->lost() == 0);
    }
}
