#include "fake-platform.h"

#include <QUrlQuery>

#include <algorithm>
#include <utility>

namespace masticlever::fakes
{

namespace
{

constexpr qint64 maxPayloadBytes = 1 << 20;
constexpr qint64 maxBatchBytes = 4 << 20;
constexpr int statusTooLarge = 413;
constexpr int statusNotFound = 404;

qint64 nowMs()
{
    return QDateTime::currentMSecsSinceEpoch();
}

response unavailable()
{
    constexpr int status = 503;
    return {status, {}, {{"Masticlever-Applied", "no"}}};
}

qint64 queryNumber(const QHttpServerRequest &request, const QString &name, qint64 fallback)
{
    const QString text = request.query().queryItemValue(name);
    return text.isEmpty() ? fallback : text.toLongLong();
}

} // namespace

void fake_platform::onRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const QStringList parts = request.url().path().split(u'/', Qt::SkipEmptyParts);
    if (parts.size() == 4 && parts[1] == u"logs" && parts[3] == u"records") {
        onLog(request, socket, parts[2]);
    } else if (parts.size() >= 2 && parts[1] == u"instances") {
        onInstances(request, socket);
    } else if (parts == QStringList{QStringLiteral("v1"), QStringLiteral("traces")}) {
        onTraces(request, socket);
    } else if (parts.size() == 2 && parts[0] == u"admin") {
        onAdmin(request, socket, parts[1]);
    } else {
        write(socket, jsonResponse({}, statusNotFound));
    }
}

void fake_platform::onLog(const QHttpServerRequest &request, QTcpSocket *socket, const QString &name)
{
    const QByteArray client = request.value("Masticlever-Instance");
    if (m_faults.disconnected.contains(client)) {
        close(socket);
    } else if (m_faults.isLogDown) {
        write(socket, unavailable());
    } else if (request.method() == QHttpServerRequest::Method::Post) {
        append(name, request.body(), socket);
    } else {
        const qint64 until = nowMs() + queryNumber(request, QStringLiteral("wait_ms"), 0);
        const qint64 from = std::max<qint64>(1, queryNumber(request, QStringLiteral("from"), 1));
        read({name, client, from, queryNumber(request, QStringLiteral("limit"), 1), until, socket});
    }
}

void fake_platform::append(const QString &name, const QByteArray &payload, QTcpSocket *socket)
{
    if (payload.size() > maxPayloadBytes) {
        write(socket, jsonResponse({}, statusTooLarge));
        return;
    }
    ++m_logs[name].arrived;
    if (m_faults.lateAppendsMs > 0) {
        QTimer::singleShot(m_faults.lateAppendsMs, this, [this, name, payload] { store(name, payload); });
        close(socket);
        return;
    }
    const auto finish = [this, name, payload, target = QPointer(socket)] {
        const qint64 offset = store(name, payload);
        if (m_faults.answersToLose > 0) {
            --m_faults.answersToLose;
            close(target);
            return;
        }
        write(target, jsonResponse({{QStringLiteral("offset"), offset}}));
    };
    if (m_faults.appendDelayMs > 0) {
        QTimer::singleShot(m_faults.appendDelayMs, this, finish);
    } else {
        finish();
    }
}

qint64 fake_platform::store(const QString &name, const QByteArray &payload)
{
    log &target = m_logs[name];
    const qint64 offset = target.end();
    target.records.push_back({offset, nowMs(), payload});
    ++target.appends;
    m_bytesAppended += payload.size();
    trim(target);
    serveWaitingReads();
    return offset;
}

void fake_platform::trim(log &target) const
{
    while (static_cast<qint64>(target.records.size()) > m_options.retentionRecords) {
        target.records.pop_front();
        ++target.head;
    }
}

void fake_platform::read(const waiting_read &query)
{
    log &source = m_logs[query.log];
    ++source.reads;
    if (query.from < source.end() || query.untilMs <= nowMs()) {
        write(query.socket, readResponse(query));
        return;
    }
    m_waitingReads.push_back(query);
    QTimer::singleShot(query.untilMs - nowMs() + 1, this, [this] { serveWaitingReads(); });
}

response fake_platform::readResponse(const waiting_read &query)
{
    const log &source = m_logs[query.log];
    QJsonArray records;
    qint64 bytes = 0;
    for (qint64 offset = std::max(query.from, source.head); offset < source.end(); ++offset) {
        const record &each = source.records[static_cast<std::size_t>(offset - source.head)];
        bytes += each.payload.size();
        if (records.size() >= query.limit || (bytes > maxBatchBytes && !records.isEmpty())) {
            break;
        }
        records.append(QJsonObject{{QStringLiteral("offset"), each.offset},
                                   {QStringLiteral("appended_at_ms"), each.appendedAtMs},
                                   {QStringLiteral("payload"), QString::fromLatin1(each.payload.toBase64())}});
        m_bytesRead += each.payload.size();
    }
    return jsonResponse({{QStringLiteral("head"), source.head},
                         {QStringLiteral("end"), source.end()},
                         {QStringLiteral("records"), records}});
}

/// Answers the waiting reads that have records, have reached their wait limit, or are affected by an injected fault.
void fake_platform::serveWaitingReads()
{
    for (const waiting_read &each : std::exchange(m_waitingReads, {})) {
        if (each.socket.isNull()) {
            continue;
        }
        if (m_faults.disconnected.contains(each.client)) {
            close(each.socket);
        } else if (m_faults.isLogDown) {
            write(each.socket, unavailable());
        } else if (each.from < m_logs[each.log].end() || each.untilMs <= nowMs()) {
            write(each.socket, readResponse(each));
        } else {
            m_waitingReads.push_back(each);
        }
    }
}

void fake_platform::onInstances(const QHttpServerRequest &request, QTcpSocket *socket)
{
    if (m_faults.isListDown) {
        write(socket, unavailable());
        return;
    }
    if (request.method() == QHttpServerRequest::Method::Put) {
        newListVersion()[request.url().path().section(u'/', -1)] = jsonBody(request);
        write(socket, jsonResponse({}));
        return;
    }
    write(socket, jsonResponse({{QStringLiteral("instances"), visibleList()}}));
}

std::map<QString, QJsonObject> &fake_platform::newListVersion()
{
    auto instances = m_lists.empty() ? std::map<QString, QJsonObject>() : m_lists.back().instances;
    const qint64 visibleFrom = nowMs() - m_options.listLagMs;
    while (m_lists.size() > 1 && m_lists[1].atMs <= visibleFrom) {
        m_lists.erase(m_lists.begin());
    }
    m_lists.push_back({nowMs(), std::move(instances)});
    return m_lists.back().instances;
}

QJsonArray fake_platform::visibleList() const
{
    const qint64 visibleFrom = nowMs() - m_options.listLagMs;
    QJsonArray list;
    for (auto version = m_lists.rbegin(); version != m_lists.rend(); ++version) {
        if (version->atMs <= visibleFrom) {
            for (const auto &[incarnation, instance] : version->instances) {
                list.append(instance);
            }
            break;
        }
    }
    return list;
}

void fake_platform::onTraces(const QHttpServerRequest &request, QTcpSocket *socket)
{
    constexpr int maxSpans = 10'000;
    for (const auto &resource : jsonBody(request).value(u"resourceSpans").toArray()) {
        for (const auto &scope : resource.toObject().value(u"scopeSpans").toArray()) {
            for (const auto &span : scope.toObject().value(u"spans").toArray()) {
                if (m_spans.size() < maxSpans) {
                    m_spans.append(span);
                }
            }
        }
    }
    write(socket, jsonResponse({}));
}

void fake_platform::onAdmin(const QHttpServerRequest &request, QTcpSocket *socket, const QString &action)
{
    const QJsonObject body = jsonBody(request);
    if (action == u"counters") {
        write(socket, jsonResponse(counters()));
        return;
    }
    if (action == u"traces") {
        write(socket, jsonResponse({{QStringLiteral("spans"), m_spans}}));
        return;
    }
    if (action == u"knobs") {
        setFaults(body);
    } else if (action == u"leave" || action == u"forget") {
        auto &instances = newListVersion();
        for (auto each = instances.begin(); each != instances.end();) {
            const bool isMatch = each->second.value(u"address") == body.value(u"address");
            if (isMatch && action == u"forget") {
                each = instances.erase(each);
                continue;
            }
            if (isMatch) {
                each->second[u"state"] = QStringLiteral("leaving");
            }
            ++each;
        }
    }
    write(socket, jsonResponse({}));
}

void fake_platform::setFaults(const QJsonObject &values)
{
    const auto assign = [&values](QStringView name, auto &setting) {
        if (values.contains(name)) {
            setting
                = static_cast<std::remove_reference_t<decltype(setting)>>(values.value(name).toVariant().toLongLong());
        }
    };
    assign(u"log_outage", m_faults.isLogDown);
    assign(u"list_outage", m_faults.isListDown);
    assign(u"lose_answers", m_faults.answersToLose);
    assign(u"late_appends_ms", m_faults.lateAppendsMs);
    assign(u"append_delay_ms", m_faults.appendDelayMs);
    assign(u"retention_records", m_options.retentionRecords);
    assign(u"list_lag_ms", m_options.listLagMs);
    if (values.contains(u"cut")) {
        m_faults.disconnected.clear();
        for (const auto &name : values.value(u"cut").toArray()) {
            m_faults.disconnected.insert(name.toString().toUtf8());
        }
    }
    for (auto &[name, each] : m_logs) {
        trim(each);
    }
    serveWaitingReads();
}

QJsonObject fake_platform::counters() const
{
    QJsonObject appends;
    QJsonObject arrived;
    QJsonObject reads;
    for (const auto &[name, each] : m_logs) {
        appends[name] = each.appends;
        arrived[name] = each.arrived;
        reads[name] = each.reads;
    }
    return {{QStringLiteral("appends"), appends},
            {QStringLiteral("arrived"), arrived},
            {QStringLiteral("reads"), reads},
            {QStringLiteral("bytes"),
             QJsonObject{{QStringLiteral("appended"), m_bytesAppended}, {QStringLiteral("read"), m_bytesRead}}}};
}

} // namespace masticlever::fakes
