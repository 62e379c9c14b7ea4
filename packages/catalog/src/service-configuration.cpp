#include <masticlever/catalog/service-configuration.h>

#include <algorithm>
#include <utility>

namespace masticlever::catalog
{

std::vector<std::size_t> route::finalStages() const
{
    std::vector<std::size_t> finalIndices;
    for (std::size_t i = 0; i < stages.size(); ++i) {
        const bool hasSuccessor = std::ranges::any_of(
            stages, [&](const stage_spec &stage) { return std::ranges::find(stage.after, i) != stage.after.end(); });
        if (!hasSuccessor) {
            finalIndices.push_back(i);
        }
    }
    return finalIndices;
}

std::string_view route::serviceAt(double point) const
{
    double total = 0;
    for (const weighted_service &share : services) {
        total += std::max(share.weight, 0.0);
    }
    double left = total * point;
    std::string_view found;
    for (const weighted_service &share : services) {
        if (share.weight <= 0) {
            continue;
        }
        found = share.service; // rounding can leave a rest behind the last share
        left -= share.weight;
        if (left < 0) {
            break;
        }
    }
    return found;
}

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.rfind(':')));
    for (char &c : name) {
        c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }
    return name;
}

const route *service_configuration::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(normalizedHost(host));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(m_routes[index].pathPrefix)) {
            return &m_routes[index];
        }
    }
    return nullptr;
}

const service *service_configuration::findService(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

authorization service_configuration::authorize(const route &route, std::string_view key) const
{
    if (!m_needsKeys || route.isPublic) {
        return {.isGranted = true};
    }
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? authorization{} : authorization{true, &m_teams[found->second]};
}

service_configuration::builder &service_configuration::builder::version(std::uint64_t number)
{
    m_built.m_version = number;
    return *this;
}

service_configuration::builder &service_configuration::builder::limits(const caller_limits &limits)
{
    m_built.m_limits = limits;
    return *this;
}

service_configuration::builder &service_configuration::builder::add(route added)
{
    m_built.m_byHost[normalizedHost(added.host)].push_back(m_built.m_routes.size());
    m_built.m_routes.push_back(std::move(added));
    return *this;
}

service_configuration::builder &service_configuration::builder::add(service added)
{
    const std::string name = added.name;
    m_built.m_services.insert_or_assign(name, std::move(added));
    return *this;
}

service_configuration::builder &service_configuration::builder::requireKeys()
{
    m_built.m_needsKeys = true;
    return *this;
}

service_configuration::builder &service_configuration::builder::add(team added)
{
    requireKeys();
    for (const std::string &key : added.keys) {
        if (!key.empty()) {
            m_built.m_byKey[key] = m_built.m_teams.size();
        }
    }
    m_built.m_teams.push_back(std::move(added));
    return *this;
}

service_configuration service_configuration::builder::build()
{
    for (auto &[host, indices] : m_built.m_byHost) {
        std::ranges::stable_sort(indices, [&](std::size_t left, std::size_t right) {
            return m_built.m_routes[left].pathPrefix.size() > m_built.m_routes[right].pathPrefix.size();
        });
    }
    return std::move(m_built);
}

} // namespace masticlever::catalog
