#include "resource-json.h"

#include <masticlever/configuration/codec.h>

#include <QByteArray>
#include <QJsonDocument>
#include <QString>

#include <map>

namespace masticlever::gateway::detail
{

namespace
{

using configuration::resource_kind;

constexpr resource_kind allKinds[] = {resource_kind::endpoint, resource_kind::pipeline, resource_kind::team};

QString toQString(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QJsonObject statusJson(std::uint64_t version, std::span<const instance_status> instances)
{
    QJsonArray inForce;
    bool isEverywhere = true;
    for (const instance_status &instance : instances) {
        isEverywhere = isEverywhere && instance.configurationOffset >= version;
        inForce.append(QJsonObject{
            {QStringLiteral("instance"), toQString(instance.name)},
            {QStringLiteral("offset"), static_cast<qint64>(instance.configurationOffset)},
            {QStringLiteral("in_force"), instance.configurationOffset >= version},
        });
    }
    return {{QStringLiteral("in_force"), inForce}, {QStringLiteral("in_force_everywhere"), isEverywhere}};
}

template <typename Spec>
QJsonObject makeResourceJson(resource_kind kind, const configuration::resource<Spec> &resource,
                             std::span<const instance_status> instances)
{
    const std::string spec = configuration::toJson(resource.spec);
    return {
        {QStringLiteral("kind"), toQString(configuration::toString(kind))},
        {QStringLiteral("name"), toQString(resource.name)},
        {QStringLiteral("version"), static_cast<qint64>(resource.version)},
        {QStringLiteral("spec"), QJsonDocument::fromJson(QByteArray::fromStdString(spec)).object()},
        {QStringLiteral("status"), statusJson(resource.version, instances)},
    };
}

/// Calls \p visit with the map that holds the resources of \p kind.
template <typename Visit> void visitKind(const configuration::snapshot &current, resource_kind kind, Visit visit)
{
    switch (kind) {
    case resource_kind::pipeline:
        visit(current.pipelines);
        return;
    case resource_kind::team:
        visit(current.teams);
        return;
    case resource_kind::endpoint:
        visit(current.endpoints);
        return;
    }
}

} // namespace

std::optional<QJsonObject> resourceJson(const configuration::snapshot &current, resource_kind kind,
                                        const std::string &name, std::span<const instance_status> instances)
{
    std::optional<QJsonObject> json;
    visitKind(current, kind, [&](const auto &resources) {
        const auto found = resources.find(name);
        if (found != resources.end()) {
            json = makeResourceJson(kind, found->second, instances);
        }
    });
    return json;
}

QJsonArray resourcesJson(const configuration::snapshot &current, resource_kind kind, std::uint64_t newerThan,
                         std::span<const instance_status> instances)
{
    QJsonArray array;
    visitKind(current, kind, [&](const auto &resources) {
        for (const auto &[name, resource] : resources) {
            if (resource.version > newerThan) {
                array.append(makeResourceJson(kind, resource, instances));
            }
        }
    });
    return array;
}

QJsonArray presentJson(const configuration::snapshot &current)
{
    QJsonArray array;
    for (const resource_kind kind : allKinds) {
        const QString prefix = toQString(configuration::toString(kind)) + QLatin1Char('/');
        visitKind(current, kind, [&](const auto &resources) {
            for (const auto &[name, resource] : resources) {
                array.append(prefix + toQString(name));
            }
        });
    }
    return array;
}

QJsonObject instanceJson(const instance_status &instance)
{
    return {
        {QStringLiteral("name"), toQString(instance.name)},
        {QStringLiteral("incarnation"), toQString(instance.incarnation)},
        {QStringLiteral("data_centre"), toQString(instance.dataCentre)},
        {QStringLiteral("address"), toQString(instance.address)},
        {QStringLiteral("state"), instance.leaving ? QStringLiteral("leaving") : QStringLiteral("live")},
        {QStringLiteral("log_reachable"), instance.logReachable},
        {QStringLiteral("configuration_offset"), static_cast<qint64>(instance.configurationOffset)},
    };
}

QJsonObject runJson(const doubtful_run &run)
{
    const QString howToSettle = run.hasStatusQuery
        ? QStringLiteral("the endpoints are asked again; or ask the endpoint's operator and settle it")
        : QStringLiteral("ask the endpoint's operator and settle it with the result");
    return {
        {QStringLiteral("team"), toQString(run.key.team)},
        {QStringLiteral("key"), toQString(run.key.key)},
        {QStringLiteral("pipeline"), toQString(run.pipeline)},
        {QStringLiteral("stage"), toQString(run.stage)},
        {QStringLiteral("owner"), toQString(run.owner)},
        {QStringLiteral("since_ms"), static_cast<qint64>(run.since.time_since_epoch().count())},
        {QStringLiteral("state"), QStringLiteral("unknown")},
        {QStringLiteral("how_to_settle"), howToSettle},
    };
}

std::string compact(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace masticlever::gateway::detail
