#include "scenario.h"

#include "generation.h"

namespace masticlever::process
{

using namespace Qt::Literals::StringLiterals;

namespace
{

const QJsonObject longDeadline{{u"deadline_ms"_s, 30'000}};

} // namespace

fleet_builder adviceFleet(std::size_t daemons)
{
    const QStringList fast{u"--tokens-per-second"_s, u"200"_s};
    fleet_builder builder;
    builder.daemons(daemons).endpoint(u"encode-1"_s, u"encode"_s);
    builder.endpoint(u"generate-1"_s, u"generate"_s, fast);
    builder.pipeline(u"advice"_s,
                     pipelineOf({stage(u"encode"_s), stage(u"generate"_s, {{u"streamed"_s, true}})}, longDeadline));
    return builder;
}

fleet_builder bookingFleet(std::size_t daemons)
{
    const QJsonObject once{{u"repeatable"_s, false}};
    const QJsonObject onceWithStatus{{u"repeatable"_s, false}, {u"status_path"_s, u"/status"_s}};
    fleet_builder builder;
    builder.daemons(daemons).endpoint(u"quote-1"_s, u"quote"_s);
    builder.endpoint(u"order-1"_s, u"order"_s).endpoint(u"confirm-1"_s, u"confirm"_s);
    builder.endpoint(u"dispatch-1"_s, u"dispatch"_s);
    builder.pipeline(
        u"booking"_s,
        pipelineOf({stage(u"quote"_s), stage(u"order"_s, onceWithStatus), stage(u"confirm"_s)}, longDeadline));
    builder.pipeline(u"pickup"_s, pipelineOf({stage(u"dispatch"_s, once)}, longDeadline));
    return builder;
}

QJsonObject request(const QString &prompt, int tokens)
{
    return {{u"prompt"_s, prompt}, {u"max_tokens"_s, tokens}};
}

QString problemOf(const http_call &call)
{
    const QString prefix = u"urn:masticlever:"_s;
    const QString type = call.json().value(u"type").toString();
    return type.startsWith(prefix) ? type.sliced(prefix.size()) : QString();
}

QByteArray completeText(const http_call &call)
{
    QByteArray text;
    for (const stream_event &event : call.events()) {
        if (event.name == "token") {
            text += event.data.value(u"text").toString().toUtf8();
        } else if (event.name == "end") {
            const bool fits = event.data.value(u"length").toInteger() == text.size()
                && event.data.value(u"digest").toString().toLatin1() == fakes::sha256(text);
            return fits && call.isComplete() ? text : QByteArray();
        }
    }
    return {};
}

} // namespace masticlever::process
