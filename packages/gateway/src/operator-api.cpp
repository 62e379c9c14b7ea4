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

constexpr common::duration retryWhenNotReady = std::chrono::seconds(1);
constexpr common::duration retryAfterLogOutage = std::chrono::seconds(2);
constexpr std::chrono::milliseconds longestWatch{60000};

bool holds(const std::vector<std::string> &digests, const std::string &digest)
{
    bool isHeld = false;
    for (const std::string &one : digests) {
        // All are compared, so that the time tells nothing.
        isHeld = common::equalConstantTime(one, digest) || isHeld;
    }
    return isHeld;
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

bool operator_api::authorize(exchange &one, bool changes) const
{
    const std::string digest = common::sha256Hex(bearerToken(one));
    const bool mayChange = holds(m_options.changeTokenDigests, digest);
    const bool mayRead = holds(m_options.readTokenDigests, digest) || mayChange;
    if (!mayRead) {
        answerProblem(one, {.kind = problem_kind::unauthorized, .detail = "a valid operator token is needed"});
        return false;
    }
    if (changes && !mayChange) {
        answerProblem(one, {.kind = problem_kind::forbidden, .detail = "this token may read, not change"});
        return false;
    }
    return true;
}

bool operator_api::handle(exchange &one)
{
    const http_request &request = one.request();
    const auto &path = request.path;
    if (path.size() < 2 || path[0] != "v1") {
        return false;
    }
    const std::string &area = path[1];
    const bool isOwn
        = area == "resources" || area == "changes" || area == "watch" || area == "instances" || area == "operator";
    if (!isOwn) {
        return false;
    }
    if (!authorize(one, request.method != "GET")) {
        return true;
    }
    if (!m_service.isReady() && area != "instances") {
        answerProblem(one,
                      {.kind = problem_kind::not_ready,
                       .detail = "the instance does not know the configuration yet; ask again",
                       .retryAfter = retryWhenNotReady});
    } else if (area == "resources") {
        handleResources(one);
    } else if (area == "changes") {
        handleChange(one);
    } else if (area == "watch") {
        handleWatch(one);
    } else if (area == "instances") {
        handleInstances(one);
    } else {
        handleRuns(one);
    }
    return true;
}

void operator_api::handleResources(exchange &one)
{
    const http_request &request = one.request();
    const auto kind = request.path.size() > 2 ? configuration::parseKind(request.path[2]) : std::nullopt;
    if (!kind || request.path.size() > 4) {
        answerProblem(one, notFound("the kinds are pipeline, team and endpoint"));
        return;
    }
    const bool isRead = request.method == "GET";
    if (request.path.size() == 3 && isRead) {
        listResources(one, *kind);
    } else if (request.path.size() == 4 && isRead) {
        readResource(one, *kind, request.path[3]);
    } else if (request.path.size() == 4 && (request.method == "PUT" || request.method == "DELETE")) {
        changeResource(one, *kind, request.path[3]);
    } else {
        one.answerJson(405, "{}", {{"Allow", "GET, PUT, DELETE"}});
    }
}

void operator_api::listResources(exchange &one, configuration::resource_kind kind)
{
    const auto current = m_service.configuration();
    const auto instances = m_service.instances();
    one.answerJson(200,
                   detail::compact({{QStringLiteral("offset"), static_cast<qint64>(current->offset)},
                                    {QStringLiteral("items"), detail::resourcesJson(*current, kind, 0, instances)}}));
}

void operator_api::readResource(exchange &one, configuration::resource_kind kind, const std::string &name)
{
    const auto json = detail::resourceJson(*m_service.configuration(), kind, name, m_service.instances());
    if (!json) {
        answerProblem(one, notFound("there is no resource of this kind and name"));
        return;
    }
    one.answerJson(200, detail::compact(*json));
}

void operator_api::changeResource(exchange &one, configuration::resource_kind kind, const std::string &name)
{
    const http_request &request = one.request();
    bool isVersion = false;
    const qulonglong expected = request.header("If-Match").replace('"', "").toULongLong(&isVersion);
    if (!isVersion) {
        answerProblem(one,
                      {.kind = problem_kind::invalid,
                       .detail = "the header If-Match must hold the expected version, 0 for a new resource"});
        return;
    }
    configuration::change what;
    what.id = request.header("Masticlever-Change-Id").toStdString();
    if (what.id.empty()) {
        what.id = m_service.makeChangeId();
    }
    what.what = request.method == "PUT" ? configuration::operation::put : configuration::operation::remove;
    what.kind = kind;
    what.name = name;
    what.expectedVersion = expected;
    what.spec = request.body.toStdString();
    if (!request.query("dry_run").empty()) {
        answerChange(one, what, {what.id, change_progress::settled, m_service.checkChange(what)});
        return;
    }
    const QPointer<exchange> waiting(&one);
    m_service.submitChange(what, [this, waiting, what](const configuration::change_view &view) {
        if (waiting) {
            answerChange(*waiting, what, view);
        }
    });
}

void operator_api::answerChange(exchange &one, const configuration::change &what,
                                const configuration::change_view &view)
{
    if (view.progress == change_progress::settled) {
        answerOutcome(one, what, view);
        return;
    }
    if (view.progress == change_progress::not_applied) {
        answerProblem(one,
                      {.kind = problem_kind::not_run,
                       .detail = "the configuration log cannot be reached; nothing was changed",
                       .retryAfter = retryAfterLogOutage,
                       .changeId = view.id});
        return;
    }
    answerProblem(one,
                  {.kind = problem_kind::unknown,
                   .detail = "whether the change took effect is not known yet; ask for it by its change id",
                   .retryAfter = retryAfterLogOutage,
                   .statusUrl = "/v1/changes/" + view.id,
                   .changeId = view.id});
}

void operator_api::answerOutcome(exchange &one, const configuration::change &what,
                                 const configuration::change_view &view)
{
    const configuration::change_outcome &outcome = view.outcome;
    if (outcome.status == change_status::conflict) {
        answerProblem(
            one,
            {.kind = problem_kind::conflict,
             .detail = outcome.detail.empty() ? "another change came first; read the resource again" : outcome.detail,
             .changeId = view.id,
             .version = outcome.version});
        return;
    }
    if (outcome.status == change_status::invalid) {
        answerProblem(
            one,
            {.kind = problem_kind::rejected, .detail = outcome.detail, .field = outcome.field, .changeId = view.id});
        return;
    }
    const auto json = detail::resourceJson(*m_service.configuration(), what.kind, what.name, m_service.instances());
    QJsonObject body = json.value_or(QJsonObject{});
    body.insert(QLatin1StringView("change_id"), QString::fromStdString(view.id));
    body.insert(QLatin1StringView("outcome"),
                outcome.status == change_status::accepted ? QStringLiteral("accepted") : QStringLiteral("unchanged"));
    const bool isNew = what.expectedVersion == 0 && outcome.status == change_status::accepted;
    one.answerJson(isNew ? 201 : 200, detail::compact(body));
}

void operator_api::handleChange(exchange &one)
{
    const auto &path = one.request().path;
    const auto view = path.size() == 3 ? m_service.findChange(path[2]) : std::nullopt;
    if (!view) {
        answerProblem(one, notFound("this instance does not know the change id"));
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
    one.answerJson(200, detail::compact(body));
}

void operator_api::handleWatch(exchange &one)
{
    const std::uint64_t from = QByteArray::fromStdString(one.request().query("from")).toULongLong();
    const std::chrono::milliseconds asked(QByteArray::fromStdString(one.request().query("wait_ms")).toLongLong());
    const auto wait = std::clamp(asked, std::chrono::milliseconds(0), longestWatch);
    if (m_service.configuration()->offset > from || wait.count() == 0) {
        answerWatch(one, from);
        return;
    }
    m_watches.push_back({QPointer<exchange>(&one), from});
    QTimer::singleShot(wait, &one, [this, &one, from] { answerWatch(one, from); });
}

void operator_api::answerWatch(exchange &one, std::uint64_t from)
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
    one.answerJson(200,
                   detail::compact({{QStringLiteral("offset"), static_cast<qint64>(current->offset)},
                                    {QStringLiteral("changed"), changed},
                                    {QStringLiteral("present"), detail::presentJson(*current)}}));
}

void operator_api::onConfigurationChanged()
{
    for (const watch &waiting : std::exchange(m_watches, {})) {
        if (waiting.one && waiting.one->isOpen()) {
            answerWatch(*waiting.one, waiting.from);
        }
    }
}

void operator_api::handleInstances(exchange &one)
{
    const auto &path = one.request().path;
    const auto instances = m_service.instances();
    if (path.size() == 2 && one.request().method == "GET") {
        QJsonArray items;
        for (const instance_status &instance : instances) {
            items.append(detail::instanceJson(instance));
        }
        one.answerJson(200, detail::compact({{QStringLiteral("items"), items}}));
        return;
    }
    if (path.size() != 4 || path[3] != "drain" || one.request().method != "POST") {
        answerProblem(one, notFound("POST /v1/instances/{name}/drain drains an instance"));
        return;
    }
    if (path[2] == m_service.instanceName()) {
        m_service.beginDrain();
        one.answerJson(202, detail::compact({{QStringLiteral("state"), QStringLiteral("leaving")}}));
        return;
    }
    const auto found = std::find_if(instances.begin(), instances.end(),
                                    [&](const instance_status &instance) { return instance.name == path[2]; });
    if (found == instances.end() || found->address.empty()) {
        answerProblem(one, notFound("no live instance of this name is known here"));
        return;
    }
    const std::string scheme = m_service.isSecure() ? "https://" : "http://";
    one.answerJson(307, "{}", {{"Location", scheme + found->address + "/v1/instances/" + path[2] + "/drain"}});
}

void operator_api::handleRuns(exchange &one)
{
    const auto &path = one.request().path;
    if (path.size() == 3 && path[2] == "runs" && one.request().method == "GET") {
        QJsonArray items;
        for (const doubtful_run &run : m_service.doubtfulRuns()) {
            items.append(detail::runJson(run));
        }
        one.answerJson(200, detail::compact({{QStringLiteral("items"), items}}));
        return;
    }
    if (path.size() == 6 && path[2] == "runs" && path[5] == "settle" && one.request().method == "POST") {
        settleRun(one);
        return;
    }
    answerProblem(one, notFound("GET /v1/operator/runs lists the runs in doubt"));
}

void operator_api::settleRun(exchange &one)
{
    const auto &path = one.request().path;
    const auto key = common::parseKey(path[4]);
    if (!key || !isJsonValue(one.request().body)) {
        answerProblem(one,
                      {.kind = problem_kind::invalid,
                       .detail = "the path needs team and key, the body the stage's result as JSON"});
        return;
    }
    switch (m_service.settleRun({path[3], key.value()}, one.request().body.toStdString())) {
    case settle_outcome::accepted:
        one.answerJson(202, detail::compact({{QStringLiteral("state"), QStringLiteral("settling")}}));
        return;
    case settle_outcome::not_in_doubt:
        answerProblem(one, {.kind = problem_kind::conflict, .detail = "this run is not in doubt"});
        return;
    case settle_outcome::log_unreachable:
        answerProblem(one,
                      {.kind = problem_kind::not_run,
                       .detail = "the log cannot be reached; nothing was settled",
                       .retryAfter = retryAfterLogOutage});
        return;
    }
}

} // namespace masticlever::gateway
