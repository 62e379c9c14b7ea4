#include <masticlever/catalog/endpoint-directory.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace masticlever::catalog
{

namespace
{

directory_change change(directory_change::what kind, const endpoint_record &record)
{
    return {kind, record.id, record.service, record.address};
}

} // namespace

void endpoint_directory::indexService(const endpoint_record &record)
{
    std::vector<std::string> &ids = m_byService[record.service];
    ids.insert(std::ranges::lower_bound(ids, record.id), record.id);
}

void endpoint_directory::unindexService(const endpoint_record &record)
{
    std::erase(m_byService[record.service], record.id);
}

bool endpoint_directory::isStoreSuspect(common::instant now) const
{
    return !m_isStoreReachable || (m_storeBackAt && now - *m_storeBackAt < m_options.lapseGrace);
}

std::vector<directory_change> endpoint_directory::onRecord(const endpoint_record &record, common::instant /*now*/)
{
    using what = directory_change::what;
    const auto found = m_entries.find(record.id);
    if (found == m_entries.end()) {
        m_entries.emplace(record.id, entry{record, record.state == endpoint_state::draining, std::nullopt});
        indexService(record);
        return {change(record.state == endpoint_state::draining ? what::draining : what::added, record)};
    }
    entry &known = found->second;
    const auto order = [](const endpoint_record &r) { return std::tuple(r.bornMs, r.sequence); };
    if (order(record) < order(known.record)) {
        return {};
    }
    const bool isNewIncarnation = record.bornMs != known.record.bornMs;
    const bool wasLeaving = known.isLeaving && !isNewIncarnation;
    const bool hadLapsed = known.lapsedAt.has_value();
    if (record.service != known.record.service) {
        unindexService(known.record);
        indexService(record);
    }
    known.record = record;
    known.isLeaving = wasLeaving || record.state == endpoint_state::draining;
    known.lapsedAt.reset();
    if (known.isLeaving && !wasLeaving) {
        return {change(what::draining, record)};
    }
    if (isNewIncarnation || hadLapsed) {
        return {change(isNewIncarnation ? what::added : what::returned, record)};
    }
    return {};
}

std::vector<directory_change> endpoint_directory::erase(std::map<std::string, entry, std::less<>>::iterator found)
{
    std::vector<directory_change> changes{change(directory_change::what::removed, found->second.record)};
    unindexService(found->second.record);
    m_entries.erase(found);
    return changes;
}

std::vector<directory_change> endpoint_directory::onRemoved(std::string_view id, common::instant now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return {};
    }
    if (isStoreSuspect(now) && !found->second.isLeaving) {
        found->second.lapsedAt = found->second.lapsedAt.value_or(now);
        return {};
    }
    return erase(found);
}

std::vector<directory_change> endpoint_directory::onListing(std::span<const std::string> ids, common::instant now)
{
    std::vector<std::string> missing;
    for (const auto &[id, known] : m_entries) {
        if (std::ranges::find(ids, id) == ids.end()) {
            missing.push_back(id);
        }
    }
    std::vector<directory_change> changes;
    for (const std::string &id : missing) {
        std::ranges::move(onRemoved(id, now), std::back_inserter(changes));
    }
    return changes;
}

std::vector<directory_change> endpoint_directory::onSeenLeaving(std::string_view id, common::instant /*now*/)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.isLeaving) {
        return {};
    }
    found->second.isLeaving = true;
    return {change(directory_change::what::draining, found->second.record)};
}

void endpoint_directory::onStoreReachable(bool isReachable, common::instant now)
{
    if (isReachable && !m_isStoreReachable) {
        m_storeBackAt = now;
    }
    m_isStoreReachable = isReachable;
}

std::vector<directory_change> endpoint_directory::advance(common::instant now)
{
    if (isStoreSuspect(now)) {
        return {};
    }
    std::vector<std::string> ended;
    for (const auto &[id, known] : m_entries) {
        if (known.lapsedAt) {
            ended.push_back(id);
        }
    }
    std::vector<directory_change> changes;
    for (const std::string &id : ended) {
        std::ranges::move(erase(m_entries.find(id)), std::back_inserter(changes));
    }
    return changes;
}

std::vector<const endpoint_record *> endpoint_directory::usable(std::string_view service) const
{
    std::vector<const endpoint_record *> found;
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end()) {
        return found;
    }
    for (const std::string &id : ids->second) {
        if (const endpoint_record *record = findUsable(id)) {
            found.push_back(record);
        }
    }
    return found;
}

const endpoint_record *endpoint_directory::findUsable(std::string_view id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() || found->second.isLeaving ? nullptr : &found->second.record;
}

} // namespace masticlever::catalog
