#include <masticlever/gateway/problem.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <chrono>

namespace masticlever::gateway
{

namespace
{

struct kind_description {
    const char *type;
    const char *title;
    int status;
};

kind_description describe(problem_kind kind)
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
    return describe(kind).status;
}

std::string toJson(const problem &document)
{
    const kind_description description = describe(document.kind);
    QJsonObject object{
        {QStringLiteral("type"), QLatin1StringView(description.type)},
        {QStringLiteral("title"), QLatin1StringView(description.title)},
        {QStringLiteral("status"), description.status},
        {QStringLiteral("detail"), QString::fromStdString(document.detail)},
    };
    const auto insertUnlessEmpty = [&](QLatin1StringView name, const std::string &value) {
        if (!value.empty()) {
            object.insert(name, QString::fromStdString(value));
        }
    };
    insertUnlessEmpty(QLatin1StringView("field"), document.field);
    insertUnlessEmpty(QLatin1StringView("status_url"), document.statusUrl);
    insertUnlessEmpty(QLatin1StringView("change_id"), document.changeId);
    if (document.version != 0) {
        object.insert(QLatin1StringView("version"), static_cast<qint64>(document.version));
    }
    if (document.retryAfter > common::duration{}) {
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(document.retryAfter);
        object.insert(QLatin1StringView("retry_after_ms"), static_cast<qint64>(milliseconds.count()));
    }
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

void answerProblem(exchange &httpExchange, const problem &document)
{
    const bool isUnauthorized = document.kind == problem_kind::unauthorized;
    httpExchange.answer(statusOf(document.kind), "application/problem+json", toJson(document),
                        {{"Retry-After", retryAfterSeconds(document.retryAfter)},
                         {"WWW-Authenticate", isUnauthorized ? "Bearer" : ""},
                         {"Location", document.statusUrl}});
}

} // namespace masticlever::gateway
