#include "detail/record.h"

#include "detail/json-reader.h"
#include "detail/rules.h"
#include "detail/spec-json.h"

#include <masticlever/configuration/codec.h>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

using namespace Qt::Literals::StringLiterals;

namespace masticlever::configuration
{

namespace
{

constexpr int hexadecimal = 16;
constexpr qsizetype decidedFields = 6; ///< id, content hash, status, version, field, detail

QString kindKey(resource_kind kind)
{
    return detail::toQString(toString(kind));
}

QJsonObject parse(std::string_view json)
{
    const auto raw = QByteArray::fromRawData(json.data(), static_cast<qsizetype>(json.size()));
    return QJsonDocument::fromJson(raw).object();
}

template <typename Spec> QJsonObject encodeResources(const std::map<std::string, resource<Spec>> &resources)
{
    QJsonObject object;
    for (const auto &[name, entry] : resources) {
        object.insert(
            detail::toQString(name),
            QJsonObject{{u"version"_s, static_cast<qint64>(entry.version)}, {u"spec"_s, detail::toObject(entry.spec)}});
    }
    return object;
}

QJsonArray encodeOutcomes(const detail::replicated_state &state)
{
    QJsonArray array;
    for (const std::string &id : state.decidedIds()) {
        const detail::decided_change &decided = *state.findDecided(id);
        const change_outcome &outcome = decided.outcome;
        array.append(QJsonArray{detail::toQString(id), QString::number(decided.contentHash, hexadecimal),
                                static_cast<int>(outcome.status), static_cast<qint64>(outcome.version),
                                detail::toQString(outcome.field), detail::toQString(outcome.detail)});
    }
    return array;
}

template <typename Spec, typename Read>
bool decodeResources(const QJsonValue &value, resource_kind kind, Read readSpec, detail::replicated_state &state)
{
    const QJsonObject object = value.toObject();
    for (auto entry = object.begin(); entry != object.end(); ++entry) {
        const QJsonObject fields = entry.value().toObject();
        auto parsedSpec = readSpec(fields.value(u"spec"_s));
        const qint64 version = fields.value(u"version"_s).toInteger();
        if (parsedSpec.error || version <= 0) {
            return false;
        }
        const std::string name = entry.key().toStdString();
        state.put(name, {name, static_cast<std::uint64_t>(version), std::move(parsedSpec.spec)});
        if (state.versionOf(kind, name) == 0) {
            return false;
        }
    }
    return value.isObject();
}

bool decodeOutcomes(const QJsonValue &value, detail::replicated_state &state)
{
    const QJsonArray array = value.toArray();
    for (const auto &element : array) {
        const QJsonArray fields = element.toArray();
        const int status = fields.at(2).toInt(-1);
        if (fields.size() != decidedFields || status < 0 || status > static_cast<int>(change_status::invalid)) {
            return false;
        }
        const auto version = static_cast<std::uint64_t>(fields.at(3).toInteger());
        const change_outcome outcome{static_cast<change_status>(status), version, fields.at(4).toString().toStdString(),
                                     fields.at(5).toString().toStdString()};
        const std::uint64_t contentHash = fields.at(1).toString().toULongLong(nullptr, hexadecimal);
        state.remember(fields.at(0).toString().toStdString(), {contentHash, outcome});
    }
    return value.isArray();
}

detail::decoded_payload decodeSnapshot(const QJsonObject &object)
{
    detail::replicated_state state;
    const qint64 covers = object.value(u"covers"_s).toInteger(-1);
    const qint64 skipped = object.value(u"skipped"_s).toInteger(-1);
    const bool isComplete = decodeResources<endpoint_spec>(object.value(kindKey(resource_kind::endpoint)),
                                                           resource_kind::endpoint, detail::readEndpoint, state)
        && decodeResources<pipeline_spec>(object.value(kindKey(resource_kind::pipeline)), resource_kind::pipeline,
                                          detail::readPipeline, state)
        && decodeResources<team_spec>(object.value(kindKey(resource_kind::team)), resource_kind::team, detail::readTeam,
                                      state)
        && decodeOutcomes(object.value(u"decided"_s), state);
    if (!isComplete || covers < 0 || skipped < 0) {
        return detail::invalid_payload{};
    }
    state.setOffset(static_cast<platform::log_offset>(covers));
    state.addSkipped(static_cast<std::uint64_t>(skipped));
    const QString digest = QString::number(state.digest(), hexadecimal);
    if (object.value(u"digest"_s).toString() != digest) {
        return detail::invalid_payload{};
    }
    return state;
}

detail::decoded_payload decodeChange(const QJsonObject &object)
{
    change requested;
    const auto kind = parseKind(object.value(u"kind"_s).toString().toStdString());
    const QString op = object.value(u"op"_s).toString();
    const qint64 expected = object.value(u"expected"_s).toInteger(-1);
    requested.id = object.value(u"id"_s).toString().toStdString();
    if (!kind || expected < 0 || !detail::isChangeId(requested.id) || (op != "put"_L1 && op != "remove"_L1)) {
        return detail::invalid_payload{};
    }
    requested.kind = *kind;
    requested.what = op == "put"_L1 ? operation::put : operation::remove;
    requested.name = object.value(u"name"_s).toString().toStdString();
    requested.expectedVersion = static_cast<std::uint64_t>(expected);
    const QJsonValue spec = object.value(u"spec"_s);
    if (spec.isObject()) {
        requested.spec = detail::compact(spec.toObject());
    }
    return requested;
}

} // namespace

std::string encodeChange(const change &requested)
{
    QJsonObject fields{{u"id"_s, detail::toQString(requested.id)},
                       {u"op"_s, requested.what == operation::put ? u"put"_s : u"remove"_s},
                       {u"kind"_s, kindKey(requested.kind)},
                       {u"name"_s, detail::toQString(requested.name)},
                       {u"expected"_s, static_cast<qint64>(requested.expectedVersion)}};
    if (requested.what == operation::put) {
        const auto raw = QByteArray::fromRawData(requested.spec.data(), static_cast<qsizetype>(requested.spec.size()));
        const QJsonDocument spec = QJsonDocument::fromJson(raw);
        fields.insert(u"spec"_s, spec.isObject() ? QJsonValue(spec.object()) : QJsonValue(QJsonValue::Null));
    }
    return detail::compact({{u"change"_s, fields}});
}

namespace detail
{

decoded_payload decodePayload(std::string_view payload)
{
    if (payload.size() > maximumSnapshotBytes) {
        return invalid_payload{};
    }
    const QJsonObject object = parse(payload);
    if (object.size() != 1) {
        return invalid_payload{};
    }
    const QJsonValue snapshotValue = object.value(u"snapshot"_s);
    if (snapshotValue.isObject()) {
        return decodeSnapshot(snapshotValue.toObject());
    }
    if (payload.size() > maximumChangeBytes) {
        return invalid_payload{};
    }
    return decodeChange(object.value(u"change"_s).toObject());
}

std::string encodeState(const replicated_state &state)
{
    const snapshot &resources = state.resources();
    return compact({{u"snapshot"_s,
                     QJsonObject{{u"covers"_s, static_cast<qint64>(state.offset())},
                                 {u"digest"_s, QString::number(state.digest(), hexadecimal)},
                                 {u"skipped"_s, static_cast<qint64>(state.skipped())},
                                 {kindKey(resource_kind::pipeline), encodeResources(resources.pipelines)},
                                 {kindKey(resource_kind::team), encodeResources(resources.teams)},
                                 {kindKey(resource_kind::endpoint), encodeResources(resources.endpoints)},
                                 {u"decided"_s, encodeOutcomes(state)}}}});
}

} // namespace detail

} // namespace masticlever::configuration
