#include <masticlever/configuration/codec.h>

#include "detail/json-reader.h"
#include "detail/rules.h"
#include "detail/spec-json.h"

#include <QJsonArray>

#include <algorithm>
#include <array>
#include <set>
#include <span>
#include <utility>

using namespace Qt::Literals::StringLiterals;

namespace masticlever::configuration
{

namespace
{

using detail::error_sink;
using detail::object_reader;
using detail::presence;

constexpr auto nameRule = "must match [a-z0-9][a-z0-9-]{0,62}";
constexpr auto pathRule = "must be an absolute HTTP path without query";

struct kind_name {
    resource_kind kind;
    std::string_view name;
};

constexpr std::array kindNames{kind_name{resource_kind::pipeline, "pipeline"}, kind_name{resource_kind::team, "team"},
                               kind_name{resource_kind::endpoint, "endpoint"}};

void readName(object_reader &reader, QLatin1StringView field, std::string &target, presence needed)
{
    reader.readString(field, target, needed);
    const bool absent = needed == presence::optional && target.empty();
    if (!absent && !detail::isName(target)) {
        reader.fail({field.data(), static_cast<std::size_t>(field.size())}, nameRule);
    }
}

void readStagePaths(object_reader &reader, stage_spec &stage)
{
    reader.readString("path"_L1, stage.path, presence::optional);
    if (!detail::isHttpPath(stage.path)) {
        reader.fail("path", pathRule);
    }
    reader.readString("status_path"_L1, stage.statusPath, presence::optional);
    if (!stage.statusPath.empty() && !detail::isHttpPath(stage.statusPath)) {
        reader.fail("status_path", pathRule);
    }
    if (!stage.statusPath.empty() && stage.repeatable) {
        reader.fail("status_path", "is only for a stage with repeatable: false");
    }
}

void checkInputs(const stage_spec &stage, std::span<const stage_spec> earlier, const std::string &path,
                 error_sink &errors)
{
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < stage.inputs.size(); ++i) {
        const std::string &input = stage.inputs[i];
        const auto isInput = [&input](const stage_spec &other) { return other.name == input; };
        if (std::none_of(earlier.begin(), earlier.end(), isInput)) {
            errors.add(detail::elementPath(path, i), "must name an earlier stage of this pipeline");
        }
        if (!seen.insert(input).second) {
            errors.add(detail::elementPath(path, i), "is named twice");
        }
    }
}

stage_spec readStage(const QJsonValue &value, std::span<const stage_spec> earlier, const std::string &path,
                     error_sink &errors)
{
    stage_spec stage;
    object_reader reader(value, path, errors);
    readName(reader, "name"_L1, stage.name, presence::required);
    const auto hasName = [&stage](const stage_spec &other) { return other.name == stage.name; };
    if (std::any_of(earlier.begin(), earlier.end(), hasName)) {
        reader.fail("name", "is the name of an earlier stage");
    }
    readName(reader, "pool"_L1, stage.pool, presence::required);
    reader.readBool("repeatable"_L1, stage.repeatable);
    reader.readBool("streamed"_L1, stage.streamed);
    readStagePaths(reader, stage);
    reader.readNumber("cost_per_call"_L1, stage.costPerCall, {0, detail::maximumCostPerCall});
    const bool hasInputs = reader.readStrings("inputs"_L1, stage.inputs, detail::maximumStages);
    if (!hasInputs && !earlier.empty()) {
        stage.inputs.push_back(earlier.back().name);
    }
    checkInputs(stage, earlier, reader.pathOf("inputs"), errors);
    reader.finish();
    return stage;
}

void readStages(object_reader &reader, pipeline_spec &spec, error_sink &errors)
{
    const QJsonValue value = reader.readValue("stages"_L1, presence::required);
    const QJsonArray array = value.toArray();
    if (!value.isArray() || array.empty() || static_cast<std::size_t>(array.size()) > detail::maximumStages) {
        reader.fail("stages", "must be an array of 1 to " + std::to_string(detail::maximumStages) + " stages");
        return;
    }
    const std::string path = reader.pathOf("stages");
    for (const auto &element : array) {
        const std::string stagePath = detail::elementPath(path, spec.stages.size());
        spec.stages.push_back(readStage(element, spec.stages, stagePath, errors));
    }
    for (std::size_t i = 0; i + 1 < spec.stages.size(); ++i) {
        if (spec.stages[i].streamed) {
            errors.add(detail::elementPath(path, i) + ".streamed", "only the last stage may be streamed");
        }
    }
}

void checkEach(const std::vector<std::string> &texts, bool (*isValid)(std::string_view), const char *rule,
               const std::string &path, error_sink &errors)
{
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < texts.size(); ++i) {
        if (!isValid(texts[i])) {
            errors.add(detail::elementPath(path, i), rule);
        }
        if (!seen.insert(texts[i]).second) {
            errors.add(detail::elementPath(path, i), "is named twice");
        }
    }
}

QJsonArray toArray(const std::vector<std::string> &texts)
{
    QJsonArray array;
    for (const std::string &text : texts) {
        array.append(detail::toQString(text));
    }
    return array;
}

QJsonObject stageObject(const stage_spec &stage)
{
    QJsonObject object{{u"name"_s, detail::toQString(stage.name)},
                       {u"pool"_s, detail::toQString(stage.pool)},
                       {u"path"_s, detail::toQString(stage.path)},
                       {u"repeatable"_s, stage.repeatable},
                       {u"streamed"_s, stage.streamed},
                       {u"inputs"_s, toArray(stage.inputs)},
                       {u"cost_per_call"_s, stage.costPerCall}};
    if (!stage.statusPath.empty()) {
        object.insert(u"status_path"_s, detail::toQString(stage.statusPath));
    }
    return object;
}

template <typename Spec> parsed<Spec> parseSpec(std::string_view json, parsed<Spec> (*read)(const QJsonValue &))
{
    error_sink errors;
    const QJsonValue object = detail::parseObject(json, "spec", errors);
    return errors.first() ? parsed<Spec>{{}, errors.first()} : read(object);
}

} // namespace

namespace detail
{

parsed<pipeline_spec> readPipeline(const QJsonValue &json)
{
    error_sink errors;
    pipeline_spec spec;
    object_reader reader(json, "spec", errors);
    readStages(reader, spec, errors);
    const auto deadline = reader.readInteger("deadline_ms"_L1, {1, maximumDeadlineMs});
    if (deadline) {
        spec.deadline = std::chrono::milliseconds(*deadline);
    }
    reader.readNumber("retry_budget"_L1, spec.retryBudget, {0, 1});
    reader.readBool("hedging"_L1, spec.hedging);
    reader.finish();
    return {std::move(spec), errors.first()};
}

parsed<team_spec> readTeam(const QJsonValue &json)
{
    error_sink errors;
    team_spec spec;
    object_reader reader(json, "spec", errors);
    reader.readStrings("token_digests"_L1, spec.tokenDigests, maximumTokenDigests);
    checkEach(spec.tokenDigests, isDigest, "must be 64 lower-case hexadecimal digits", reader.pathOf("token_digests"),
              errors);
    reader.readStrings("pipelines"_L1, spec.pipelines, maximumTeamPipelines);
    checkEach(spec.pipelines, isName, nameRule, reader.pathOf("pipelines"), errors);
    reader.readNumber("weight"_L1, spec.weight, {minimumWeight, maximumWeight});
    const auto inFlight = reader.readInteger("max_in_flight"_L1, {1, maximumTeamInFlight});
    spec.maxInFlight = static_cast<std::size_t>(inFlight.value_or(static_cast<std::int64_t>(spec.maxInFlight)));
    const auto bodyBytes = reader.readInteger("max_body_bytes"_L1, {1, maximumTeamBodyBytes});
    spec.maxBodyBytes = static_cast<std::size_t>(bodyBytes.value_or(static_cast<std::int64_t>(spec.maxBodyBytes)));
    reader.finish();
    return {std::move(spec), errors.first()};
}

parsed<endpoint_spec> readEndpoint(const QJsonValue &json)
{
    error_sink errors;
    endpoint_spec spec;
    object_reader reader(json, "spec", errors);
    readName(reader, "pool"_L1, spec.pool, presence::required);
    reader.readString("address"_L1, spec.address, presence::required);
    if (!isAddress(spec.address)) {
        reader.fail("address", "must be IP:port");
    }
    readName(reader, "data_centre"_L1, spec.dataCentre, presence::optional);
    reader.readBool("checks_fencing"_L1, spec.checksFencing);
    const auto slots = reader.readInteger("slots"_L1, {1, maximumSlots});
    spec.slots = static_cast<std::size_t>(slots.value_or(static_cast<std::int64_t>(spec.slots)));
    reader.readBool("draining"_L1, spec.draining);
    reader.finish();
    return {std::move(spec), errors.first()};
}

QJsonObject toObject(const pipeline_spec &spec)
{
    QJsonArray stages;
    for (const stage_spec &stage : spec.stages) {
        stages.append(stageObject(stage));
    }
    return {{u"stages"_s, stages},
            {u"deadline_ms"_s, static_cast<qint64>(spec.deadline.count())},
            {u"retry_budget"_s, spec.retryBudget},
            {u"hedging"_s, spec.hedging}};
}

QJsonObject toObject(const team_spec &spec)
{
    return {{u"token_digests"_s, toArray(spec.tokenDigests)},
            {u"pipelines"_s, toArray(spec.pipelines)},
            {u"weight"_s, spec.weight},
            {u"max_in_flight"_s, static_cast<qint64>(spec.maxInFlight)},
            {u"max_body_bytes"_s, static_cast<qint64>(spec.maxBodyBytes)}};
}

QJsonObject toObject(const endpoint_spec &spec)
{
    return {{u"pool"_s, toQString(spec.pool)},
            {u"address"_s, toQString(spec.address)},
            {u"data_centre"_s, toQString(spec.dataCentre)},
            {u"checks_fencing"_s, spec.checksFencing},
            {u"slots"_s, static_cast<qint64>(spec.slots)},
            {u"draining"_s, spec.draining}};
}

} // namespace detail

parsed<pipeline_spec> parsePipeline(std::string_view json)
{
    return parseSpec(json, detail::readPipeline);
}

parsed<team_spec> parseTeam(std::string_view json)
{
    return parseSpec(json, detail::readTeam);
}

parsed<endpoint_spec> parseEndpoint(std::string_view json)
{
    return parseSpec(json, detail::readEndpoint);
}

std::string toJson(const pipeline_spec &spec)
{
    return detail::compact(detail::toObject(spec));
}

std::string toJson(const team_spec &spec)
{
    return detail::compact(detail::toObject(spec));
}

std::string toJson(const endpoint_spec &spec)
{
    return detail::compact(detail::toObject(spec));
}

std::string_view toString(resource_kind kind)
{
    const auto isKind = [kind](const kind_name &entry) { return entry.kind == kind; };
    return std::find_if(kindNames.begin(), kindNames.end(), isKind)->name;
}

std::optional<resource_kind> parseKind(std::string_view text)
{
    const auto isNamed = [text](const kind_name &entry) { return entry.name == text; };
    const auto *found = std::find_if(kindNames.begin(), kindNames.end(), isNamed);
    return found == kindNames.end() ? std::nullopt : std::optional(found->kind);
}

} // namespace masticlever::configuration
