#include <masticlever/gateway/problem.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <chrono>

namespace masticlever::gateway
{

namespace
{

struct kind_text {
    const char *type;
    const char *title;
    int status;
};

kind_text textOf(problem_kind kind)
{
    switch (kind) {
    case problem_kind::not_run:
        return {"urn:masticlever:not-run", "The request was not run", 503};
    case problem_kind::failed:
        return {"urn:masticlever:failed", "The request failed", 502};
    case problem_kind::unknown:
        return {"urn:masticlever:unknown", "The outcome is not known", 504};
    case problem_kind::conflict:
        return {"urn:masticlever:conflict", "Conflict", 409};
    case problem_kind::invalid:
        return {"urn:masticlever:invalid", "The request is not valid", 400};
    case problem_kind::rejected:
        return {"urn:masticlever:rejected", "The declaration does not hold", 422};
    case problem_kind::unauthorized:
        return {"urn:masticlever:unauthorized", "No valid token", 401};
    case problem_kind::forbidden:
        return {"urn:masticlever:forbidden", "The token does not allow this", 403};
    case problem_kind::not_found:
        return {"urn:masticlever:not-found", "Not found", 404};
    case problem_kind::too_large:
        return {"urn:masticlever:too-large", "The body is too large", 413};
    case problem_kind::not_ready:
        return {"urn:masticlever:not-ready", "The instance is not ready", 503};
    }
    return {"about:blank", "Error", 500};
}

std::string retryAfterSeconds(common::duration retryAfter)
{
    if (retryAfter <= common::duration{}) {
        return {};
    }
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(retryAfter).count());
}

} // namespace

int statusOf(problem_kind kind)
{
    return textOf(kind).status;
}

std::string toJson(const problem &what)
{
    const kind_text text = textOf(what.kind);
    QJsonObject object{
        {QStringLiteral("type"), QLatin1StringView(text.type)},
        {QStringLiteral("title"), QLatin1StringView(text.title)},
        {QStringLiteral("status"), text.status},
        {QStringLiteral("detail"), QString::fromStdString(what.detail)},
    };
    const auto addText = [&](QLatin1StringView name, const std::string &value) {
        if (!value.empty()) {
            object.insert(name, QString::fromStdString(value));
        }
    };
    addText(QLatin1StringView("field"), what.field);
    addText(QLatin1StringView("status_url"), what.statusUrl);
    addText(QLatin1StringView("change_id"), what.changeId);
    if (what.version != 0) {
        object.insert(QLatin1StringView("version"), static_cast<qint64>(what.version));
    }
    if (what.retryAfter > common::duration{}) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(what.retryAfter);
        object.insert(QLatin1StringView("retry_after_ms"), static_cast<qint64>(wait.count()));
    }
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

void answerProblem(exchange &one, const problem &what)
{
    const bool isUnauthorized = what.kind == problem_kind::unauthorized;
    one.answer(statusOf(what.kind), "application/problem+json", toJson(what),
               {{"Retry-After", retryAfterSeconds(what.retryAfter)},
                {"WWW-Authenticate", isUnauthorized ? "Bearer" : ""},
                {"Location", what.statusUrl}});
}

} // namespace masticlever::gateway
