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
    bool isSame = false; ///< as the resource already is
};

/// Outcomes are kept in snapshots: the text has to survive JSON unchanged and stay short.
std::string plainText(std::string text)
{
    text.resize(std::min(text.size(), maximumDetailBytes));
    const auto isPlain = [](char c) { return c >= ' ' && c < '\x7f'; };
    std::replace_if(text.begin(), text.end(), std::not_fn(isPlain), '?');
    return text;
}

change_outcome refused(const field_error &error, std::uint64_t version)
{
    return {change_status::invalid, version, plainText(error.field), plainText(error.detail)};
}

template <typename Spec>
bool isPresent(const std::map<std::string, resource<Spec>> &kind, const std::string &name, const Spec &spec)
{
    const auto found = kind.find(name);
    return found != kind.end() && toJson(found->second.spec) == toJson(spec);
}

std::optional<field_error> checkMove(const snapshot &state, const std::string &name, const endpoint_spec &spec)
{
    const auto found = state.endpoints.find(name);
    const bool moves = found != state.endpoints.end() && found->second.spec.pool != spec.pool;
    return moves ? referrerOfEndpoint(state, name) : std::nullopt;
}

checked_put checkPipeline(const snapshot &state, const change &what)
{
    auto [spec, error] = parsePipeline(what.spec);
    if (!error) {
        error = danglingReference(state, spec);
    }
    const bool same = isPresent(state.pipelines, what.name, spec);
    return {std::move(spec), std::move(error), same};
}

checked_put checkTeam(const snapshot &state, const change &what)
{
    auto [spec, error] = parseTeam(what.spec);
    if (!error) {
        error = danglingReference(state, what.name, spec);
    }
    const bool same = isPresent(state.teams, what.name, spec);
    return {std::move(spec), std::move(error), same};
}

checked_put checkEndpoint(const snapshot &state, const change &what)
{
    auto [spec, error] = parseEndpoint(what.spec);
    if (!error) {
        error = checkMove(state, what.name, spec);
    }
    const bool same = isPresent(state.endpoints, what.name, spec);
    return {std::move(spec), std::move(error), same};
}

checked_put checkPut(const snapshot &state, const change &what)
{
    switch (what.kind) {
    case resource_kind::pipeline:
        return checkPipeline(state, what);
    case resource_kind::team:
        return checkTeam(state, what);
    case resource_kind::endpoint:
        return checkEndpoint(state, what);
    }
    return {};
}

std::optional<field_error> checkRemove(const snapshot &state, const change &what)
{
    switch (what.kind) {
    case resource_kind::pipeline:
        return referrerOfPipeline(state, what.name);
    case resource_kind::endpoint:
        return referrerOfEndpoint(state, what.name);
    case resource_kind::team:
        break;
    }
    return std::nullopt;
}

std::optional<field_error> checkLimits(const change &what)
{
    if (!isChangeId(what.id)) {
        return field_error{"change_id", "must be 1 to 64 letters, digits, '-', '_' or '.'"};
    }
    if (!isName(what.name)) {
        return field_error{"name", "must match [a-z0-9][a-z0-9-]{0,62}"};
    }
    if (encodeChange(what).size() > maximumChangeBytes) {
        return field_error{"spec", "is too large"};
    }
    return std::nullopt;
}

bool isFull(const table &state, const change &what)
{
    return what.what == operation::put && state.stateBytes() + what.spec.size() > maximumStateBytes;
}

std::optional<field_error> specFault(const change &what)
{
    switch (what.kind) {
    case resource_kind::pipeline:
        return parsePipeline(what.spec).error;
    case resource_kind::team:
        return parseTeam(what.spec).error;
    case resource_kind::endpoint:
        return parseEndpoint(what.spec).error;
    }
    return std::nullopt;
}

/// A decision and what to write when it is accepted.
struct verdict {
    change_outcome outcome;
    any_spec spec;
};

verdict judgePut(const table &state, const change &what, std::uint64_t present, platform::log_offset offset)
{
    checked_put put = checkPut(state.resources(), what);
    if (put.error) {
        return {refused(*put.error, present), {}};
    }
    if (put.isSame) {
        return {{change_status::unchanged, present, {}, {}}, {}};
    }
    return {{change_status::accepted, offset, {}, {}}, std::move(put.spec)};
}

verdict judge(const table &state, const change &what, platform::log_offset offset)
{
    const std::uint64_t present = state.versionOf(what.kind, what.name);
    if (const auto error = checkLimits(what)) {
        return {refused(*error, present), {}};
    }
    if (isFull(state, what)) {
        return {refused({"spec", "the configuration is full"}, present), {}};
    }
    if (what.expectedVersion != present) {
        return {{change_status::conflict, present, {}, "the present version is " + std::to_string(present)}, {}};
    }
    if (what.what == operation::put) {
        return judgePut(state, what, present, offset);
    }
    if (present == 0) {
        return {{change_status::unchanged, 0, {}, {}}, {}};
    }
    if (const auto error = checkRemove(state.resources(), what)) {
        return {refused(*error, present), {}};
    }
    return {{change_status::accepted, offset, {}, {}}, {}};
}

} // namespace

std::optional<field_error> formFault(const change &what)
{
    auto error = checkLimits(what);
    if (!error && what.what == operation::put) {
        error = specFault(what);
    }
    return error;
}

change_outcome decide(table &state, const change &what, platform::log_offset offset)
{
    verdict made = judge(state, what, offset);
    if (made.outcome.status != change_status::accepted) {
        return made.outcome;
    }
    if (what.what == operation::remove) {
        state.remove(what.kind, what.name);
        return made.outcome;
    }
    const auto write = [&](auto &spec) { state.put(what.name, {what.name, offset, std::move(spec)}); };
    std::visit(write, made.spec);
    return made.outcome;
}

change_outcome preview(const table &state, const change &what, platform::log_offset offset)
{
    return judge(state, what, offset).outcome;
}

} // namespace masticlever::configuration::detail
