#include "commands.h"

#include "declarations.h"
#include "table-text.h"

#include <masticlever/configuration/codec.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QStringList>

#include <array>
#include <utility>

using namespace Qt::Literals::StringLiterals;

namespace masticlever::masticleverctl
{

namespace
{

constexpr int watchWaitMs = 20'000;
constexpr int badRequestStatus = 400;

int toExitCode(step_result result)
{
    constexpr std::array codes{exit_code::unchanged, exit_code::changed, exit_code::refused, exit_code::unknown};
    return codes[static_cast<std::size_t>(result)];
}

QString resultText(step_result result)
{
    constexpr std::array words{"unchanged", "changed", "refused", "unknown"};
    return QLatin1StringView(words[static_cast<std::size_t>(result)]);
}

QString kindText(configuration::resource_kind kind)
{
    const auto text = configuration::toString(kind);
    return QString::fromLatin1(text.data(), static_cast<qsizetype>(text.size()));
}

QString resourcePath(const QString &kind, const QString &name)
{
    return name.isEmpty() ? u"/v1/resources/"_s + kind : u"/v1/resources/"_s + kind + u'/' + name;
}

QString toCompactJson(const QJsonObject &object)
{
    return QString::fromUtf8(QJsonDocument(object).toJson(QJsonDocument::Compact)) + u'\n';
}

} // namespace

commands::commands(api &server, change_runner &runner, output_format format, writer out, writer err)
    : m_server(server), m_runner(runner), m_format(format), m_out(std::move(out)), m_err(std::move(err))
{ }

int commands::apply(const apply_options &options)
{
    const declaration_set declared = readDeclarations(options.path);
    for (const QString &error : declared.errors) {
        m_err(error + u'\n');
    }
    if (!declared.errors.empty()) {
        return exit_code::refused;
    }
    if (declared.items.empty()) {
        m_err(u"no declarations in "_s + options.path + u'\n');
        return exit_code::usage;
    }
    const auto current = readCurrent();
    if (!current) {
        return exit_code::refused;
    }
    const std::vector<plan_step> steps = makePlan(declared.items, *current, options.prune);
    printPlan(steps);
    if (options.dryRun) {
        return steps.empty() ? exit_code::unchanged : exit_code::changed;
    }
    const auto report = [this](const plan_step &step, const step_outcome &outcome) { printOutcome(step, outcome); };
    return toExitCode(m_runner.runAll(steps, report));
}

int commands::get(const QString &kind, const QString &name)
{
    return printItems(m_server.send({"GET", resourcePath(kind, name), {}, {}, {}}),
                      {u"kind"_s, u"name"_s, u"version"_s, u"in_force"_s});
}

int commands::describe(const QString &kind, const QString &name)
{
    const api_response response = m_server.send({"GET", resourcePath(kind, name), {}, {}, {}});
    if (!response.isSuccess()) {
        return reportError(response, request_effect::reads);
    }
    m_out(m_format == output_format::json
              ? toCompactJson(response.body)
              : QString::fromUtf8(QJsonDocument(response.body).toJson(QJsonDocument::Indented)));
    return exit_code::unchanged;
}

int commands::watch(std::uint64_t from, int rounds)
{
    QStringList previous;
    for (int round = 0; rounds == 0 || round < rounds; ++round) {
        const QString path = u"/v1/watch?from=%1&wait_ms=%2"_s.arg(from).arg(watchWaitMs);
        const api_response response = m_server.send({"GET", path, {}, {}, {}});
        if (!response.isSuccess()) {
            return reportError(response, request_effect::reads);
        }
        const auto offset = static_cast<std::uint64_t>(response.body.value(u"offset"_s).toInteger());
        if (offset > from) {
            printWatchUpdate(response.body, previous);
            from = offset;
        }
    }
    return exit_code::unchanged;
}

/// \p previous holds the resources of the previous poll and is updated; resources that are missing now are printed as
/// removed.
void commands::printWatchUpdate(const QJsonObject &body, QStringList &previous)
{
    if (m_format == output_format::json) {
        m_out(toCompactJson(body));
        return;
    }
    const QJsonArray changed = body.value(u"changed"_s).toArray();
    if (!changed.empty()) {
        m_out(tableText(changed, {u"kind"_s, u"name"_s, u"version"_s, u"in_force"_s}));
    }
    QStringList current;
    for (const auto &item : body.value(u"present"_s).toArray()) {
        current.append(item.toString());
    }
    for (const QString &resource : previous) {
        if (!current.contains(resource)) {
            m_out(resource + u" removed\n"_s);
        }
    }
    previous = current;
}

int commands::remove(const QString &kind, const QString &name, std::optional<std::uint64_t> version)
{
    const auto parsedKind = configuration::parseKind(kind.toStdString());
    if (!parsedKind) {
        m_err(u"the kinds are pipeline, team and endpoint\n"_s);
        return exit_code::usage;
    }
    if (!version) {
        const api_response current = m_server.send({"GET", resourcePath(kind, name), {}, {}, {}});
        if (!current.isSuccess()) {
            return reportError(current, request_effect::reads);
        }
        version = static_cast<std::uint64_t>(current.body.value(u"version"_s).toInteger());
    }
    const plan_step step{step_action::remove, *parsedKind, name.toStdString(), *version, {}, {}};
    const step_outcome outcome = m_runner.run(step);
    printOutcome(step, outcome);
    return toExitCode(outcome.result);
}

int commands::drain(const QString &instance)
{
    const api_response response = m_server.send({"POST", u"/v1/instances/%1/drain"_s.arg(instance), "{}", {}, {}});
    if (!response.isSuccess()) {
        return reportError(response, request_effect::changes);
    }
    m_out(m_format == output_format::json ? toCompactJson(response.body) : instance + u" is leaving\n"_s);
    return exit_code::changed;
}

int commands::listRuns()
{
    return printItems(m_server.send({"GET", u"/v1/operator/runs"_s, {}, {}, {}}),
                      {u"team"_s, u"key"_s, u"pipeline"_s, u"stage"_s, u"owner"_s});
}

int commands::settleRun(const QString &team, const QString &key, const QByteArray &resultJson)
{
    const api_response response
        = m_server.send({"POST", u"/v1/operator/runs/%1/%2/settle"_s.arg(team, key), resultJson, {}, {}});
    if (!response.isSuccess()) {
        return reportError(response, request_effect::changes);
    }
    m_out(m_format == output_format::json ? toCompactJson(response.body) : u"%1/%2 is settled\n"_s.arg(team, key));
    return exit_code::changed;
}

std::optional<std::vector<current_resource>> commands::readCurrent()
{
    using configuration::resource_kind;
    std::vector<current_resource> current;
    for (const auto kind : {resource_kind::endpoint, resource_kind::pipeline, resource_kind::team}) {
        const api_response response = m_server.send({"GET", resourcePath(kindText(kind), {}), {}, {}, {}});
        if (!response.isSuccess()) {
            reportError(response, request_effect::reads);
            return std::nullopt;
        }
        for (const auto &item : response.body.value(u"items"_s).toArray()) {
            const QJsonObject object = item.toObject();
            const QByteArray spec = QJsonDocument(object.value(u"spec"_s).toObject()).toJson(QJsonDocument::Compact);
            current.push_back({kind, object.value(u"name"_s).toString().toStdString(),
                               static_cast<std::uint64_t>(object.value(u"version"_s).toInteger()), spec.toStdString()});
        }
    }
    return current;
}

int commands::printItems(const api_response &response, const QStringList &columns)
{
    if (!response.isSuccess()) {
        return reportError(response, request_effect::reads);
    }
    if (m_format == output_format::json) {
        m_out(toCompactJson(response.body));
        return exit_code::unchanged;
    }
    const QJsonArray items
        = response.body.contains(u"items"_s) ? response.body.value(u"items"_s).toArray() : QJsonArray{response.body};
    m_out(tableText(items, columns));
    return exit_code::unchanged;
}

/// Without a response, the outcome of a request is unknown unless the request only reads.
int commands::reportError(const api_response &response, request_effect effect)
{
    const QString detail = response.status == 0 ? response.transportError : response.body.value(u"detail"_s).toString();
    m_err(u"error: "_s + (detail.isEmpty() ? u"status %1"_s.arg(response.status) : detail) + u'\n');
    const bool isLost = response.status == 0 || response.problem() == u"unknown"_s;
    if (isLost && effect == request_effect::changes) {
        return exit_code::unknown;
    }
    return response.status == badRequestStatus ? exit_code::usage : exit_code::refused;
}

void commands::printPlan(const std::vector<plan_step> &steps)
{
    if (m_format == output_format::json) {
        return;
    }
    for (const plan_step &step : steps) {
        m_out(masticleverctl::describe(step));
    }
    m_out(u"plan: %1 changes\n"_s.arg(steps.size()));
}

void commands::printOutcome(const plan_step &step, const step_outcome &outcome)
{
    const QString kind = kindText(step.kind);
    const QString name = QString::fromStdString(step.name);
    if (m_format == output_format::json) {
        m_out(toCompactJson({{u"kind"_s, kind},
                             {u"name"_s, name},
                             {u"result"_s, resultText(outcome.result)},
                             {u"change_id"_s, outcome.changeId},
                             {u"detail"_s, outcome.detail}}));
        return;
    }
    QString line = u"%1/%2 %3"_s.arg(kind, name, resultText(outcome.result));
    if (!outcome.detail.isEmpty()) {
        line += u": "_s + outcome.detail;
    }
    if (outcome.result == step_result::unknown) {
        line += u" (change id %1)"_s.arg(outcome.changeId);
    }
    m_out(line + u'\n');
}

} // namespace masticlever::masticleverctl
