#include "caller-sink.h"

#include <masticlever/common/json.h>
#include <masticlever/gateway/problem.h>

#include <QByteArray>
#include <QByteArrayView>

#include <utility>

namespace masticlever::gateway::detail
{

namespace
{

problem_kind problemKind(runs::disposition outcome)
{
    switch (outcome) {
    case runs::disposition::not_run:
        return problem_kind::not_run;
    case runs::disposition::unknown:
        return problem_kind::unknown;
    case runs::disposition::conflict:
        return problem_kind::conflict;
    case runs::disposition::answered:
    case runs::disposition::failed:
        break;
    }
    return problem_kind::failed;
}

} // namespace

caller_sink::caller_sink(exchange &httpExchange, std::string key, bool wantsStream)
    : m_exchange(&httpExchange), m_key(std::move(key)), m_wantsStream(wantsStream), m_digest(QCryptographicHash::Sha256)
{ }

void caller_sink::onText(std::string_view text)
{
    if (!m_exchange) {
        return;
    }
    if (!m_exchange->hasStarted()) {
        m_exchange->beginEvents();
    }
    m_length += text.size();
    m_digest.addData(QByteArrayView(text.data(), static_cast<qsizetype>(text.size())));
    m_exchange->sendEvent("token", "{\"text\":" + common::quoteJson(text) + '}');
}

void caller_sink::onReply(const runs::reply &reply)
{
    if (!m_exchange) {
        return;
    }
    if (reply.outcome != runs::disposition::answered) {
        sendProblem(reply);
    } else if (m_wantsStream) {
        endStream(reply);
    } else {
        sendResult(reply);
    }
}

void caller_sink::sendResult(const runs::reply &reply)
{
    std::string json = "{\"key\":" + common::quoteJson(m_key) + ",\"result\":";
    json += reply.isText ? common::quoteJson(reply.result) : reply.result;
    json += reply.replayed ? ",\"replayed\":true}" : "}";
    m_exchange->answerJson(200, json);
}

void caller_sink::endStream(const runs::reply &reply)
{
    if (m_length == 0 && !reply.result.empty()) {
        onText(reply.result);
    }
    if (!m_exchange->hasStarted()) {
        m_exchange->beginEvents();
    }
    std::string json = "{\"key\":" + common::quoteJson(m_key) + ",\"length\":" + std::to_string(m_length);
    json += ",\"digest\":\"" + m_digest.result().toHex().toStdString() + "\"}";
    m_exchange->sendEvent("end", json);
    m_exchange->endEvents();
}

void caller_sink::sendProblem(const runs::reply &reply)
{
    problem document{.kind = problemKind(reply.outcome), .detail = reply.detail, .retryAfter = reply.retryAfter};
    if (reply.outcome == runs::disposition::unknown) {
        document.statusUrl = "/v1/runs/" + m_key;
    }
    if (!m_exchange->hasStarted()) {
        answerProblem(*m_exchange, document);
        return;
    }
    m_exchange->sendEvent("error", toJson(document));
    m_exchange->endEvents();
}

} // namespace masticlever::gateway::detail
