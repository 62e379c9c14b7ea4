#include "engines.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include <utility>

namespace review
{

using masticlever::http1::answerText;
using masticlever::http1::header_field;
using masticlever::http1::message_head;

namespace
{

constexpr milliseconds heartbeatInterval{1200};

QJsonObject toObject(const std::string &text)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

std::string toText(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::vector<std::string> splitList(const std::string &list)
{
    std::vector<std::string> items;
    for (std::size_t begin = 0; begin < list.size();) {
        const std::size_t end = std::min(list.find(',', begin), list.size());
        items.push_back(list.substr(begin, end - begin));
        begin = end + 1;
    }
    return items;
}

} // namespace

engine::engine(deployment &site, std::string id, std::string service)
    : m_site(site), m_id(std::move(id)), m_service(std::move(service)),
      m_server([this](const exchange_pointer &exchange) { dispatch(exchange); })
{ }

void engine::dispatch(const exchange_pointer &exchange)
{
    const std::string expected = exchange->field("Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        exchange->answer(421, "", {{"Instance-Id", m_id}, {"Request-Id", exchange->field("Request-Id")}});
    } else if (exchange->path() == "/healthz") {
        exchange->answer(200, "", {{"Instance-Id", m_id}});
    } else if (exchange->path() == "/masticlever/report" && !report().empty()) {
        exchange->answer(200, report(), {{"Content-Type", "application/json"}});
    } else {
        onRequest(exchange);
    }
}

void engine::start()
{
    m_address = m_server.listen();
    checkIn();
}

void engine::crashFor(milliseconds time)
{
    m_isCrashed = true;
    m_server.stop();
    QTimer::singleShot(time, &m_timers, [this] {
        const std::size_t colon = m_address.find(':');
        const std::string address
            = m_server.listen(static_cast<std::uint16_t>(std::stoul(m_address.substr(colon + 1))));
        m_address = address.empty() ? m_server.listen() : address;
        m_isCrashed = false;
        m_bornMs += 1 + static_cast<double>(m_site.record.elapsed());
        m_sequence = 0;
        checkIn();
    });
}

void engine::checkIn()
{
    if (m_isCrashed) {
        return;
    }
    const QJsonObject entry{{QStringLiteral("service"), QString::fromStdString(m_service)},
                            {QStringLiteral("addr"), QString::fromStdString(m_address)},
                            {QStringLiteral("zone"), QString::fromStdString(m_site.dataCentre)},
                            {QStringLiteral("version"), QStringLiteral("v1")},
                            {QStringLiteral("slots"), 64},
                            {QStringLiteral("state"), QStringLiteral("ready")},
                            {QStringLiteral("cold_left_ms"), 0},
                            {QStringLiteral("seq"), static_cast<qint64>(++m_sequence)},
                            {QStringLiteral("born"), m_bornMs}};
    m_site.platformStore.put("keyed.servers", m_id, toText(entry));
    QTimer::singleShot(heartbeatInterval, &m_timers, [this] { checkIn(); });
}

std::vector<header_field> engine::answerFields(const std::string &requestId, bool isSigned) const
{
    std::vector<header_field> fields;
    if (!requestId.empty()) {
        fields.push_back({"Request-Id", requestId});
    }
    if (isSigned) {
        fields.push_back({"Server-Signature", "3e1b." + m_id + "." + requestId});
    }
    fields.push_back({"Keep-Alive", "timeout=5"});
    return fields;
}

void plain_engine::onRequest(const exchange_pointer &exchange)
{
    const std::string requestId = exchange->field("Request-Id");
    ++runs[requestId];
    m_site.record.add("engine " + m_id + " runs " + requestId);
    QTimer::singleShot(serviceTime, &m_timers, [this, exchange, requestId] {
        const int status = statusOf(requestId);
        m_site.record.add("engine " + m_id + " answers " + requestId + " with " + std::to_string(status));
        exchange->answer(status, status == 200 ? "done " + requestId : "failed", answerFields(requestId, true));
    });
}

std::string model_engine::report() const
{
    return R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"queued":0,)"
           R"("running":0,"kv_used":0,"kv_total":232000,"handles":0,"state":"ready","runs":[]})";
}

void model_engine::onRequest(const exchange_pointer &exchange)
{
    const std::string requestId = exchange->field("Request-Id");
    if (exchange->head().find("Inputs") == nullptr) {
        auto fields = answerFields(requestId, false);
        fields.push_back({"Not-Executed", "1"});
        exchange->answer(400, "", fields);
        return;
    }
    const std::vector<std::string> inputs = splitList(exchange->field("Inputs"));
    const bool areAllThere = std::ranges::all_of(inputs, [&](const std::string &handle) {
        const auto found = m_results.find(handle);
        return found != m_results.end() && found->second.until > clock::now();
    });
    if (!areAllThere) {
        m_site.record.add("engine " + m_id + " answers " + requestId + " with 409: an input is gone");
        auto fields = answerFields(requestId, false);
        fields.push_back({"Not-Executed", "1"});
        exchange->answer(409, "", fields);
        return;
    }
    ++runs[requestId];
    std::string list;
    for (const std::string &handle : inputs) {
        const stage_result &result = m_results.at(handle);
        const bool isForeign = result.requestId != requestId;
        foreignInputs += isForeign ? 1 : 0;
        list += " " + handle + (isForeign ? " (made for " + result.requestId + ")" : "");
    }
    m_site.record.add("engine " + m_id + " runs " + requestId + " after event '" + exchange->field("Last-Event-Id")
                      + "' with inputs" + list);
    const std::size_t broken = breakAfter(requestId);
    QTimer::singleShot(prefillTime, &m_timers, [this, exchange, requestId, broken] {
        message_head head;
        head.status = 200;
        head.fields = answerFields(requestId, true);
        head.fields.push_back({"Content-Type", "text/event-stream"});
        head.fields.push_back({"Transfer-Encoding", "chunked"});
        exchange->write(answerText(head));
        const std::string last = exchange->field("Last-Event-Id");
        sendEvent(exchange, last.empty() ? 1 : std::stoul(last) + 1, broken);
    });
}

void model_engine::sendEvent(const exchange_pointer &exchange, std::size_t number, std::size_t lastBeforeBreak)
{
    if (!exchange->isOpen()) {
        return;
    }
    const std::string requestId = exchange->field("Request-Id");
    if (lastBeforeBreak > 0 && number > lastBeforeBreak) {
        m_site.record.add("engine " + m_id + " breaks off the stream of " + requestId + " before event "
                          + std::to_string(number));
        exchange->reset();
        return;
    }
    if (number > events) {
        exchange->write(masticlever::http1::lastChunk);
        return;
    }
    exchange->write(masticlever::http1::chunkText("id: " + std::to_string(number) + "\ndata: " + requestId + " "
                                                  + std::to_string(number) + "\n\n"));
    QTimer::singleShot(eventInterval, &m_timers,
                       [this, exchange, number, lastBeforeBreak] { sendEvent(exchange, number + 1, lastBeforeBreak); });
}

std::string stage_engine::report() const
{
    const std::size_t queued = m_calls.empty() ? 0 : m_calls.size() - 1;
    return R"({"queued":)" + std::to_string(queued) + R"(,"busy":)" + (m_calls.empty() ? "false" : "true")
        + R"(,"free_mb":18})";
}

/// Calls in progress, calls that wait, and slots.
std::string stage_engine::load() const
{
    const std::size_t queued = m_calls.empty() ? 0 : m_calls.size() - 1;
    return std::to_string(m_calls.empty() ? 0 : 1) + "," + std::to_string(queued) + ",1";
}

void stage_engine::onRequest(const exchange_pointer &exchange)
{
    if (exchange->path() == "/masticlever/stage-free") {
        for (const auto &handle : toObject(exchange->body()).value(QStringLiteral("handles")).toArray()) {
            m_results.erase(handle.toString().toStdString());
        }
        exchange->answer(200, "", answerFields(exchange->field("Request-Id"), false));
        return;
    }
    if (m_calls.size() > m_limits.queue) {
        auto fields = answerFields(exchange->field("Request-Id"), false);
        fields.push_back({"Not-Executed", "1"});
        exchange->answer(503, "", fields);
        return;
    }
    m_calls.push_back(exchange);
    if (m_calls.size() == 1) {
        startCall();
    }
}

void stage_engine::startCall()
{
    while (!m_calls.empty() && !m_calls.front()->isOpen()) {
        m_calls.pop_front();
    }
    if (m_calls.empty()) {
        return;
    }
    const auto items = toObject(m_calls.front()->body()).value(QStringLiteral("items")).toArray();
    const auto time = m_limits.callTime + m_limits.pieceTime * items.size();
    QTimer::singleShot(std::chrono::duration_cast<milliseconds>(time), &m_timers, [this] { endCall(); });
}

std::string stage_engine::makeResults(const exchange_pointer &exchange)
{
    QJsonArray answered;
    std::string list;
    for (const auto &value : toObject(exchange->body()).value(QStringLiteral("items")).toArray()) {
        const QJsonObject item = value.toObject();
        const std::string requestId = item.value(QStringLiteral("id")).toString().toStdString();
        const auto stage = static_cast<std::size_t>(item.value(QStringLiteral("stage")).toInteger());
        const auto piece = static_cast<std::size_t>(item.value(QStringLiteral("piece")).toInteger());
        m_workedUntil[requestId] = clock::now();
        bool isGone = false;
        for (const auto &input : item.value(QStringLiteral("inputs")).toArray()) {
            const auto found = m_results.find(input.toString().toStdString());
            isGone = isGone || found == m_results.end();
        }
        list += " " + requestId + "/" + std::to_string(stage) + "/" + std::to_string(piece);
        const bool isFailing = failsPieces();
        if (isFailing || isGone) {
            list += isGone ? "=gone" : "=error";
            answered.append(
                QJsonObject{{QStringLiteral("reason"), isGone ? QStringLiteral("gone") : QStringLiteral("error")}});
            continue;
        }
        const std::string handle = m_address + "/" + m_id + std::to_string(++m_lastResult);
        m_results[handle] = {requestId, stage, piece, clock::now() + m_limits.resultLifetime};
        answered.append(QJsonObject{{QStringLiteral("handle"), QString::fromStdString(handle)}});
        list += "=" + handle;
    }
    m_site.record.add("engine " + m_id + " makes pieces" + list);
    return toText({{QStringLiteral("items"), answered}});
}

bool stage_engine::hasWorkedOn(const std::string &requestId, milliseconds time) const
{
    const auto ended = m_workedUntil.find(requestId);
    const bool isRecent = ended != m_workedUntil.end() && clock::now() - ended->second <= time;
    return isRecent || std::ranges::any_of(m_calls, [&](const exchange_pointer &call) {
               return call->body().find('"' + requestId + '"') != std::string::npos;
           });
}

void stage_engine::endCall()
{
    const exchange_pointer exchange = m_calls.front();
    m_calls.pop_front();
    const std::string body = makeResults(exchange);
    const auto answer = [&](const std::string &requestId, const std::string &text) {
        auto fields = answerFields(requestId, false);
        fields.push_back({"Server-Load", load()});
        fields.push_back({"Content-Type", "application/json"});
        exchange->answer(200, text, fields);
    };
    if (auto late = m_lateAnswers.extract(exchange->connectionNumber())) {
        m_site.record.add("engine " + m_id + " sends an earlier answer once more: " + late.mapped().second);
        ++repeatedAnswers;
        answer(late.mapped().first, late.mapped().second);
    }
    answer(exchange->field("Request-Id"), body);
    if (repeatsAnswer()) {
        m_lateAnswers[exchange->connectionNumber()] = {exchange->field("Request-Id"), body};
    }
    startCall();
}

} // namespace review
