#include "detail/decide.h"

#include "detail/references.h"
#include "detail/rules.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <variant>

namespace masticlever::configuration::detail
{

namespace
{

using any_spec = std::variant<pipeline_spec, team_spec, endpoint_spec>;

struct checked_put {
    any_spec spec;
    std::optional<field_error> error;
    bool isUnchanged = false; ///< the resource already has this specification
};

/// Outcomes are stored in snapshots, so their texts must survive JSON unchanged and stay short.
std::string toPrintableAscii(std::string text)
{
    text.resize(std::min(text.size(), maximumDetailBytes));
    const auto isPrintable = [](char c) { return c >= ' ' && c < '\x7f'; };
    std::replace_if(text.begin(), text.end(), std::not_fn(isPrintable), '?');
    return text;
}

change_outcome invalidOutcome(const field_error &error, std::uint64_t version)
{
    return {change_status::invalid, version, toPrintableAscii(error.field), toPrintableAscii(error.detail)};
}

template <typename Spec>
bool hasSpec(const std::map<std::string, resource<Spec>> &resources, const std::string &name, const Spec &spec)
{
    const auto found = resources.find(name);
    return found != resources.end() && toJson(found->second.spec) == toJson(spec);
}

std::optional<field_error> checkPoolChange(const snapshot &state, const std::string &name, const endpoint_spec &spec)
{
    const auto found = state.endpoints.find(name);
    const bool changesPool = found != state.endpoints.end() && found->second.spec.pool != spec.pool;
    return changesPool ? findEndpointReferrer(state, name) : std::nullopt;
}

checked_put checkPipeline(const snapshot &state, const change &requested)
{
    auto [spec, error] = parsePipeline(requested.spec);
    if (!error) {
        error = findInvalidReference(state, spec);
    }
    const bool isUnchanged = hasSpec(state.pipelines, requested.name, spec);
    return {std::move(spec), std::move(error), isUnchanged};
}

checked_put checkTeam(const snapshot &state, const change &requested)
{
    auto [spec, error] = parseTeam(requested.spec);
    if (!error) {
        error = findInvalidReference(state, requested.name, spec);
    }
    const bool isUnchanged = hasSpec(state.teams, requested.name, spec);
    return {std::move(spec), std::move(error), isUnchanged};
}

checked_put checkEndpoint(const snapshot &state, const change &requested)
{
    auto [spec, error] = parseEndpoint(requested.spec);
    if (!error) {
        error = checkPoolChange(state, requested.name, spec);
    }
    const bool isUnchanged = hasSpec(state.endpoints, requested.name, spec);
    return {std::move(spec), std::move(error), isUnchanged};
}

checked_put checkPut(const snapshot &state, const change &requested)
{
    switch (requested.kind) {
    case resource_kind::pipeline:
        return checkPipeline(state, requested);
    case resource_kind::team:
        return checkTeam(state, requested);
    case resource_kind::endpoint:
        return checkEndpoint(state, requested);
    }
    return {};
}

std::optional<field_error> checkRemove(const snapshot &state, const change &requested)
{
    switch (requested.kind) {
    case resource_kind::pipeline:
        return findPipelineReferrer(state, requested.name);
    case resource_kind::endpoint:
        return findEndpointReferrer(state, requested.name);
    case resource_kind::team:
        break;
    }
    return std::nullopt;
}

std::optional<field_error> checkLimits(const change &requested)
{
    if (!isChangeId(requested.id)) {
        return field_error{"change_id", "must be 1 to 64 letters, digits, '-', '_' or '.'"};
    }
    if (!isName(requested.name)) {
        return field_error{"name", "must match [a-z0-9][a-z0-9-]{0,62}"};
    }
    if (encodeChange(requested).size() > maximumChangeBytes) {
        return field_error{"spec", "is too large"};
    }
    return std::nullopt;
}

bool isFull(const replicated_state &state, const change &requested)
{
    return requested.what == operation::put && state.stateBytes() + requested.spec.size() > maximumStateBytes;
}

std::optional<field_error> validateSpec(const change &requested)
{
    switch (requested.kind) {
    case resource_kind::pipeline:
        return parsePipeline(requested.spec).error;
    case resource_kind::team:
        return parseTeam(requested.spec).error;
    case resource_kind::endpoint:
        return parseEndpoint(requested.spec).error;
    }
    return std::nullopt;
}

/// The outcome of a change and the specification to store if it is accepted.
struct decision {
    change_outcome outcome;
    any_spec spec;
};

decision evaluatePut(const replicated_state &state, const change &requested, std::uint64_t currentVersion,
                     platform::log_offset offset)
{
    checked_put put = checkPut(state.resources(), requested);
    if (put.error) {
        return {invalidOutcome(*put.error, currentVersion), {}};
    }
    if (put.isUnchanged) {
        return {{change_status::unchanged, currentVersion, {}, {}}, {}};
    }
    return {{change_status::accepted, offset, {}, {}}, std::move(put.spec)};
}

decision evaluate(const replicated_state &state, const change &requested, platform::log_offset offset)
{
    const std::uint64_t currentVersion = state.versionOf(requested.kind, requested.name);
    if (const auto error = checkLimits(requested)) {
        return {invalidOutcome(*error, currentVersion), {}};
    }
    if (isFull(state, requested)) {
        return {invalidOutcome({"spec", "the configuration is full"}, currentVersion), {}};
    }
    if (requested.expectedVersion != currentVersion) {
        return {
            {change_status::conflict, currentVersion, {}, "the present version is " + std::to_string(currentVersion)},
            {}};
    }
    if (requested.what == operation::put) {
        return evaluatePut(state, requested, currentVersion, offset);
    }
    if (currentVersion == 0) {
        return {{change_status::unchanged, 0, {}, {}}, {}};
    }
    if (const auto error = checkRemove(state.resources(), requested)) {
        return {invalidOutcome(*error, currentVersion), {}};
    }
    return {{change_status::accepted, offset, {}, {}}, {}};
}

} // namespace

std::optional<field_error> validateChange(const change &requested)
{
    auto error = checkLimits(requested);
    if (!error && requested.what == operation::put) {
        error = validateSpec(requested);
    }
    return error;
}

change_outcome decide(replicated_state &state, const change &requested, platform::log_offset offset)
{
    decision result = evaluate(state, requested, offset);
    if (result.outcome.status != change_status::accepted) {
        return result.outcome;
    }
    if (requested.what == operation::remove) {
        state.remove(requested.kind, requested.name);
        return result.outcome;
    }
    const auto write = [&](auto &spec) { state.put(requested.name, {requested.name, offset, std::move(spec)}); };
    std::visit(write, result.spec);
    return result.outcome;
}

change_outcome preview(const replicated_state &state, const change &requested, platform::log_offset offset)
{
    return evaluate(state, requested, offset).outcome;
}

} // namespace masticlever::configuration::detail
