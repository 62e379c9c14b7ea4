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
constexpr int firstServerFault = 500;
constexpr int tooManyRequests = 429;

request requestOf(const step &what, const QString &changeId)
{
    const auto kind = configuration::toString(what.kind);
    request one;
    one.method = what.action == step_action::remove ? "DELETE" : "PUT";
    one.path = u"/v1/resources/%1/%2"_s.arg(QString::fromLatin1(kind.data(), static_cast<qsizetype>(kind.size())),
                                            QString::fromStdString(what.name));
    one.body = QByteArray::fromStdString(what.after);
    one.expectedVersion = what.expectedVersion;
    one.changeId = changeId;
    return one;
}

QString detailOf(const QJsonObject &body)
{
    const QString field = body.value(u"field"_s).toString();
    const QString detail = body.value(u"detail"_s).toString();
    return field.isEmpty() ? detail : field + u' ' + detail;
}

/// Whether asking again can lead to another answer.
bool isOpen(const response &answer)
{
    return answer.status == 0 || answer.status == tooManyRequests || answer.status >= firstServerFault
        || answer.problem() == u"unknown"_s;
}

/// An answer that proves that this attempt left nothing behind.
bool isCertainlyNotApplied(const response &answer)
{
    return answer.problem() == u"not-run"_s || answer.problem() == u"not-ready"_s || answer.status == tooManyRequests;
}

step_outcome outcomeOf(const response &answer, const QString &changeId)
{
    if (answer.isSuccess()) {
        const bool isUnchanged = answer.body.value(u"outcome"_s).toString() == u"unchanged"_s;
        return {isUnchanged ? step_result::unchanged : step_result::changed, changeId, {}, false};
    }
    QString detail = detailOf(answer.body);
    if (answer.status == conflictStatus) {
        detail = u"conflict: "_s + detail;
    }
    return {step_result::refused, changeId, detail, answer.status == rejectedStatus};
}

} // namespace

change_runner::change_runner(api &server, pause sleep, id_source makeId, runner_options options)
    : m_server(server), m_pause(std::move(sleep)), m_makeId(std::move(makeId)), m_options(options)
{ }

step_outcome change_runner::run(const step &what)
{
    const QString changeId = m_makeId();
    bool mayBeApplied = false;
    QString lastFault;
    for (int attempt = 0; attempt < m_options.attempts; ++attempt) {
        if (attempt > 0) {
            m_pause(m_options.pauseBetween);
        }
        const response answer = m_server.send(requestOf(what, changeId));
        if (!isOpen(answer)) {
            return outcomeOf(answer, changeId);
        }
        lastFault = answer.status == 0 ? answer.fault : detailOf(answer.body);
        if (isCertainlyNotApplied(answer)) {
            continue;
        }
        mayBeApplied = true;
        if (auto settled = settle(changeId)) {
            return *settled;
        }
    }
    return {mayBeApplied ? step_result::unknown : step_result::refused, changeId, lastFault, false};
}

/// Asks for the outcome of a change whose answer was lost.
std::optional<step_outcome> change_runner::settle(const QString &changeId)
{
    const response answer = m_server.send({"GET", u"/v1/changes/"_s + changeId, {}, {}, {}});
    if (!answer.isSuccess()) {
        return std::nullopt;
    }
    const QString state = answer.body.value(u"state"_s).toString();
    if (state == u"accepted"_s) {
        return step_outcome{step_result::changed, changeId, {}, false};
    }
    if (state == u"unchanged"_s) {
        return step_outcome{step_result::unchanged, changeId, {}, false};
    }
    if (state == u"conflict"_s || state == u"invalid"_s) {
        return step_outcome{step_result::refused, changeId, detailOf(answer.body), state == u"invalid"_s};
    }
    return std::nullopt;
}

step_result change_runner::runAll(const std::vector<step> &steps, const listener &report)
{
    step_result total = step_result::unchanged;
    std::vector<step> open = steps;
    bool progress = true;
    while (!open.empty()) {
        std::vector<step> again;
        const bool isLastRound = !progress;
        progress = false;
        for (const step &what : open) {
            const step_outcome outcome = run(what);
            if (outcome.isDependent && !isLastRound) {
                again.push_back(what);
                continue;
            }
            progress = progress || outcome.result == step_result::changed;
            total = worse(total, outcome.result);
            report(what, outcome);
        }
        open = std::move(again);
    }
    return total;
}

step_result worse(step_result left, step_result right)
{
    return std::max(left, right);
}

} // namespace masticlever::masticleverctl
