#include <masticlever/telemetry/tracing.h>

#include "detail/hex.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

namespace masticlever::telemetry
{

namespace
{

QString text(std::string_view value)
{
    return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

// The JSON mapping of protocol buffers encodes 64-bit integers as strings.
QJsonObject valueObject(const attribute_value &value)
{
    if (const auto *string = std::get_if<std::string>(&value)) {
        return {{QStringLiteral("stringValue"), text(*string)}};
    }
    if (const auto *integer = std::get_if<std::int64_t>(&value)) {
        return {{QStringLiteral("intValue"), QString::number(*integer)}};
    }
    if (const auto *number = std::get_if<double>(&value)) {
        return {{QStringLiteral("doubleValue"), *number}};
    }
    return {{QStringLiteral("boolValue"), std::get<bool>(value)}};
}

QJsonObject attributeObject(std::string_view name, const attribute_value &value)
{
    return {{QStringLiteral("key"), text(name)}, {QStringLiteral("value"), valueObject(value)}};
}

QString nanoseconds(span_time time)
{
    return QString::number(std::chrono::nanoseconds(time.time_since_epoch()).count());
}

QJsonObject spanObject(const span_record &span)
{
    QJsonArray attributes;
    for (const span_attribute &attribute : span.attributes) {
        attributes.append(attributeObject(attribute.name, attribute.value));
    }
    QJsonObject object{
        {QStringLiteral("traceId"), text(detail::toHex(span.context.trace))},
        {QStringLiteral("spanId"), text(detail::toHex(span.context.span))},
        {QStringLiteral("name"), text(span.name)},
        {QStringLiteral("kind"), static_cast<int>(span.kind)},
        {QStringLiteral("startTimeUnixNano"), nanoseconds(span.start)},
        {QStringLiteral("endTimeUnixNano"), nanoseconds(span.end)},
        {QStringLiteral("attributes"), attributes},
        {QStringLiteral("status"), QJsonObject{{QStringLiteral("code"), static_cast<int>(span.status)}}},
    };
    if (span.parent) {
        object.insert(QStringLiteral("parentSpanId"), text(detail::toHex(*span.parent)));
    }
    return object;
}

QJsonObject resourceObject(const trace_resource &resource)
{
    const QJsonArray attributes{
        attributeObject("service.name", std::string("masticleverd")),
        attributeObject("service.instance.id", resource.incarnation),
        attributeObject("host.name", resource.instance),
        attributeObject("masticlever.data_centre", resource.dataCentre),
    };
    return {{QStringLiteral("attributes"), attributes}};
}

} // namespace

std::string otlpJson(std::span<const span_record> spans, const trace_resource &resource)
{
    QJsonArray list;
    for (const span_record &span : spans) {
        list.append(spanObject(span));
    }
    const QJsonObject scope{{QStringLiteral("name"), QStringLiteral("masticlever")}};
    const QJsonArray scopes{QJsonObject{{QStringLiteral("scope"), scope}, {QStringLiteral("spans"), list}}};
    const QJsonArray resources{QJsonObject{
        {QStringLiteral("resource"), resourceObject(resource)},
        {QStringLiteral("scopeSpans"), scopes},
    }};
    const QJsonObject body{{QStringLiteral("resourceSpans"), resources}};
    return QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace masticlever::telemetry
