#include <masticlever/common/digest.h>
#include <masticlever/membership/membership.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace masticlever::membership
{

membership_table::membership_table(membership_options options, instance_notice self)
    : m_options(options), m_self(std::move(self)), m_selfPosition(common::stableHash(m_self.incarnation))
{ }

membership_table::entry *membership_table::add(const instance_notice &notice, common::instant now)
{
    if (m_instances.size() >= m_options.maximumInstances || notice.incarnation.empty()) {
        return nullptr;
    }
    entry added{notice, now, now, false, common::stableHash(notice.incarnation), std::nullopt, std::nullopt};
    m_ring[added.ringPosition] = notice.incarnation;
    entry *stored = &m_instances.emplace(notice.incarnation, std::move(added)).first->second;
    refreshWatch(now);
    return stored;
}

bool membership_table::onNotice(const instance_notice &notice, common::instant now)
{
    if (notice.incarnation == m_self.incarnation) {
        return false;
    }
    const auto found = m_instances.find(notice.incarnation);
    if (found == m_instances.end()) {
        return add(notice, now) != nullptr;
    }
    entry &known = found->second;
    if (notice.heartbeat <= known.notice.heartbeat) {
        return false;
    }
    const bool wasLost = known.lostAfter.has_value();
    const bool hadLeft = known.notice.leaving;
    known.notice = notice;
    known.notice.leaving = notice.leaving || hadLeft;
    known.heardAt = now;
    known.lostAfter.reset();
    if (wasLost || known.notice.leaving != hadLeft) {
        known.changedAt = now;
    }
    if (wasLost) {
        refreshWatch(now);
    }
    return true;
}

bool membership_table::onLost(const lost_notice &notice, common::instant now)
{
    const auto found = m_instances.find(notice.incarnation);
    if (found == m_instances.end()) {
        return false;
    }
    entry &known = found->second;
    const bool wasLost = known.lostAfter.has_value();
    if (notice.heartbeat < known.notice.heartbeat) {
        // The watcher missed a heartbeat that was heard here; without it its word would never count here.
        known.changedAt = wasLost ? known.changedAt : now;
        return false;
    }
    if (wasLost && notice.heartbeat == known.notice.heartbeat) {
        return false;
    }
    known.lostAfter = notice.heartbeat;
    known.notice.heartbeat = notice.heartbeat;
    known.changedAt = now;
    if (!wasLost) {
        refreshWatch(now);
    }
    return !wasLost;
}

void membership_table::setSelf(const instance_notice &self)
{
    const bool leaving = m_self.leaving || self.leaving;
    const std::uint64_t heartbeat = std::max(m_self.heartbeat, self.heartbeat);
    m_self = self;
    m_self.leaving = leaving;
    m_self.heartbeat = heartbeat;
    m_selfPosition = common::stableHash(m_self.incarnation);
}

void membership_table::advance(common::instant now)
{
    const bool wasPaused = m_advancedAt && now - *m_advancedAt > m_options.suspectAfter / 2;
    m_advancedAt = now;
    forgetOld(now);
    bool anyLost = false;
    for (auto &[incarnation, known] : m_instances) {
        if (wasPaused && known.watchedSince) {
            known.watchedSince = now;
        }
        if (!known.lostAfter && !isEntryLive(known, now)) {
            known.lostAfter = known.notice.heartbeat;
            known.changedAt = now;
            anyLost = true;
        }
    }
    if (anyLost) {
        refreshWatch(now);
    }
}

bool membership_table::isEntryLive(const entry &candidate, common::instant now) const
{
    if (candidate.lostAfter) {
        return false;
    }
    if (candidate.watchedSince) {
        return isHeardInTime(candidate, now);
    }
    // Its watchers would have said that it is lost; the long limit covers the loss of all of them at once.
    return candidate.listed || now - candidate.heardAt <= m_options.forgetAfter / 2;
}

bool membership_table::isHeardInTime(const entry &watched, common::instant now) const
{
    const bool isHeard = watched.notice.heartbeat > 0 && watched.heardAt >= *watched.watchedSince;
    if (isHeard) {
        return now - watched.heardAt <= m_options.suspectAfter;
    }
    return now - *watched.watchedSince <= m_options.firstHeartbeatWithin;
}

/// Walks back from this instance on the ring: the nearest live predecessors, and the lost ones between them.
void membership_table::refreshWatch(common::instant now)
{
    std::size_t liveSeen = 0;
    auto position = m_ring.lower_bound(m_selfPosition);
    for (std::size_t step = 0; step < m_ring.size(); ++step) {
        position = position == m_ring.begin() ? std::prev(m_ring.end()) : std::prev(position);
        entry &known = m_instances.find(position->second)->second;
        if (liveSeen >= m_options.watchers) {
            known.watchedSince.reset();
            continue;
        }
        if (!known.watchedSince) {
            known.watchedSince = now;
        }
        if (!known.lostAfter) {
            ++liveSeen;
        }
    }
}

void membership_table::forgetOld(common::instant now)
{
    for (auto it = m_instances.begin(); it != m_instances.end();) {
        const entry &known = it->second;
        const bool isOld = now - std::max(known.heardAt, known.changedAt) > m_options.forgetAfter;
        if (isOld && !known.listed) {
            m_ring.erase(known.ringPosition);
            it = m_instances.erase(it);
        } else {
            ++it;
        }
    }
    std::erase_if(m_leavingEndpoints,
                  [&](const auto &item) { return now - item.second.since > m_options.forgetAfter; });
}

std::vector<instance_notice> membership_table::liveInstances(common::instant now) const
{
    std::vector<instance_notice> live{m_self};
    for (const auto &[incarnation, known] : m_instances) {
        if (isEntryLive(known, now)) {
            live.push_back(known.notice);
        }
    }
    std::ranges::sort(live, [](const instance_notice &left, const instance_notice &right) {
        return std::tie(left.name, left.incarnation) < std::tie(right.name, right.incarnation);
    });
    return live;
}

bool membership_table::isLive(std::string_view incarnation, common::instant now) const
{
    if (incarnation == m_self.incarnation) {
        return true;
    }
    const auto found = m_instances.find(incarnation);
    return found != m_instances.end() && isEntryLive(found->second, now);
}

bool membership_table::isLogReachableByPeer(common::instant now) const
{
    return std::ranges::any_of(m_instances, [&](const auto &item) {
        const entry &known = item.second;
        const bool isHeard = known.notice.heartbeat > 0 && now - known.heardAt <= m_options.suspectAfter;
        return isHeard && known.notice.logReachable && !known.lostAfter;
    });
}

std::vector<std::string> membership_table::nextPeers(std::size_t fanOut, common::instant /*now*/)
{
    std::vector<std::string> peers;
    for (std::size_t step = 0; step < m_ring.size() && peers.size() < fanOut; ++step) {
        auto position = m_ring.upper_bound(m_rotation.value_or(m_selfPosition));
        if (position == m_ring.end()) {
            position = m_ring.begin();
        }
        m_rotation = position->first;
        const entry &known = m_instances.find(position->second)->second;
        // Listed ones are tried although they are lost, so that both halves of a healed partition meet again.
        const bool isCandidate = !known.lostAfter || known.listed;
        if (isCandidate && !known.notice.peerAddress.empty()) {
            peers.push_back(known.notice.peerAddress);
        }
    }
    return peers;
}

std::vector<std::string> membership_table::watcherPeers(common::instant now) const
{
    std::vector<std::string> peers;
    auto position = m_ring.upper_bound(m_selfPosition);
    for (std::size_t step = 0; step < m_ring.size() && peers.size() < m_options.watchers; ++step) {
        if (position == m_ring.end()) {
            position = m_ring.begin();
        }
        const entry &known = m_instances.find(position->second)->second;
        if (isEntryLive(known, now) && !known.notice.peerAddress.empty()) {
            peers.push_back(known.notice.peerAddress);
        }
        ++position;
    }
    return peers;
}

std::vector<std::string> membership_table::silentPeers(common::instant now) const
{
    std::vector<std::string> peers;
    for (const auto &[incarnation, known] : m_instances) {
        const bool isWatched = known.watchedSince && !known.lostAfter && !known.notice.peerAddress.empty();
        if (isWatched && now - std::max(known.heardAt, *known.watchedSince) >= m_options.suspectAfter / 2) {
            peers.push_back(known.notice.peerAddress);
        }
    }
    return peers;
}

bool membership_table::isToBeSpread(common::instant changedAt, common::instant now) const
{
    return now - changedAt <= m_options.spreadFor;
}

namespace
{

template <typename Notice> using dated = std::pair<common::instant, Notice>;

template <typename Notice> std::vector<Notice> latestFirst(std::vector<dated<Notice>> all, std::size_t limit)
{
    std::ranges::stable_sort(all, std::greater{}, &dated<Notice>::first);
    std::vector<Notice> latest;
    for (dated<Notice> &item : all) {
        if (latest.size() >= limit) {
            break;
        }
        latest.push_back(std::move(item.second));
    }
    return latest;
}

} // namespace

std::vector<instance_notice> membership_table::recentNotices(std::size_t limit, common::instant now) const
{
    std::vector<dated<instance_notice>> changed;
    for (const auto &[incarnation, known] : m_instances) {
        const bool isHeard = known.notice.heartbeat > 0 && !known.lostAfter;
        if (isHeard && isToBeSpread(known.changedAt, now)) {
            changed.emplace_back(known.changedAt, known.notice);
        }
    }
    std::vector<instance_notice> notices;
    if (limit > 0) {
        notices.push_back(m_self);
        std::ranges::move(latestFirst(std::move(changed), limit - 1), std::back_inserter(notices));
    }
    return notices;
}

std::vector<lost_notice> membership_table::recentLosses(std::size_t limit, common::instant now) const
{
    std::vector<dated<lost_notice>> losses;
    for (const auto &[incarnation, known] : m_instances) {
        if (known.lostAfter && isToBeSpread(known.changedAt, now)) {
            losses.emplace_back(known.changedAt, lost_notice{incarnation, *known.lostAfter});
        }
    }
    return latestFirst(std::move(losses), limit);
}

std::vector<endpoint_notice> membership_table::recentLeavingEndpoints(std::size_t limit, common::instant now) const
{
    std::vector<dated<endpoint_notice>> recent;
    for (const auto &[notice, known] : m_leavingEndpoints) {
        if (!known.superseded && isToBeSpread(known.since, now)) {
            recent.emplace_back(known.since, notice);
        }
    }
    return latestFirst(std::move(recent), limit);
}

} // namespace masticlever::membership
