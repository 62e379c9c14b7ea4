#include "position.h"

#include <masticlever/common/json.h>
#include <masticlever/configuration/codec.h>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QJsonValue>
#include <QString>

#include <algorithm>

namespace masticlever::runs::detail
{

namespace
{

QString toQString(std::string_view text)
{
    return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QJsonObject parseObject(std::string_view json)
{
    return QJsonDocument::fromJson(QByteArray(json.data(), static_cast<qsizetype>(json.size()))).object();
}

std::string compact(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

bool isInput(const configuration::stage_spec &stage, const configuration::stage_spec &earlier, bool isPrevious)
{
    if (stage.inputs.empty()) {
        return isPrevious;
    }
    return std::find(stage.inputs.begin(), stage.inputs.end(), earlier.name) != stage.inputs.end();
}

} // namespace

std::string encodePosition(const position &what)
{
    QJsonArray results;
    for (const std::string &result : what.results) {
        results.append(toQString(result));
    }
    const QJsonObject object{
        {QStringLiteral("pipeline"), toQString(what.pipelineName)},
        {QStringLiteral("spec"), toQString(configuration::toJson(what.pipeline))},
        {QStringLiteral("body"), toQString(what.body)},
        {QStringLiteral("results"), results},
    };
    return compact(object);
}

std::optional<position> decodePosition(std::string_view json)
{
    const QJsonObject object = parseObject(json);
    auto spec = configuration::parsePipeline(object.value(QLatin1StringView("spec")).toString().toStdString());
    if (spec.error || spec.spec.stages.empty()) {
        return std::nullopt;
    }
    position decoded;
    decoded.pipelineName = object.value(QLatin1StringView("pipeline")).toString().toStdString();
    decoded.pipeline = std::move(spec.spec);
    decoded.body = object.value(QLatin1StringView("body")).toString().toStdString();
    const QJsonArray results = object.value(QLatin1StringView("results")).toArray();
    for (const auto &result : results) {
        decoded.results.push_back(result.toString().toStdString());
    }
    return decoded;
}

std::string makeCallBody(const configuration::pipeline_spec &pipeline, std::size_t stage, std::string_view body,
                         std::span<const std::string> results)
{
    std::string json = "{\"request\":";
    json += body;
    json += ",\"results\":{";
    bool isFirst = true;
    for (std::size_t i = 0; i < results.size(); ++i) {
        if (!isInput(pipeline.stages[stage], pipeline.stages[i], i + 1 == stage)) {
            continue;
        }
        json += isFirst ? "" : ",";
        json += common::quoteJson(pipeline.stages[i].name) + ':' + results[i];
        isFirst = false;
    }
    json += '}';
    json += '}';
    return json;
}

std::string encodeAnswer(const recorded_answer &answer)
{
    return compact({{QStringLiteral("result"), toQString(answer.result)}, {QStringLiteral("text"), answer.isText}});
}

recorded_answer decodeAnswer(std::string_view json)
{
    const QJsonObject object = parseObject(json);
    return {object.value(QLatin1StringView("result")).toString().toStdString(),
            object.value(QLatin1StringView("text")).toBool()};
}

status_answer parseStatus(std::string_view json)
{
    const QJsonObject object = parseObject(json);
    const QString state = object.value(QLatin1StringView("state")).toString();
    if (state == QLatin1StringView("running")) {
        return {status_state::running, {}};
    }
    if (state == QLatin1StringView("done") && object.contains(QLatin1StringView("result"))) {
        return {status_state::done, common::compactJson(object.value(QLatin1StringView("result")))};
    }
    return {};
}

} // namespace masticlever::runs::detail
