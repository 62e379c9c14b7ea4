#include "detail/references.h"

#include "detail/json-reader.h"

#include <algorithm>
#include <cstddef>

namespace masticlever::configuration::detail
{

namespace
{

bool poolExists(const snapshot &state, const std::string &pool)
{
    return std::any_of(state.endpoints.begin(), state.endpoints.end(),
                       [&pool](const auto &entry) { return entry.second.spec.pool == pool; });
}

bool hasOtherEndpoint(const snapshot &state, const std::string &pool, const std::string &endpoint)
{
    return std::any_of(state.endpoints.begin(), state.endpoints.end(),
                       [&](const auto &entry) { return entry.first != endpoint && entry.second.spec.pool == pool; });
}

bool isTokenOfOtherTeam(const snapshot &state, const std::string &team, const std::string &digest)
{
    return std::any_of(state.teams.begin(), state.teams.end(), [&](const auto &entry) {
        const auto &digests = entry.second.spec.tokenDigests;
        return entry.first != team && std::find(digests.begin(), digests.end(), digest) != digests.end();
    });
}

std::string stagePoolPath(std::size_t index)
{
    return elementPath("spec.stages", index) + ".pool";
}

} // namespace

std::optional<field_error> findInvalidReference(const snapshot &state, const pipeline_spec &spec)
{
    for (std::size_t i = 0; i < spec.stages.size(); ++i) {
        if (!poolExists(state, spec.stages[i].pool)) {
            return field_error{stagePoolPath(i), "no endpoint belongs to pool " + spec.stages[i].pool};
        }
    }
    return std::nullopt;
}

std::optional<field_error> findInvalidReference(const snapshot &state, const std::string &team, const team_spec &spec)
{
    for (std::size_t i = 0; i < spec.pipelines.size(); ++i) {
        if (!state.pipelines.contains(spec.pipelines[i])) {
            return field_error{elementPath("spec.pipelines", i), "there is no pipeline " + spec.pipelines[i]};
        }
    }
    for (std::size_t i = 0; i < spec.tokenDigests.size(); ++i) {
        if (isTokenOfOtherTeam(state, team, spec.tokenDigests[i])) {
            return field_error{elementPath("spec.token_digests", i), "is a token of another team"};
        }
    }
    return std::nullopt;
}

std::optional<field_error> findEndpointReferrer(const snapshot &state, const std::string &endpoint)
{
    const auto found = state.endpoints.find(endpoint);
    if (found == state.endpoints.end() || hasOtherEndpoint(state, found->second.spec.pool, endpoint)) {
        return std::nullopt;
    }
    const std::string &pool = found->second.spec.pool;
    for (const auto &[name, pipeline] : state.pipelines) {
        const auto &stages = pipeline.spec.stages;
        const auto user = std::find_if(stages.begin(), stages.end(), [&](const auto &s) { return s.pool == pool; });
        if (user != stages.end()) {
            const auto index = static_cast<std::size_t>(user - stages.begin());
            return field_error{"pipeline/" + name + '/' + stagePoolPath(index), "needs an endpoint in pool " + pool};
        }
    }
    return std::nullopt;
}

std::optional<field_error> findPipelineReferrer(const snapshot &state, const std::string &pipeline)
{
    for (const auto &[name, team] : state.teams) {
        const auto &used = team.spec.pipelines;
        const auto found = std::find(used.begin(), used.end(), pipeline);
        if (found != used.end()) {
            const auto index = static_cast<std::size_t>(found - used.begin());
            return field_error{"team/" + name + '/' + elementPath("spec.pipelines", index),
                               "refers to pipeline " + pipeline};
        }
    }
    return std::nullopt;
}

} // namespace masticlever::configuration::detail
