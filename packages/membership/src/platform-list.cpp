#include <masticlever/membership/membership.h>

#include <algorithm>

namespace masticlever::membership
{

void membership_table::onEndpointLeaving(const endpoint_notice &notice, common::instant now)
{
    if (m_leavingEndpoints.size() < m_options.maximumLeavingEndpoints) {
        m_leavingEndpoints.try_emplace(notice, leaving_entry{now, false});
    }
}

void membership_table::onList(std::span<const platform::listed_instance> list, common::instant now)
{
    for (auto &[incarnation, known] : m_instances) {
        known.listed = false;
    }
    for (const platform::listed_instance &listed : list) {
        if (listed.kind == platform::instance_kind::entry) {
            onListedEntry(listed, now);
        } else {
            onListedEndpoint(listed, now);
        }
    }
    std::erase_if(m_listedEndpoints, [&](const auto &item) { return item.second.seenAt != now; });
    removeStale(now);
}

void membership_table::onListedEntry(const platform::listed_instance &listed, common::instant now)
{
    if (listed.incarnation == m_self.incarnation) {
        return;
    }
    const bool isLeaving = listed.state == platform::instance_state::leaving;
    const auto found = m_instances.find(listed.incarnation);
    entry *known = found == m_instances.end() ? nullptr : &found->second;
    if (known == nullptr) {
        instance_notice notice;
        notice.name = listed.name;
        notice.incarnation = listed.incarnation;
        notice.dataCentre = listed.dataCentre;
        notice.peerAddress = listed.peerAddress;
        known = add(notice, now);
        if (known != nullptr) {
            known->changedAt = {}; // not gossiped: the peers read the list too
        }
    }
    if (known != nullptr) {
        known->listed = true;
        known->notice.leaving = known->notice.leaving || isLeaving;
    }
}

void membership_table::onListedEndpoint(const platform::listed_instance &listed, common::instant now)
{
    const auto [position, isNew] = m_listedEndpoints.try_emplace(listed.address);
    listed_endpoint &known = position->second;
    if (isNew || known.incarnation != listed.incarnation) {
        known = {listed.incarnation, now, now};
    }
    known.seenAt = now;
    if (listed.state == platform::instance_state::leaving) {
        m_leavingEndpoints.insert_or_assign({listed.address, listed.incarnation}, leaving_entry{now, false});
    } else {
        supersedeLeavingNotices(listed, now);
    }
}

/// A live listing of another incarnation supersedes a leaving notice if it is too recent to predate the notice.
void membership_table::supersedeLeavingNotices(const platform::listed_instance &listed, common::instant now)
{
    const common::instant listedSince = m_listedEndpoints.find(listed.address)->second.since;
    auto it = m_leavingEndpoints.lower_bound({listed.address, {}});
    for (; it != m_leavingEndpoints.end() && it->first.address == listed.address; ++it) {
        const bool isOther = it->first.incarnation != listed.incarnation;
        const bool isLater = listedSince > it->second.since || now - it->second.since > m_options.maximumListLag;
        if (isOther && isLater) {
            it->second.superseded = true;
        }
    }
}

bool membership_table::isEndpointLeaving(std::string_view address) const
{
    auto it = m_leavingEndpoints.lower_bound({std::string(address), {}});
    for (; it != m_leavingEndpoints.end() && it->first.address == address; ++it) {
        if (!it->second.superseded) {
            return true;
        }
    }
    return false;
}

std::vector<endpoint_notice> membership_table::leavingEndpoints(std::size_t limit) const
{
    std::vector<endpoint_notice> leaving;
    for (const auto &[notice, known] : m_leavingEndpoints) {
        if (leaving.size() < limit && !known.superseded) {
            leaving.push_back(notice);
        }
    }
    return leaving;
}

} // namespace masticlever::membership
