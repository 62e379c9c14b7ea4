#include "fake-endpoint.h"

#include "generation.h"

#include <QJsonDocument>
#include <QUrlQuery>

#include <algorithm>

namespace masticlever::fakes
{

namespace
{

constexpr int prefixBytes = 256;
constexpr int cachedPrefillDivisor = 10;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;

} // namespace

void fake_endpoint::onRequest(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const QString path = request.url().path();
    if (path.startsWith(u"/admin/")) {
        onAdmin(request, socket, path.section(u'/', -1));
    } else if (request.method() == QHttpServerRequest::Method::Post) {
        onCall(request, socket);
    } else {
        onStatusQuery(request, socket);
    }
}

void fake_endpoint::onAdmin(const QHttpServerRequest &request, QTcpSocket *socket, const QString &action)
{
    const QJsonObject body = jsonBody(request);
    if (action == u"counters") {
        write(socket, jsonResponse(counters()));
        return;
    }
    if (action == u"leave") {
        m_isLeaving = true;
    } else if (action == u"faults") {
        m_fault.mode = parseFaultMode(body.value(u"mode").toString());
        m_fault.delayMs = body.value(u"delay_ms").toInt(fault().delayMs);
        m_fault.tokens = body.value(u"tokens").toInt(fault().tokens);
        m_faultsLeft = body.value(u"count").toInt(1);
    }
    write(socket, jsonResponse({}));
}

void fake_endpoint::onStatusQuery(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const QString key = request.query().queryItemValue(QStringLiteral("run"), QUrl::FullyDecoded);
    run_record &run = m_runs[key.toUtf8()];
    run.fencing = std::max(run.fencing, request.value("Masticlever-Fencing").toLongLong());
    QJsonObject answer{{QStringLiteral("state"), QStringLiteral("not_known")}};
    if (run.isDone) {
        answer = {{QStringLiteral("state"), QStringLiteral("done")}, {QStringLiteral("result"), run.result}};
    } else if (run.running > 0) {
        answer[u"state"] = QStringLiteral("running");
    }
    response result = jsonResponse(answer);
    result.headers += commonHeaders();
    write(socket, result);
}

void fake_endpoint::onCall(const QHttpServerRequest &request, QTcpSocket *socket)
{
    const call_request parsed = parse(request);
    ++m_calls;
    if (refuseCall(request, parsed, socket)) {
        return;
    }
    if (!parsed.idempotencyKey.isEmpty()) {
        ++m_runs[parsed.idempotencyKey].calls;
    }
    if (parsed.injectedFault.mode == fault_mode::close_after_read) {
        close(socket);
    } else {
        enqueue(parsed, socket);
    }
}

call_request fake_endpoint::parse(const QHttpServerRequest &request)
{
    call_request parsed;
    parsed.stage = m_options.stage;
    parsed.request = jsonBody(request).value(u"request").toObject();
    parsed.callId = request.value("Masticlever-Call-Id");
    parsed.idempotencyKey = request.value("Idempotency-Key");
    parsed.priority = request.value("Masticlever-Priority").toInt();
    parsed.isStream = request.value("Accept").contains("text/event-stream");
    parsed.injectedFault = nextFault(parsed.request);
    return parsed;
}

fault fake_endpoint::nextFault(const QJsonObject &request)
{
    if (m_faultsLeft > 0) {
        --m_faultsLeft;
        return m_fault;
    }
    fault chosen;
    chosen.mode = parseFaultMode(request.value(u"fault").toObject().value(m_options.stage).toString());
    chosen.delayMs = request.value(u"fault_delay_ms").toInt(chosen.delayMs);
    return chosen;
}

bool fake_endpoint::refuseCall(const QHttpServerRequest &request, const call_request &parsed, QTcpSocket *socket)
{
    header_list headers = commonHeaders();
    headers.emplaceBack("Masticlever-Call-Id", parsed.callId);
    headers.emplaceBack("Masticlever-Run", "no");
    if (parsed.injectedFault.mode == fault_mode::refuse) {
        write(socket, {statusUnavailable, {}, headers});
        return true;
    }
    if (parsed.idempotencyKey.isEmpty()) {
        return false;
    }
    run_record &run = m_runs[parsed.idempotencyKey];
    const qint64 fencing = request.value("Masticlever-Fencing").toLongLong();
    if (m_options.checksFencing && fencing < run.fencing) {
        write(socket, {statusConflict, {}, headers});
        return true;
    }
    run.fencing = std::max(run.fencing, fencing);
    return false;
}

void fake_endpoint::enqueue(const call_request &parsed, QTcpSocket *socket)
{
    auto *call = new fake_call(parsed, socket, this);
    connect(call, &fake_call::finished, this, [this, call] { onFinished(call); });
    connect(call, &fake_call::closed, this, [this, call](bool isCancelled) { onClosed(call, isCancelled); });
    if (!parsed.idempotencyKey.isEmpty()) {
        ++m_runs[parsed.idempotencyKey].running;
    }
    ++m_inFlight;
    m_maxInFlight = std::max(m_maxInFlight, m_inFlight);
    const auto hasLowerPriority = [&](const fake_call *other) { return other->request().priority < parsed.priority; };
    m_queue.insert(std::find_if(m_queue.begin(), m_queue.end(), hasLowerPriority), call);
    startQueued();
}

void fake_endpoint::onFinished(fake_call *call)
{
    ++m_finished;
    const QByteArray &key = call->request().idempotencyKey;
    if (!key.isEmpty()) {
        run_record &run = m_runs[key];
        --run.running;
        run.isDone = true;
        run.result = call->result();
    }
    if (call->isClosed()) {
        call->deleteLater();
    }
}

/// A cancelled call with an idempotency key keeps running. Its slot is released at once, for simplicity.
void fake_endpoint::onClosed(fake_call *call, bool isCancelled)
{
    --m_inFlight;
    m_cancelled += isCancelled ? 1 : 0;
    std::erase(m_running, call);
    const bool outlivesCaller = !call->request().idempotencyKey.isEmpty();
    if (isCancelled && !call->isRunning() && outlivesCaller) {
        call->start({m_options.tokensPerSecond, m_options.serviceMs}, {}, m_calls);
    }
    std::erase(m_queue, call);
    if (!outlivesCaller || !isCancelled) {
        call->deleteLater();
    }
    startQueued();
}

void fake_endpoint::startQueued()
{
    while (!m_queue.empty() && static_cast<int>(m_running.size()) < m_options.slotCount) {
        fake_call *call = m_queue.front();
        m_queue.pop_front();
        m_running.push_back(call);
        call->start({m_options.tokensPerSecond, prefillMs(call->request().request)}, commonHeaders(), m_calls);
    }
}

int fake_endpoint::prefillMs(const QJsonObject &request)
{
    if (m_options.prefixCacheSize == 0) {
        return m_options.serviceMs;
    }
    const QByteArray prompt = request.value(u"prompt").toString().toUtf8();
    const QByteArray prefix = sha256(prompt.left(prefixBytes));
    const bool isHit = m_prefixes.remove(prefix) > 0;
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > m_options.prefixCacheSize) {
        m_prefixes.pop_back();
    }
    return isHit ? m_options.serviceMs / cachedPrefillDivisor : m_options.serviceMs;
}

header_list fake_endpoint::commonHeaders() const
{
    header_list headers{
        {"Masticlever-Load", QByteArray::number(m_inFlight) + ";age_ms=0"},
        {"Masticlever-Incarnation", m_options.incarnation},
    };
    if (m_isLeaving) {
        headers.emplaceBack("Masticlever-State", "leaving");
    }
    return headers;
}

QJsonObject fake_endpoint::counters() const
{
    QJsonObject byKey;
    for (const auto &[key, run] : m_runs) {
        if (run.calls > 0) {
            byKey[QString::fromUtf8(key)] = run.calls;
        }
    }
    return {
        {QStringLiteral("calls"), m_calls},         {QStringLiteral("finished"), m_finished},
        {QStringLiteral("cancelled"), m_cancelled}, {QStringLiteral("in_flight"), m_inFlight},
        {QStringLiteral("by_key"), byKey},          {QStringLiteral("max_in_flight"), m_maxInFlight},
    };
}

} // namespace masticlever::fakes
