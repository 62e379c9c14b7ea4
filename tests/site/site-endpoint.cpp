#include "site-endpoint.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <QTimer>

#include <utility>

namespace masticlever::site
{

using fault = endpoint_behaviour::fault;

namespace
{

QJsonObject object(const std::string &text)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

std::string compact(const QJsonObject &value)
{
    return QJsonDocument(value).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

site_endpoint::site_endpoint(std::string id, kind what, std::string service, std::string dataCentre)
    : m_id(std::move(id)), m_kind(what), m_service(std::move(service)), m_dataCentre(std::move(dataCentre)),
      m_server([this](const exchange_pointer &exchange) { onRequest(exchange); })
{ }

std::string site_endpoint::start(std::uint16_t port)
{
    m_address = m_server.listen(port);
    return m_address;
}

std::string site_endpoint::registration(const std::string &state) const
{
    return compact({{QStringLiteral("service"), QString::fromStdString(m_service)},
                    {QStringLiteral("addr"), QString::fromStdString(publicAddress())},
                    {QStringLiteral("zone"), QString::fromStdString(m_dataCentre)},
                    {QStringLiteral("version"), QStringLiteral("v1")},
                    {QStringLiteral("slots"), 8},
                    {QStringLiteral("state"), QString::fromStdString(state)},
                    {QStringLiteral("cold_left_ms"), 0},
                    {QStringLiteral("seq"), state == "ready" ? 1 : 2},
                    {QStringLiteral("born"), 1700000000000.0}});
}

fault site_endpoint::takeFault()
{
    if (behaviour.kind == fault::none || behaviour.times == 0) {
        return fault::none;
    }
    --behaviour.times;
    return behaviour.kind;
}

std::vector<http1::header_field> site_endpoint::answerFields(const std::string &requestId) const
{
    return {{"Request-Id", requestId},
            {"Server-Signature", "sig-" + requestId},
            {"Keep-Alive", behaviour.keepAlive},
            {"Instance-Id", m_id}};
}

void site_endpoint::onRequest(const exchange_pointer &exchange)
{
    if (exchange->field("Expect-Instance") != m_id && exchange->path() != "/masticlever/stage-free") {
        exchange->answer(421, "", {{"Instance-Id", m_id}});
        return;
    }
    if (exchange->path() == "/masticlever/stage-run") {
        onStageRun(exchange);
    } else if (exchange->path() == "/masticlever/stage-free") {
        onStageFree(exchange);
    } else {
        run(exchange);
    }
}

void site_endpoint::run(const exchange_pointer &exchange)
{
    const std::string requestId = exchange->field("Request-Id");
    const fault met = takeFault();
    if (met == fault::reject || met == fault::gone_inputs) {
        exchange->answer(met == fault::reject ? 503 : 409, "", {{"Request-Id", requestId}, {"Not-Executed", "1"}});
        return;
    }
    if (m_kind == kind::model && exchange->head().find("Inputs") == nullptr) {
        ++badCalls;
    }
    if (exchange->head().find("Authorization") != nullptr || exchange->head().find("Deadline-Ms") == nullptr) {
        ++badCalls;
    }
    ++runs[requestId];
    ++open;
    heads.push_back(http1::requestText(exchange->head()));
    bodies.push_back(exchange->body());
    QTimer::singleShot(behaviour.work, &m_timers, [this, exchange, met] {
        if (!exchange->isOpen()) {
            --open;
            ++dropped;
        } else if (m_kind == kind::model) {
            stream(exchange, met);
        } else {
            --open;
            answerPlain(exchange, met);
        }
    });
}

void site_endpoint::answerPlain(const exchange_pointer &exchange, fault met)
{
    const std::string requestId = exchange->field("Request-Id");
    const std::string body = "answer to " + requestId;
    auto fields = answerFields(requestId);
    http1::message_head unframed;
    unframed.status = 200;
    unframed.fields = fields;
    switch (met) {
    case fault::error:
        exchange->answer(500, "failed", fields);
        return;
    case fault::reset_after_reading:
        exchange->reset();
        return;
    case fault::cut_body: {
        unframed.fields.push_back({"Content-Length", std::to_string(body.size())});
        exchange->write(http1::answerText(unframed) + body.substr(0, body.size() / 2));
        exchange->closeWhenSent();
        return;
    }
    case fault::unframed:
        exchange->write(http1::answerText(unframed) + body);
        exchange->closeWhenSent();
        return;
    case fault::unframed_reset:
        exchange->write(http1::answerText(unframed) + body.substr(0, body.size() / 2));
        QTimer::singleShot(std::chrono::milliseconds(20), &m_timers, [exchange] { exchange->reset(); });
        return;
    case fault::extra_answer:
        exchange->answer(200, body, fields);
        exchange->answer(200, "answer to nobody", answerFields("nobody"));
        return;
    case fault::stale_answer:
        exchange->answer(200, "answer to nobody", answerFields("nobody"));
        exchange->answer(200, body, fields);
        return;
    case fault::unsigned_answer:
        exchange->answer(200, body, {{"Request-Id", requestId}});
        return;
    case fault::garbage:
        exchange->write("\x01\x02\x03 this is no answer\r\n\r\n");
        return;
    case fault::silent:
        return;
    default:
        exchange->answer(200, body, fields);
    }
}

void site_endpoint::stream(const exchange_pointer &exchange, fault met)
{
    http1::message_head head;
    head.status = 200;
    head.fields = answerFields(exchange->field("Request-Id"));
    head.fields.push_back({"Content-Type", "text/event-stream"});
    head.fields.push_back({"Transfer-Encoding", "chunked"});
    exchange->write(http1::answerText(head));
    const std::string last = exchange->field("Last-Event-Id");
    sendEvent(exchange, last.empty() ? 1 : std::stoul(last) + 1, met);
}

void site_endpoint::sendEvent(const exchange_pointer &exchange, std::size_t number, fault met)
{
    if (!exchange->isOpen()) {
        --open;
        ++dropped;
        return;
    }
    const std::string text = "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n";
    if (met == fault::cut_event && number > behaviour.events / 2) {
        --open;
        exchange->write(http1::chunkText(text.substr(0, text.size() / 2)));
        exchange->closeWhenSent();
        return;
    }
    if (number > behaviour.events) {
        --open;
        exchange->write(http1::lastChunk);
        return;
    }
    exchange->write(http1::chunkText(text));
    QTimer::singleShot(behaviour.gap, &m_timers,
                       [this, exchange, number, met] { sendEvent(exchange, number + 1, met); });
}

void site_endpoint::onStageRun(const exchange_pointer &exchange)
{
    const fault met = takeFault();
    if (met == fault::reject) {
        exchange->answer(503, "", {{"Not-Executed", "1"}});
        return;
    }
    if (met == fault::silent) {
        return;
    }
    const QJsonArray items = object(exchange->body()).value(QStringLiteral("items")).toArray();
    calls.push_back(static_cast<std::size_t>(items.size()));
    QJsonArray answered;
    for (const auto &value : items) {
        const QJsonObject item = value.toObject();
        const bool hasKey = item.contains(QStringLiteral("key"));
        const bool hasInputs = !item.value(QStringLiteral("inputs")).toArray().isEmpty();
        badCalls += hasKey == hasInputs ? 1 : 0;
        if (met == fault::gone_inputs && hasInputs) {
            answered.append(QJsonObject{{QStringLiteral("reason"), QStringLiteral("gone")}});
            continue;
        }
        const std::string handle = publicAddress() + "/" + std::to_string(++m_lastResult);
        results.insert(handle);
        answered.append(QJsonObject{{QStringLiteral("handle"), QString::fromStdString(handle)}});
    }
    const std::string body = compact({{QStringLiteral("items"), answered}});
    QTimer::singleShot(behaviour.work, &m_timers, [exchange, body] {
        exchange->answer(200, body, {{"Server-Load", "0,0,1"}, {"Keep-Alive", "timeout=5"}});
    });
}

void site_endpoint::onStageFree(const exchange_pointer &exchange)
{
    for (const auto &value : object(exchange->body()).value(QStringLiteral("handles")).toArray()) {
        results.erase(value.toString().toStdString());
    }
    exchange->answer(200, "", {{"Keep-Alive", "timeout=5"}});
}

} // namespace masticlever::site
