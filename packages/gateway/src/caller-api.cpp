#include "detail/caller-sink.h"

#include <masticlever/common/digest.h>
#include <masticlever/common/errors.h>
#include <masticlever/common/run-key.h>
#include <masticlever/gateway/caller-api.h>
#include <masticlever/gateway/problem.h>

#include <QJsonDocument>
#include <QJsonParseError>

#include <algorithm>
#include <utility>

namespace masticlever::gateway
{

namespace
{

constexpr common::duration retryAfterNotReady = std::chrono::seconds(1);

bool hasNonRepeatableStage(const configuration::pipeline_spec &pipeline)
{
    return std::any_of(pipeline.stages.begin(), pipeline.stages.end(),
                       [](const configuration::stage_spec &stage) { return !stage.repeatable; });
}

bool mayCall(const configuration::team_spec &team, const std::string &pipeline)
{
    return std::find(team.pipelines.begin(), team.pipelines.end(), pipeline) != team.pipelines.end();
}

bool isJsonDocument(const QByteArray &body)
{
    QJsonParseError error;
    QJsonDocument::fromJson(body, &error);
    return error.error == QJsonParseError::NoError;
}

const char *nameOf(run_state state)
{
    switch (state) {
    case run_state::none:
        return "none";
    case run_state::running:
        return "running";
    case run_state::finished:
        return "finished";
    case run_state::unknown:
        return "unknown";
    case run_state::expired:
        return "expired";
    }
    return "none";
}

} // namespace

std::string bearerToken(const exchange &httpExchange)
{
    const QByteArray header = httpExchange.request().header("Authorization");
    constexpr qsizetype schemeLength = 7;
    const bool isBearer = header.left(schemeLength).compare("Bearer ", Qt::CaseInsensitive) == 0;
    return isBearer ? header.mid(schemeLength).trimmed().toStdString() : std::string();
}

caller_api::caller_api(caller_service &service, caller_options options) : m_service(service), m_options(options) { }

bool caller_api::handle(exchange &httpExchange)
{
    const http_request &request = httpExchange.request();
    const auto &path = request.path;
    const bool isRun = path.size() == 4 && path[0] == "v1" && path[1] == "pipelines" && path[3] == "runs";
    const bool isStatus = path.size() == 3 && path[0] == "v1" && path[1] == "runs";
    if (isRun && request.method == "POST") {
        handleRun(httpExchange, path[2]);
        return true;
    }
    if (isStatus && request.method == "GET") {
        handleStatus(httpExchange, path[2]);
        return true;
    }
    return false;
}

const std::unordered_map<std::string, std::string> &caller_api::tokenIndex(const configuration::snapshot_ptr &current)
{
    if (m_indexedSnapshot != current) {
        m_indexedSnapshot = current;
        m_teamByTokenDigest.clear();
        for (const auto &[name, team] : current->teams) {
            for (const std::string &digest : team.spec.tokenDigests) {
                m_teamByTokenDigest.emplace(digest, name);
            }
        }
    }
    return m_teamByTokenDigest;
}

const configuration::resource<configuration::team_spec> *caller_api::authenticate(exchange &httpExchange)
{
    const configuration::snapshot_ptr current = m_service.configuration();
    if (!m_service.isReady()) {
        answerProblem(httpExchange,
                      {.kind = problem_kind::not_ready,
                       .detail = "the instance does not know the configuration yet; ask again",
                       .retryAfter = retryAfterNotReady});
        return nullptr;
    }
    // The time of the lookup reveals nothing about other tokens: a caller cannot choose the bits of a digest.
    const std::string digest = common::sha256Hex(bearerToken(httpExchange));
    const auto &index = tokenIndex(current);
    const auto found = index.find(digest);
    if (found == index.end() || !common::equalConstantTime(found->first, digest)) {
        answerProblem(httpExchange, {.kind = problem_kind::unauthorized, .detail = "a valid team token is needed"});
        return nullptr;
    }
    return &current->teams.at(found->second);
}

common::result<std::string> caller_api::readKey(exchange &httpExchange, bool required)
{
    const QByteArray header = httpExchange.request().header("Idempotency-Key");
    if (header.isEmpty() && !required) {
        return m_service.makeKey();
    }
    auto key = common::parseKey({header.data(), static_cast<std::size_t>(header.size())});
    if (!key) {
        answerProblem(httpExchange,
                      {.kind = problem_kind::invalid,
                       .detail = "the header Idempotency-Key must hold a UUID of version 7 (RFC 9562)"});
        return key;
    }
    if (common::keyTime(key.value()) > m_service.now().wall + m_options.clockSkew) {
        answerProblem(httpExchange,
                      {.kind = problem_kind::invalid,
                       .detail = "the key's time lies in the future; check the clock that made it"});
        return make_error_code(common::error::malformed);
    }
    return key;
}

bool caller_api::checkBody(exchange &httpExchange, std::size_t teamLimit) const
{
    const QByteArray &body = httpExchange.request().body;
    const std::size_t limit = std::min(teamLimit, m_options.bodyLimitBytes);
    if (static_cast<std::size_t>(body.size()) > limit) {
        answerProblem(httpExchange,
                      {.kind = problem_kind::too_large,
                       .detail = "the body may have at most " + std::to_string(limit) + " bytes"});
        return false;
    }
    if (!isJsonDocument(body)) {
        answerProblem(httpExchange,
                      {.kind = problem_kind::invalid, .detail = "the body must be a JSON object or array"});
        return false;
    }
    return true;
}

std::chrono::milliseconds caller_api::readDeadline(const exchange &httpExchange,
                                                   std::chrono::milliseconds maxDeadline) const
{
    bool isNumber = false;
    const qlonglong requested = httpExchange.request().header("Masticlever-Deadline-Ms").toLongLong(&isNumber);
    const bool isValid = isNumber && requested > 0;
    return isValid ? std::min(maxDeadline, std::chrono::milliseconds(requested)) : maxDeadline;
}

void caller_api::handleRun(exchange &httpExchange, const std::string &pipelineName)
{
    const auto *team = authenticate(httpExchange);
    if (team == nullptr) {
        return;
    }
    const configuration::snapshot_ptr current = m_service.configuration();
    const auto pipeline = current->pipelines.find(pipelineName);
    if (pipeline == current->pipelines.end() || !mayCall(team->spec, pipelineName)) {
        answerProblem(httpExchange,
                      {.kind = problem_kind::not_found, .detail = "the team has no pipeline of this name"});
        return;
    }
    const configuration::pipeline_spec &spec = pipeline->second.spec;
    const auto key = readKey(httpExchange, hasNonRepeatableStage(spec));
    if (!key || !checkBody(httpExchange, team->spec.maxBodyBytes)) {
        return;
    }
    const QByteArray &body = httpExchange.request().body;
    const common::instant now = m_service.now().now;
    submission run;
    run.request.key = {team->name, key.value()};
    run.request.pipelineName = pipelineName;
    run.request.body = body.toStdString();
    run.request.bodyDigest = common::sha256Hex(run.request.pipelineName + '\n' + run.request.body);
    run.request.wantsStream = httpExchange.request().header("Accept").contains("text/event-stream");
    run.request.deadline = now + readDeadline(httpExchange, spec.deadline);
    run.configuration = current;
    run.pipeline = &spec;
    run.terms = {team->spec.weight, team->spec.maxInFlight};
    run.traceparent = httpExchange.request().header("traceparent").toStdString();
    auto sink = std::make_shared<detail::caller_sink>(httpExchange, key.value(), run.request.wantsStream);
    const runs::run_id id = m_service.submit(std::move(run), std::move(sink));
    QObject::connect(&httpExchange, &exchange::disconnected, &httpExchange, [this, id] { m_service.onCallerGone(id); });
}

void caller_api::handleStatus(exchange &httpExchange, const std::string &key)
{
    const auto *team = authenticate(httpExchange);
    if (team == nullptr) {
        return;
    }
    const auto canonical = common::parseKey(key);
    if (!canonical) {
        answerProblem(httpExchange, {.kind = problem_kind::invalid, .detail = "the key must be a UUID of version 7"});
        return;
    }
    const run_status status = m_service.findRun({team->name, canonical.value()});
    if (status.state == run_state::none) {
        answerProblem(httpExchange, {.kind = problem_kind::not_found, .detail = "there is no record of this key"});
        return;
    }
    std::string json = "{\"key\":\"" + canonical.value() + "\",\"state\":\"" + nameOf(status.state) + '"';
    json += status.result.empty() ? "}" : ",\"result\":" + status.result + '}';
    httpExchange.answerJson(200, json);
}

} // namespace masticlever::gateway
