#include "detail/resource-json.h"

#include <masticlever/common/digest.h>
#include <masticlever/configuration/codec.h>
#include <masticlever/gateway/caller-api.h>
#include <masticlever/gateway/operator-api.h>
#include <masticlever/gateway/problem.h>

#include <QJsonDocument>
#include <QJsonParseError>
#include <QTimer>

#include <algorithm>
#include <utility>

namespace masticlever::gateway
{

namespace
{

using configuration::change_progress;
using configuration::change_status;

constexpr common::duration retryAfterNotReady = std::chrono::seconds(1);
constexpr common::duration retryAfterLogOutage = std::chrono::seconds(2);
constexpr std::chrono::milliseconds maxWatchDuration{60000};

bool containsDigest(const std::vector<std::string> &digests, const std::string &digest)
{
    bool isFound = false;
    for (const std::string &candidate : digests) {
        // Compares with every digest, so that the time taken reveals nothing about a match.
        isFound = common::equalConstantTime(candidate, digest) || isFound;
    }
    return isFound;
}

bool isJsonValue(const QByteArray &body)
{
    QJsonParseError error;
    QJsonDocument::fromJson('[' + body + ']', &error);
    return !body.isEmpty() && error.error == QJsonParseError::NoError;
}

problem notFound(const char *detail)
{
    return {.kind = problem_kind::not_found, .detail = detail};
}

} // namespace

operator_api::operator_api(operator_service &service, operator_options options)
    : m_service(service), m_options(std::move(options))
{ }

bool operator_api::authorize(exchange &httpExchange, bool needsChangeRight) const
{
    const std::string digest = common::sha256Hex(bearerToken(httpExchange));
    const bool mayChange = containsDigest(m_options.changeTokenDigests, digest);
    const bool mayRead = containsDigest(m_options.readTokenDigests, digest) || mayChange;
    if (!mayRead) {
        answerProblem(httpExchange, {.kind = problem_kind::unauthorized, .detail = "a valid operator token is needed"});
        return false;
    }
    if (needsChangeRight && !mayChange) {
        answerProblem(httpExchange, {.kind = problem_kind::forbidden, .detail = "this token may read, not change"});
        return false;
    }
    return true;
}

bool operator_api::handle(exchange &httpExchange)
{
    const http_request &request = httpExchange.request();
    const auto &path = request.path;
    if (path.size() < 2 || path[0] != "v1") {
        return false;
    }
    const std::string &area = path[1];
    const bool isOperatorPath
        = area == "resources" || area == "changes" || area == "watch" || area == "instances" || area == "operator";
    if (!isOperatorPath) {
        return false;
    }
    if (!authorize(httpExchange, request.method != "GET")) {
        return true;
    }
    if (!m_service.isReady() && area != "instances") {
        answerProblem(httpExchange,
                      {.kind = problem_kind::not_ready,
                       .detail = "the instance does not know the configuration yet; ask again",
                       .retryAfter = retryAfterNotReady});
    } else if (area == "resources") {
        handleResources(httpExchange);
    } else if (area == "changes") {
        handleChange(httpExchange);
    } else if (area == "watch") {
        handleWatch(httpExchange);
    } else if (area == "instances") {
        handleInstances(httpExchange);
    } else {
        handleRuns(httpExchange);
    }
    return true;
}

void operator_api::handleResources(exchange &httpExchange)
{
    const http_request &request = httpExchange.request();
    const auto kind = request.path.size() > 2 ? configuration::parseKind(request.path[2]) : std::nullopt;
    if (!kind || request.path.size() > 4) {
        answerProblem(httpExchange, notFound("the kinds are pipeline, team and endpoint"));
        return;
    }
    const bool isRead = request.method == "GET";
    if (request.path.size() == 3 && isRead) {
        listResources(httpExchange, *kind);
    } else if (request.path.size() == 4 && isRead) {
        readResource(httpExchange, *kind, request.path[3]);
    } else if (request.path.size() == 4 && (request.method == "PUT" || request.method == "DELETE")) {
        changeResource(httpExchange, *kind, request.path[3]);
    } else {
        httpExchange.answerJson(405, "{}", {{"Allow", "GET, PUT, DELETE"}});
    }
}

void operator_api::listResources(exchange &httpExchange, configuration::resource_kind kind)
{
    const auto current = m_service.configuration();
    const auto instances = m_service.instances();
    httpExchange.answerJson(
        200,
        detail::compact({{QStringLiteral("offset"), static_cast<qint64>(current->offset)},
                         {QStringLiteral("items"), detail::resourcesJson(*current, kind, 0, instances)}}));
}

void operator_api::readResource(exchange &httpExchange, configuration::resource_kind kind, const std::string &name)
{
    const auto json = detail::resourceJson(*m_service.configuration(), kind, name, m_service.instances());
    if (!json) {
        answerProblem(httpExchange, notFound("there is no resource of this kind and name"));
        return;
    }
    httpExchange.answerJson(200, detail::compact(*json));
}

void operator_api::changeResource(exchange &httpExchange, configuration::resource_kind kind, const std::string &name)
{
    const http_request &request = httpExchange.request();
    bool isVersion = false;
    const qulonglong expected = request.header("If-Match").replace('"', "").toULongLong(&isVersion);
    if (!isVersion) {
        answerProblem(httpExchange,
                      {.kind = problem_kind::invalid,
                       .detail = "the header If-Match must hold the expected version, 0 for a new resource"});
        return;
    }
    configuration::change change;
    change.id = request.header("Masticlever-Change-Id").toStdString();
    if (change.id.empty()) {
        change.id = m_service.makeChangeId();
    }
    change.what = request.method == "PUT" ? configuration::operation::put : configuration::operation::remove;
    change.kind = kind;
    change.name = name;
    change.expectedVersion = expected;
    change.spec = request.body.toStdString();
    if (!request.query("dry_run").empty()) {
        answerChange(httpExchange, change, {change.id, change_progress::settled, m_service.checkChange(change)});
        return;
    }
    const QPointer<exchange> openExchange(&httpExchange);
    m_service.submitChange(change, [this, openExchange, change](const configuration::change_view &view) {
        if (openExchange) {
            answerChange(*openExchange, change, view);
        }
    });
}

void operator_api::answerChange(exchange &httpExchange, const configuration::change &change,
                                const configuration::change_view &view)
{
    if (view.progress == change_progress::settled) {
        answerOutcome(httpExchange, change, view);
        return;
    }
    if (view.progress == change_progress::not_applied) {
        answerProblem(httpExchange,
                      {.kind = problem_kind::not_run,
                       .detail = "the configuration log cannot be reached; nothing was changed",
                       .retryAfter = retryAfterLogOutage,
                       .changeId = view.id});
        return;
    }
    answerProblem(httpExchange,
                  {.kind = problem_kind::unknown,
                   .detail = "whether the change took effect is not known yet; ask for it by its change id",
                   .retryAfter = retryAfterLogOutage,
                   .statusUrl = "/v1/changes/" + view.id,
                   .changeId = view.id});
}

void operator_api::answerOutcome(exchange &httpExchange, const configuration::change &change,
                                 const configuration::change_view &view)
{
    const configuration::change_outcome &outcome = view.outcome;
    if (outcome.status == change_status::conflict) {
        answerProblem(
            httpExchange,
            {.kind = problem_kind::conflict,
             .detail = outcome.detail.empty() ? "another change came first; read the resource again" : outcome.detail,
             .changeId = view.id,
             .version = outcome.version});
        return;
    }
    if (outcome.status == change_status::invalid) {
        answerProblem(
            httpExchange,
            {.kind = problem_kind::rejected, .detail = outcome.detail, .field = outcome.field, .changeId = view.id});
        return;
    }
    const auto json = detail::resourceJson(*m_service.configuration(), change.kind, change.name, m_service.instances());
    QJsonObject body = json.value_or(QJsonObject{});
    body.insert(QLatin1StringView("change_id"), QString::fromStdString(view.id));
    body.insert(QLatin1StringView("outcome"),
                outcome.status == change_status::accepted ? QStringLiteral("accepted") : QStringLiteral("unchanged"));
    const bool isNew = change.expectedVersion == 0 && outcome.status == change_status::accepted;
    httpExchange.answerJson(isNew ? 201 : 200, detail::compact(body));
}

void operator_api::handleChange(exchange &httpExchange)
{
    const auto &path = httpExchange.request().path;
    const auto view = path.size() == 3 ? m_service.findChange(path[2]) : std::nullopt;
    if (!view) {
        answerProblem(httpExchange, notFound("this instance does not know the change id"));
        return;
    }
    QJsonObject body{{QStringLiteral("change_id"), QString::fromStdString(view->id)}};
    const bool isSettled = view->progress == change_progress::settled;
    QString state = view->progress == change_progress::pending ? QStringLiteral("pending") : QStringLiteral("unknown");
    if (view->progress == change_progress::not_applied) {
        state = QStringLiteral("not_applied");
    } else if (isSettled) {
        constexpr const char *names[] = {"accepted", "unchanged", "conflict", "invalid"};
        state = QLatin1StringView(names[static_cast<int>(view->outcome.status)]);
        body.insert(QLatin1StringView("version"), static_cast<qint64>(view->outcome.version));
        body.insert(QLatin1StringView("field"), QString::fromStdString(view->outcome.field));
        body.insert(QLatin1StringView("detail"), QString::fromStdString(view->outcome.detail));
    }
    body.insert(QLatin1StringView("state"), state);
    httpExchange.answerJson(200, detail::compact(body));
}

void operator_api::handleWatch(exchange &httpExchange)
{
    const std::uint64_t from = QByteArray::fromStdString(httpExchange.request().query("from")).toULongLong();
    const std::chrono::milliseconds requested(
        QByteArray::fromStdString(httpExchange.request().query("wait_ms")).toLongLong());
    const auto wait = std::clamp(requested, std::chrono::milliseconds(0), maxWatchDuration);
    if (m_service.configuration()->offset > from || wait.count() == 0) {
        answerWatch(httpExchange, from);
        return;
    }
    m_watches.push_back({QPointer<exchange>(&httpExchange), from});
    QTimer::singleShot(wait, &httpExchange, [this, &httpExchange, from] { answerWatch(httpExchange, from); });
}

void operator_api::answerWatch(exchange &httpExchange, std::uint64_t from)
{
    const auto current = m_service.configuration();
    const auto instances = m_service.instances();
    QJsonArray changed;
    for (const auto kind : {configuration::resource_kind::endpoint, configuration::resource_kind::pipeline,
                            configuration::resource_kind::team}) {
        for (const auto &item : detail::resourcesJson(*current, kind, from, instances)) {
            changed.append(item);
        }
    }
    httpExchange.answerJson(200,
                            detail::compact({{QStringLiteral("offset"), static_cast<qint64>(current->offset)},
                                             {QStringLiteral("changed"), changed},
                                             {QStringLiteral("present"), detail::presentJson(*current)}}));
}

void operator_api::onConfigurationChanged()
{
    for (const watch &pending : std::exchange(m_watches, {})) {
        if (pending.httpExchange && pending.httpExchange->isOpen()) {
            answerWatch(*pending.httpExchange, pending.from);
        }
    }
}

void operator_api::handleInstances(exchange &httpExchange)
{
    const auto &path = httpExchange.request().path;
    const auto instances = m_service.instances();
    if (path.size() == 2 && httpExchange.request().method == "GET") {
        QJsonArray items;
        for (const instance_status &instance : instances) {
            items.append(detail::instanceJson(instance));
        }
        httpExchange.answerJson(200, detail::compact({{QStringLiteral("items"), items}}));
        return;
    }
    if (path.size() != 4 || path[3] != "drain" || httpExchange.request().method != "POST") {
        answerProblem(httpExchange, notFound("POST /v1/instances/{name}/drain drains an instance"));
        return;
    }
    if (path[2] == m_service.instanceName()) {
        m_service.beginDrain();
        httpExchange.answerJson(202, detail::compact({{QStringLiteral("state"), QStringLiteral("leaving")}}));
        return;
    }
    const auto found = std::find_if(instances.begin(), instances.end(),
                                    [&](const instance_status &instance) { return instance.name == path[2]; });
    if (found == instances.end() || found->address.empty()) {
        answerProblem(httpExchange, notFound("no live instance of this name is known here"));
        return;
    }
    const std::string scheme = m_service.isSecure() ? "https://" : "http://";
    httpExchange.answerJson(307, "{}", {{"Location", scheme + found->address + "/v1/instances/" + path[2] + "/drain"}});
}

void operator_api::handleRuns(exchange &httpExchange)
{
    const auto &path = httpExchange.request().path;
    if (path.size() == 3 && path[2] == "runs" && httpExchange.request().method == "GET") {
        QJsonArray items;
        for (const doubtful_run &run : m_service.doubtfulRuns()) {
            items.append(detail::runJson(run));
        }
        httpExchange.answerJson(200, detail::compact({{QStringLiteral("items"), items}}));
        return;
    }
    if (path.size() == 6 && path[2] == "runs" && path[5] == "settle" && httpExchange.request().method == "POST") {
        settleRun(httpExchange);
        return;
    }
    answerProblem(httpExchange, notFound("GET /v1/operator/runs lists the runs in doubt"));
}

void operator_api::settleRun(exchange &httpExchange)
{
    const auto &path = httpExchange.request().path;
    const auto key = common::parseKey(path[4]);
    if (!key || !isJsonValue(httpExchange.request().body)) {
        answerProblem(httpExchange,
                      {.kind = problem_kind::invalid,
                       .detail = "the path needs team and key, the body the stage's result as JSON"});
        return;
    }
    switch (m_service.settleRun({path[3], key.value()}, httpExchange.request().body.toStdString())) {
    case settle_outcome::accepted:
        httpExchange.answerJson(202, detail::compact({{QStringLiteral("state"), QStringLiteral("settling")}}));
        return;
    case settle_outcome::not_in_doubt:
        answerProblem(httpExchange, {.kind = problem_kind::conflict, .detail = "this run is not in doubt"});
        return;
    case settle_outcome::log_unreachable:
        answerProblem(httpExchange,
                      {.kind = problem_kind::not_run,
                       .detail = "the log cannot be reached; nothing was settled",
                       .retryAfter = retryAfterLogOutage});
        return;
    }
}

} // namespace masticlever::gateway
