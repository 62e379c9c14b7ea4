#include "detail/replicated-state.h"

#include "detail/rules.h"

#include <masticlever/common/digest.h>
#include <masticlever/configuration/codec.h>

#include <utility>

namespace masticlever::configuration::detail
{

namespace
{

constexpr char separator = '\n';

std::uint64_t hashOf(const std::string &changeId, const decided_change &decided)
{
    const change_outcome &outcome = decided.outcome;
    const std::string content = std::to_string(decided.contentHash);
    const std::string status = std::to_string(static_cast<int>(outcome.status));
    const std::string version = std::to_string(outcome.version);
    return common::stableHash("change\n" + changeId + separator + content + separator + status + separator + version
                              + separator + outcome.field + separator + outcome.detail);
}

struct entry_measure {
    std::uint64_t hash = 0;
    std::size_t bytes = 0;
};

template <typename Spec> entry_measure measure(std::string_view kind, const resource<Spec> &entry)
{
    const std::string json = toJson(entry.spec);
    const std::string text = std::string(kind) + separator + entry.name + separator + std::to_string(entry.version);
    return {common::stableHash(text + separator + json), entry.name.size() + json.size()};
}

template <typename Spec>
std::uint64_t versionIn(const std::map<std::string, resource<Spec>> &resources, const std::string &name)
{
    const auto found = resources.find(name);
    return found == resources.end() ? 0 : found->second.version;
}

} // namespace

const decided_change *replicated_state::findDecided(std::string_view changeId) const
{
    const auto found = m_decided.find(changeId);
    return found == m_decided.end() ? nullptr : &found->second;
}

std::uint64_t replicated_state::versionOf(resource_kind kind, const std::string &name) const
{
    switch (kind) {
    case resource_kind::pipeline:
        return versionIn(m_resources.pipelines, name);
    case resource_kind::team:
        return versionIn(m_resources.teams, name);
    case resource_kind::endpoint:
        return versionIn(m_resources.endpoints, name);
    }
    return 0;
}

std::uint64_t replicated_state::digest() const
{
    return m_contentDigest + common::stableHash("skipped\n" + std::to_string(m_skipped));
}

void replicated_state::put(const std::string &name, resource<pipeline_spec> entry)
{
    putInto(m_resources.pipelines, toString(resource_kind::pipeline), name, std::move(entry));
}

void replicated_state::put(const std::string &name, resource<team_spec> entry)
{
    putInto(m_resources.teams, toString(resource_kind::team), name, std::move(entry));
}

void replicated_state::put(const std::string &name, resource<endpoint_spec> entry)
{
    putInto(m_resources.endpoints, toString(resource_kind::endpoint), name, std::move(entry));
}

void replicated_state::remove(resource_kind kind, const std::string &name)
{
    switch (kind) {
    case resource_kind::pipeline:
        return removeFrom(m_resources.pipelines, toString(kind), name);
    case resource_kind::team:
        return removeFrom(m_resources.teams, toString(kind), name);
    case resource_kind::endpoint:
        return removeFrom(m_resources.endpoints, toString(kind), name);
    }
}

void replicated_state::remember(const std::string &changeId, const decided_change &decided)
{
    m_decided.emplace(changeId, decided);
    m_decidedOrder.push_back(changeId);
    m_contentDigest += hashOf(changeId, decided);
    if (m_decidedOrder.size() <= maximumRememberedOutcomes) {
        return;
    }
    const auto oldest = m_decided.find(m_decidedOrder.front());
    m_contentDigest -= hashOf(oldest->first, oldest->second);
    m_decided.erase(oldest);
    m_decidedOrder.pop_front();
}

template <typename Spec>
void replicated_state::putInto(std::map<std::string, resource<Spec>> &resources, std::string_view kindName,
                               const std::string &name, resource<Spec> entry)
{
    removeFrom(resources, kindName, name);
    entry.name = name;
    const entry_measure added = measure(kindName, entry);
    m_contentDigest += added.hash;
    m_stateBytes += added.bytes;
    resources.insert_or_assign(name, std::move(entry));
}

template <typename Spec>
void replicated_state::removeFrom(std::map<std::string, resource<Spec>> &resources, std::string_view kindName,
                                  const std::string &name)
{
    const auto found = resources.find(name);
    if (found == resources.end()) {
        return;
    }
    const entry_measure removed = measure(kindName, found->second);
    m_contentDigest -= removed.hash;
    m_stateBytes -= removed.bytes;
    resources.erase(found);
}

} // namespace masticlever::configuration::detail
