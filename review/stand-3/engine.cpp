#include "engine.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QString>
#include <QTimer>

#include <utility>

namespace review
{

namespace http1 = masticlever::http1;
using std::chrono::steady_clock;

namespace
{

std::string compact(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject objectOf(const std::string &text)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

std::vector<std::string> splitList(const std::string &list)
{
    std::vector<std::string> items;
    for (std::size_t at = 0; at < list.size();) {
        const std::size_t comma = std::min(list.find(',', at), list.size());
        items.push_back(list.substr(at, comma - at));
        at = comma + 1;
    }
    return items;
}

std::string joined(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items) {
        text += (text.empty() ? "" : ",") + item;
    }
    return text;
}

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

const stage_result *result_table::find(const std::string &handle) const
{
    const auto found = m_present.find(handle);
    return found == m_present.end() || found->second.expiresAt <= steady_clock::now() ? nullptr : &found->second;
}

const stage_result *result_table::findEver(const std::string &handle) const
{
    const auto found = m_ever.find(handle);
    return found == m_ever.end() ? nullptr : &found->second;
}

void result_table::add(const std::string &handle, const stage_result &result)
{
    m_ever[handle] = result;
    m_present[handle] = result;
}

void result_table::releaseAll(const std::string &maker)
{
    std::erase_if(m_present, [&](const auto &item) { return item.second.maker == maker; });
}

engine::engine(std::string id, kind what, std::string service, result_table &results, record &log)
    : m_id(std::move(id)), m_kind(what), m_service(std::move(service)), m_results(results), m_log(log),
      m_bornMs(unixMilliseconds()), m_server([this](const exchange_pointer &exchange) { onRequest(exchange); })
{ }

std::string engine::start()
{
    m_address = m_server.listen();
    return m_address;
}

void engine::crash()
{
    m_log.add(m_id + " crashes");
    m_server.stop();
    m_results.releaseAll(m_id);
}

std::string engine::entry(const std::string &state)
{
    return compact({{QStringLiteral("service"), QString::fromStdString(m_service)},
                    {QStringLiteral("addr"), QString::fromStdString(m_address)},
                    {QStringLiteral("zone"), QStringLiteral("west")},
                    {QStringLiteral("version"), QStringLiteral("v1")},
                    {QStringLiteral("slots"), m_kind == kind::stage ? 1 : 8},
                    {QStringLiteral("state"), QString::fromStdString(state)},
                    {QStringLiteral("cold_left_ms"), 0},
                    {QStringLiteral("seq"), static_cast<double>(++m_sequence)},
                    {QStringLiteral("born"), static_cast<double>(m_bornMs)}});
}

std::vector<http1::header_field> engine::fieldsFor(const exchange_pointer &exchange) const
{
    const std::string requestId = exchange->field("Request-Id");
    std::vector<http1::header_field> fields{{"Keep-Alive", keepAlive}};
    if (!requestId.empty()) {
        fields.push_back({"Request-Id", requestId});
    }
    return fields;
}

void engine::onRequest(const exchange_pointer &exchange)
{
    const bool isRelease = exchange->path() == "/masticlever/stage-free";
    if (!isRelease && exchange->field("Expect-Instance") != m_id) {
        auto fields = fieldsFor(exchange);
        fields.push_back({"Instance-Id", m_id});
        fields.push_back({"Not-Executed", "1"});
        exchange->answer(421, "", fields);
        return;
    }
    const bool isHandled = onAccepted && onAccepted(exchange);
    if (!isHandled && isRelease) {
        onRelease(exchange);
    } else if (!isHandled && exchange->path() == "/masticlever/stage-run") {
        onStageCall(exchange);
    } else if (!isHandled) {
        run(exchange);
    }
}

QJsonArray engine::itemsOf(const exchange_pointer &exchange)
{
    return objectOf(exchange->body()).value(QStringLiteral("items")).toArray();
}

QJsonArray engine::makePieces(const QJsonArray &items)
{
    QJsonArray made;
    for (const auto &value : items) {
        const QJsonObject item = value.toObject();
        bool isInputGone = false;
        for (const auto &input : item.value(QStringLiteral("inputs")).toArray()) {
            isInputGone = isInputGone || m_results.find(input.toString().toStdString()) == nullptr;
        }
        if (isInputGone) {
            made.append(QJsonObject{{QStringLiteral("reason"), QStringLiteral("gone")}});
            continue;
        }
        stage_result result;
        result.requestId = item.value(QStringLiteral("id")).toString().toStdString();
        result.stage = item.value(QStringLiteral("stage")).toInt();
        result.piece = item.value(QStringLiteral("piece")).toInt();
        result.maker = m_id;
        result.expiresAt = steady_clock::now() + resultLifetime;
        const std::string handle = m_address + "/" + m_id + "-" + std::to_string(++m_lastHandle);
        m_results.add(handle, result);
        made.append(QJsonObject{{QStringLiteral("handle"), QString::fromStdString(handle)}});
    }
    return made;
}

void engine::answerStageCall(const exchange_pointer &exchange, const QJsonArray &items)
{
    const std::string body = compact({{QStringLiteral("items"), items}});
    http1::message_head head;
    head.status = 200;
    head.fields = fieldsFor(exchange);
    head.fields.push_back({"Content-Type", "application/json"});
    head.fields.push_back({"Server-Load", "0,0,1"});
    head.fields.push_back({"Content-Length", std::to_string(body.size())});
    const std::string text = http1::answerText(head) + body;
    m_log.add(m_id + " answers " + body);
    exchange->write(text);
}

void engine::onStageCall(const exchange_pointer &exchange)
{
    calls.push_back(itemsOf(exchange));
    m_log.add(m_id + " is called on connection " + std::to_string(exchange->connectionNumber()) + " with "
              + exchange->body());
    QTimer::singleShot(workTime, &m_timers, [this, exchange, items = calls.back()] {
        if (exchange->isOpen()) {
            answerStageCall(exchange, makePieces(items));
        }
    });
}

void engine::onRelease(const exchange_pointer &exchange)
{
    m_log.add(m_id + " is to free " + exchange->body());
    for (const auto &handle : objectOf(exchange->body()).value(QStringLiteral("handles")).toArray()) {
        m_results.release(handle.toString().toStdString());
    }
    exchange->answer(200, "", fieldsFor(exchange));
}

void engine::run(const exchange_pointer &exchange)
{
    const std::string requestId = exchange->field("Request-Id");
    const std::vector<std::string> inputs = splitList(exchange->field("Inputs"));
    if (m_kind == kind::model) {
        int refusal = exchange->head().find("Inputs") == nullptr ? 400 : 0;
        for (const std::string &input : inputs) {
            refusal = m_results.find(input) == nullptr ? 409 : refusal;
        }
        if (refusal != 0) {
            auto fields = fieldsFor(exchange);
            fields.push_back({"Not-Executed", "1"});
            m_log.add(m_id + " does not run " + requestId + " with inputs " + joined(inputs) + ": "
                      + std::to_string(refusal));
            exchange->answer(refusal, "", fields);
            return;
        }
    }
    m_log.add(m_id + " runs " + requestId + (inputs.empty() ? "" : " with inputs " + joined(inputs)));
    runs.push_back({requestId, exchange->head().target, exchange->field("Tenant"), inputs, exchange->body().size(),
                    m_log.elapsed()});
    const auto time = workTimeOf ? workTimeOf(requestId) : workTime;
    QTimer::singleShot(time, &m_timers, [this, exchange, inputs] {
        if (!exchange->isOpen()) {
            return;
        }
        if (m_kind == kind::model) {
            answerStream(exchange, inputs);
        } else {
            answerPlain(exchange);
        }
    });
}

void engine::answerPlain(const exchange_pointer &exchange)
{
    const std::string requestId = exchange->field("Request-Id");
    auto fields = fieldsFor(exchange);
    fields.push_back({"Server-Signature", "sig-" + requestId});
    m_log.add(m_id + " answers " + requestId);
    exchange->answer(200, "answer to " + requestId, fields);
}

/// Sends one event for each input, which says what the input was made for.
void engine::answerStream(const exchange_pointer &exchange, const std::vector<std::string> &inputs)
{
    const std::string requestId = exchange->field("Request-Id");
    http1::message_head head;
    head.status = 200;
    head.fields = fieldsFor(exchange);
    head.fields.push_back({"Server-Signature", "sig-" + requestId});
    head.fields.push_back({"Content-Type", "text/event-stream"});
    head.fields.push_back({"Transfer-Encoding", "chunked"});
    std::string text = http1::answerText(head);
    int number = 0;
    for (const std::string &input : inputs) {
        const stage_result *result = m_results.findEver(input);
        text += http1::chunkText("id: " + std::to_string(++number) + "\ndata: made from data of "
                                 + (result == nullptr ? "nobody" : result->requestId) + "\n\n");
    }
    text += http1::lastChunk;
    m_log.add(m_id + " answers " + requestId);
    exchange->write(text);
}

} // namespace review
