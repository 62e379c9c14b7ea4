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
    const bool wasLost = known.lostAtHeartbeat.has_value();
    const bool hadLeft = known.notice.leaving;
    known.notice = notice;
    known.notice.leaving = notice.leaving || hadLeft;
    known.lastSeenAt = now;
    known.lostAtHeartbeat.reset();
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
    const bool wasLost = known.lostAtHeartbeat.has_value();
    if (notice.heartbeat < known.notice.heartbeat) {
        // The watcher missed a heartbeat that arrived here. Gossip it, since otherwise the watcher's loss notices would
        // stay outdated and be ignored here.
        known.changedAt = wasLost ? known.changedAt : now;
        return false;
    }
    if (wasLost && notice.heartbeat == known.notice.heartbeat) {
        return false;
    }
    known.lostAtHeartbeat = notice.heartbeat;
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
    const bool wasPaused = m_lastAdvanceAt && now - *m_lastAdvanceAt > m_options.suspectAfter / 2;
    m_lastAdvanceAt = now;
    removeStale(now);
    m_rateLimits.advance(now);
    m_promptFaults.advance(now);
    bool anyLost = false;
    for (auto &[incarnation, known] : m_instances) {
        if (wasPaused && known.watchedSince) {
            known.watchedSince = now;
        }
        if (!known.lostAtHeartbeat && !isEntryLive(known, now)) {
            known.lostAtHeartbeat = known.notice.heartbeat;
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
    if (candidate.lostAtHeartbeat) {
        return false;
    }
    if (candidate.watchedSince) {
        return isHeartbeatInTime(candidate, now);
    }
    // Its watchers would have declared it lost; the long limit covers a loss of all of them at once.
    return candidate.listed || now - candidate.lastSeenAt <= m_options.forgetAfter / 2;
}

bool membership_table::isHeartbeatInTime(const entry &watched, common::instant now) const
{
    const bool hasHeartbeat = watched.notice.heartbeat > 0 && watched.lastSeenAt >= *watched.watchedSince;
    if (hasHeartbeat) {
        return now - watched.lastSeenAt <= m_options.suspectAfter;
    }
    return now - *watched.watchedSince <= m_options.firstHeartbeatTimeout;
}

/// Watches the nearest live predecessors on the ring and the lost instances between them.
void membership_table::refreshWatch(common::instant now)
{
    std::size_t liveCount = 0;
    auto position = m_ring.lower_bound(m_selfPosition);
    for (std::size_t step = 0; step < m_ring.size(); ++step) {
        position = position == m_ring.begin() ? std::prev(m_ring.end()) : std::prev(position);
        entry &known = m_instances.find(position->second)->second;
        if (liveCount >= m_options.watchers) {
            known.watchedSince.reset();
            continue;
        }
        if (!known.watchedSince) {
            known.watchedSince = now;
        }
        if (!known.lostAtHeartbeat) {
            ++liveCount;
        }
    }
}

void membership_table::removeStale(common::instant now)
{
    for (auto it = m_instances.begin(); it != m_instances.end();) {
        const entry &known = it->second;
        const bool isStale = now - std::max(known.lastSeenAt, known.changedAt) > m_options.forgetAfter;
        if (isStale && !known.listed) {
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
        const bool hasHeartbeat = known.notice.heartbeat > 0 && now - known.lastSeenAt <= m_options.suspectAfter;
        return hasHeartbeat && known.notice.logReachable && !known.lostAtHeartbeat;
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
        // Lost instances that are still listed are contacted too, so that the halves of a healed partition find each
        // other again.
        const bool isCandidate = !known.lostAtHeartbeat || known.listed;
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
        const bool isWatched = known.watchedSince && !known.lostAtHeartbeat && !known.notice.peerAddress.empty();
        if (isWatched && now - std::max(known.lastSeenAt, *known.watchedSince) >= m_options.suspectAfter / 2) {
            peers.push_back(known.notice.peerAddress);
        }
    }
    return peers;
}

bool membership_table::isGossiped(common::instant changedAt, common::instant now) const
{
    return now - changedAt <= m_options.gossipDuration;
}

namespace
{

template <typename Notice> using timestamped = std::pair<common::instant, Notice>;

template <typename Notice> std::vector<Notice> latestFirst(std::vector<timestamped<Notice>> all, std::size_t limit)
{
    std::ranges::stable_sort(all, std::greater{}, &timestamped<Notice>::first);
    std::vector<Notice> latest;
    for (timestamped<Notice> &item : all) {
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
    std::vector<timestamped<instance_notice>> changed;
    for (const auto &[incarnation, known] : m_instances) {
        const bool hasHeartbeat = known.notice.heartbeat > 0 && !known.lostAtHeartbeat;
        if (hasHeartbeat && isGossiped(known.changedAt, now)) {
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
    std::vector<timestamped<lost_notice>> losses;
    for (const auto &[incarnation, known] : m_instances) {
        if (known.lostAtHeartbeat && isGossiped(known.changedAt, now)) {
            losses.emplace_back(known.changedAt, lost_notice{incarnation, *known.lostAtHeartbeat});
        }
    }
    return latestFirst(std::move(losses), limit);
}

std::vector<endpoint_notice> membership_table::recentLeavingEndpoints(std::size_t limit, common::instant now) const
{
    std::vector<timestamped<endpoint_notice>> recent;
    for (const auto &[notice, known] : m_leavingEndpoints) {
        if (!known.superseded && isGossiped(known.since, now)) {
            recent.emplace_back(known.since, notice);
        }
    }
    return latestFirst(std::move(recent), limit);
}

} // namespace masticlever::membership
