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

void endpoint_directory::index(const endpoint_record &record)
{
    const auto add
        = [&](std::vector<std::string> &ids) { ids.insert(std::ranges::lower_bound(ids, record.id), record.id); };
    add(m_byService[record.service]);
    add(m_byAddress[record.address]);
}

void endpoint_directory::unindex(const endpoint_record &record)
{
    std::erase(m_byService[record.service], record.id);
    const auto found = m_byAddress.find(record.address);
    std::erase(found->second, record.id);
    if (found->second.empty()) {
        m_byAddress.erase(found);
    }
}

/// Whether the record is older than the removed one. An equal record is accepted, as it may be written again after it
/// expired, unless it may be the one of a copy from which the store was restored.
bool endpoint_directory::isOutdated(const endpoint_record &record) const
{
    const auto removed = m_removed.find(record.id);
    if (removed == m_removed.end()) {
        return false;
    }
    const std::tuple read(record.startedAtMs, record.sequence);
    const std::tuple known(removed->second.startedAtMs, removed->second.sequence);
    return removed->second.isBeforeRestore ? read <= known : read < known;
}

bool endpoint_directory::isStoreUnreliable(common::instant now) const
{
    return !m_isStoreReachable || (m_storeRecoveredAt && now - *m_storeRecoveredAt < m_options.expiryGrace);
}

std::vector<directory_change> endpoint_directory::onRecord(const endpoint_record &record, common::instant /*now*/)
{
    using what = directory_change::what;
    if (isOutdated(record)) {
        return {};
    }
    const auto removed = m_removed.find(record.id);
    removed_entry previous; // state of the same incarnation before its registration was removed
    if (removed != m_removed.end()) {
        previous = removed->second.startedAtMs == record.startedAtMs ? removed->second : previous;
        m_removed.erase(removed);
    }
    const auto found = m_entries.find(record.id);
    if (found == m_entries.end()) {
        const bool isLeaving = previous.wasLeaving || record.state == endpoint_state::draining;
        m_entries.emplace(record.id, entry{record, isLeaving, std::nullopt, previous.pausedUntil});
        index(record);
        return {change(isLeaving ? what::draining : what::added, record)};
    }
    entry &known = found->second;
    const auto order = [](const endpoint_record &r) { return std::tuple(r.startedAtMs, r.sequence); };
    if (order(record) < order(known.record)) {
        return {};
    }
    const bool isNewIncarnation = record.startedAtMs != known.record.startedAtMs;
    const bool wasLeaving = known.isLeaving && !isNewIncarnation;
    const bool wasExpired = known.expiredAt.has_value();
    if (record.service != known.record.service || record.address != known.record.address) {
        unindex(known.record);
        index(record);
    }
    if (isNewIncarnation) {
        known.pausedUntil = {};
    }
    known.record = record;
    known.isLeaving = wasLeaving || record.state == endpoint_state::draining;
    known.expiredAt.reset();
    if (known.isLeaving && !wasLeaving) {
        return {change(what::draining, record)};
    }
    if (isNewIncarnation || wasExpired) {
        return {change(isNewIncarnation ? what::added : what::returned, record)};
    }
    return {};
}

std::vector<directory_change> endpoint_directory::erase(std::map<std::string, entry, std::less<>>::iterator found,
                                                        common::instant now)
{
    std::vector<directory_change> changes{change(directory_change::what::removed, found->second.record)};
    const endpoint_record &record = found->second.record;
    m_removed[record.id]
        = {record.startedAtMs, record.sequence, now, found->second.isLeaving, found->second.pausedUntil, false};
    unindex(record);
    m_entries.erase(found);
    return changes;
}

std::vector<directory_change> endpoint_directory::onRemoved(std::string_view id, common::instant now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return {};
    }
    if (isStoreUnreliable(now) && !found->second.isLeaving) {
        found->second.expiredAt = found->second.expiredAt.value_or(now);
        return {};
    }
    return erase(found, now);
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

std::vector<directory_change> endpoint_directory::markLeaving(std::string_view id, common::instant /*now*/)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.isLeaving) {
        return {};
    }
    found->second.isLeaving = true;
    return {change(directory_change::what::draining, found->second.record)};
}

std::vector<directory_change> endpoint_directory::onPeerReportedLeaving(std::string_view id, std::uint64_t startedAtMs,
                                                                        common::instant now)
{
    return startedAtMsOf(id) == startedAtMs ? markLeaving(id, now) : std::vector<directory_change>{};
}

void endpoint_directory::onPauseRequested(std::string_view id, common::instant until)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end()) {
        found->second.pausedUntil = std::max(found->second.pausedUntil, until);
    }
}

common::instant endpoint_directory::pausedUntil(std::string_view id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? common::instant{} : found->second.pausedUntil;
}

std::vector<std::string> endpoint_directory::idsAt(std::string_view address) const
{
    const auto found = m_byAddress.find(address);
    return found == m_byAddress.end() ? std::vector<std::string>{} : found->second;
}

bool endpoint_directory::isLeaving(std::string_view id) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.isLeaving;
}

std::string_view endpoint_directory::serviceOf(std::string_view id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? std::string_view{} : found->second.record.service;
}

std::uint64_t endpoint_directory::startedAtMsOf(std::string_view id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? 0 : found->second.record.startedAtMs;
}

void endpoint_directory::setStoreReachable(bool isReachable, common::instant now)
{
    if (!isReachable) {
        m_storeLostAt = m_storeLostAt.value_or(now);
    } else if (const auto lostAt = std::exchange(m_storeLostAt, std::nullopt)) {
        // A single lost connection is not an outage: endpoints removed meanwhile have left and get no more work.
        m_storeRecoveredAt = now - *lostAt >= m_options.minimumOutage ? std::optional(now) : m_storeRecoveredAt;
    }
    m_isStoreReachable = isReachable;
}

void endpoint_directory::onStoreRestored(common::instant now)
{
    m_storeRecoveredAt = now;
    for (auto &[id, removed] : m_removed) {
        removed.isBeforeRestore = true;
    }
}

std::vector<directory_change> endpoint_directory::advance(common::instant now)
{
    std::erase_if(m_removed,
                  [&](const auto &item) { return now - item.second.removedAt > m_options.removedRetention; });
    if (isStoreUnreliable(now)) {
        return {};
    }
    std::vector<std::string> expired;
    for (const auto &[id, known] : m_entries) {
        if (known.expiredAt) {
            expired.push_back(id);
        }
    }
    std::vector<directory_change> changes;
    for (const std::string &id : expired) {
        std::ranges::move(erase(m_entries.find(id), now), std::back_inserter(changes));
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

std::vector<endpoint_record> endpoint_directory::records() const
{
    std::vector<endpoint_record> all;
    all.reserve(m_entries.size());
    for (const auto &[id, known] : m_entries) {
        if (known.expiredAt) {
            continue;
        }
        all.push_back(known.record);
        if (known.isLeaving) {
            all.back().state = endpoint_state::draining;
        }
    }
    return all;
}

const endpoint_record *endpoint_directory::findUsable(std::string_view id) const
{
    const auto found = m_entries.find(id);
    const bool isUsable = found != m_entries.end() && !found->second.isLeaving && !m_areEvacuationsUnknown
        && !m_evacuated.contains(found->second.record.dataCentre);
    return isUsable ? &found->second.record : nullptr;
}

} // namespace masticlever::catalog
