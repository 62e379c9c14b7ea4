#include "change-runner.h"

#include <masticlever/configuration/codec.h>

#include <algorithm>
#include <utility>

using namespace Qt::Literals::StringLiterals;

namespace masticlever::masticleverctl
{

namespace
{

constexpr int conflictStatus = 409;
constexpr int rejectedStatus = 422;
constexpr int firstServerErrorStatus = 500;
constexpr int tooManyRequestsStatus = 429;

api_request makeRequest(const plan_step &step, const QString &changeId)
{
    const auto kind = configuration::toString(step.kind);
    api_request request;
    request.method = step.action == step_action::remove ? "DELETE" : "PUT";
    request.path = u"/v1/resources/%1/%2"_s.arg(QString::fromLatin1(kind.data(), static_cast<qsizetype>(kind.size())),
                                                QString::fromStdString(step.name));
    request.body = QByteArray::fromStdString(step.after);
    request.expectedVersion = step.expectedVersion;
    request.changeId = changeId;
    return request;
}

QString errorDetail(const QJsonObject &body)
{
    const QString field = body.value(u"field"_s).toString();
    const QString detail = body.value(u"detail"_s).toString();
    return field.isEmpty() ? detail : field + u' ' + detail;
}

/// Whether a retry can get a different response.
bool isRetryable(const api_response &response)
{
    return response.status == 0 || response.status == tooManyRequestsStatus || response.status >= firstServerErrorStatus
        || response.problem() == u"unknown"_s;
}

/// Whether the response proves that this attempt had no effect.
bool isNotApplied(const api_response &response)
{
    return response.problem() == u"not-run"_s || response.problem() == u"not-ready"_s
        || response.status == tooManyRequestsStatus;
}

step_outcome toOutcome(const api_response &response, const QString &changeId)
{
    if (response.isSuccess()) {
        const bool isUnchanged = response.body.value(u"outcome"_s).toString() == u"unchanged"_s;
        return {isUnchanged ? step_result::unchanged : step_result::changed, changeId, {}, false};
    }
    QString detail = errorDetail(response.body);
    if (response.status == conflictStatus) {
        detail = u"conflict: "_s + detail;
    }
    return {step_result::refused, changeId, detail, response.status == rejectedStatus};
}

} // namespace

change_runner::change_runner(api &server, sleep_function sleep, id_source makeId, runner_options options)
    : m_server(server), m_sleep(std::move(sleep)), m_makeId(std::move(makeId)), m_options(options)
{ }

step_outcome change_runner::run(const plan_step &step)
{
    const QString changeId = m_makeId();
    bool mayBeApplied = false;
    QString lastError;
    for (int attempt = 0; attempt < m_options.attempts; ++attempt) {
        if (attempt > 0) {
            m_sleep(m_options.retryDelay);
        }
        const api_response response = m_server.send(makeRequest(step, changeId));
        if (!isRetryable(response)) {
            return toOutcome(response, changeId);
        }
        lastError = response.status == 0 ? response.transportError : errorDetail(response.body);
        if (isNotApplied(response)) {
            continue;
        }
        mayBeApplied = true;
        if (auto outcome = queryOutcome(changeId)) {
            return *outcome;
        }
    }
    return {mayBeApplied ? step_result::unknown : step_result::refused, changeId, lastError, false};
}

/// Queries the outcome of a change whose response was lost.
std::optional<step_outcome> change_runner::queryOutcome(const QString &changeId)
{
    const api_response response = m_server.send({"GET", u"/v1/changes/"_s + changeId, {}, {}, {}});
    if (!response.isSuccess()) {
        return std::nullopt;
    }
    const QString state = response.body.value(u"state"_s).toString();
    if (state == u"accepted"_s) {
        return step_outcome{step_result::changed, changeId, {}, false};
    }
    if (state == u"unchanged"_s) {
        return step_outcome{step_result::unchanged, changeId, {}, false};
    }
    if (state == u"conflict"_s || state == u"invalid"_s) {
        return step_outcome{step_result::refused, changeId, errorDetail(response.body), state == u"invalid"_s};
    }
    return std::nullopt;
}

step_result change_runner::runAll(const std::vector<plan_step> &steps, const outcome_callback &report)
{
    step_result overall = step_result::unchanged;
    std::vector<plan_step> remaining = steps;
    bool hasProgress = true;
    while (!remaining.empty()) {
        std::vector<plan_step> deferred;
        const bool isLastRound = !hasProgress;
        hasProgress = false;
        for (const plan_step &step : remaining) {
            const step_outcome outcome = run(step);
            if (outcome.mayDependOnOtherStep && !isLastRound) {
                deferred.push_back(step);
                continue;
            }
            hasProgress = hasProgress || outcome.result == step_result::changed;
            overall = worse(overall, outcome.result);
            report(step, outcome);
        }
        remaining = std::move(deferred);
    }
    return overall;
}

step_result worse(step_result left, step_result right)
{
    return std::max(left, right);
}

} // namespace masticlever::masticleverctl
