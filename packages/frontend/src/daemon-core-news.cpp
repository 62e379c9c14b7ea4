#include "daemon-core.h"

#include <masticlever/telemetry/events.h>

#include <utility>

/// \file
/// What the daemon believes of the configuration, the endpoints and the store, and whom it tells.

namespace masticlever::frontend
{

using common::duration;
using common::instant;
using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr duration probeFollows = std::chrono::seconds(2); ///< of one topic's reads after the other's, at the latest
/// For a configuration that another instance has, before it is read here although a reader tells what is new.
constexpr duration pushPatience = std::chrono::milliseconds(600);

std::string_view nameOf(catalog::directory_change::what kind)
{
    using what = catalog::directory_change::what;
    switch (kind) {
    case what::added:
        return "added";
    case what::draining:
        return "draining";
    case what::removed:
        return "removed";
    case what::returned:
        break;
    }
    return "returned";
}

} // namespace

void daemon_core::onConfigurationNews(const follow_news &news)
{
    for (const protocol::store_record &record : news.records) {
        if (m_protocol.isConfigurationKey(record.key) && record.value) {
            followConfiguration(*record.value, "store");
        }
    }
}

void daemon_core::followConfiguration(const std::string &text, std::string_view source)
{
    auto read = m_protocol.readConfiguration(text);
    if (!read) {
        logEvent(event::record_ignored, {{"topic", "configuration"}, {"source", source}, {"reason", "malformed"}});
        return;
    }
    const std::uint64_t former = version();
    if (m_configuration && read.value().version() <= former) {
        return;
    }
    m_configuration = std::make_shared<const catalog::service_configuration>(std::move(read.value()));
    m_configurationText = text;
    m_pieces.setConfiguration(m_configuration);
    m_feed.onConfiguration({version(), m_configurationText});
    logEvent(event::configuration_followed,
             {{"version", m_configuration->version()},
              {"former", former},
              {"source", source},
              {"routes", static_cast<std::uint64_t>(m_configuration->routes().size())}});
}

void daemon_core::onEndpointNews(const follow_news &news)
{
    const instant now = presentInstant();
    applyChanges(m_registrations.onRead(news, now));
    // The others read neither while they are told: both have to be recent here.
    const auto confirmed = m_registrations.confirmed();
    if (confirmed && m_configurationWatch.follower().isAnsweredWithin(configurationAge, now)) {
        m_feed.onRead(*confirmed, {version(), m_configurationText});
    }
}

void daemon_core::onDirectoryNews(const stages::directory_message &news)
{
    const instant now = presentInstant();
    applyChanges(m_registrations.onTold(news, now));
    if (!news.configuration.empty()) {
        followConfiguration(unpackConfiguration(news.configuration), "reader");
    }
    if (news.configurationVersion > version()) {
        m_configurationWatch.hurry(now);
    }
}

void daemon_core::applyChanges(const directory_changes &changes)
{
    for (const catalog::directory_change &change : changes) {
        logEvent(event::endpoint_changed,
                 {{"endpoint", std::string_view(change.id)},
                  {"service", std::string_view(change.service)},
                  {"address", std::string_view(change.address)},
                  {"change", nameOf(change.kind)}});
        if (change.kind == catalog::directory_change::what::removed) {
            m_choice.forget(change.id);
        }
    }
    if (!changes.empty()) {
        m_pieces.onDirectoryChanged();
    }
}

/// An endpoint's own answer tells that it leaves: the others are to know it too, as most of them do not hear it soon.
void daemon_core::onSeenLeaving(const directory_changes &changes)
{
    for (const catalog::directory_change &change : changes) {
        m_fleet.announceEndpointLeaving(change.id, m_directory.bornMsOf(change.id));
    }
    applyChanges(changes);
}

/// Another instance has a newer configuration. The reader tells it in a moment; without one it is read here.
void daemon_core::onVersionSeen(std::uint64_t seen)
{
    if (seen != m_seenVersion) {
        m_seenVersion = seen;
        m_versionSeenAt = m_now;
    }
    const bool isTold = m_feed.isFollowing() && m_now < m_feed.freshUntil();
    if (!isTold || m_now - m_versionSeenAt >= pushPatience) {
        m_configurationWatch.hurry(m_now);
    }
}

/// While no instance reaches the store, all of them ask as seldom as one would. The first that is answered is heard of
/// by gossip, and then each asks for itself at once.
void daemon_core::paceStoreCalls(instant now)
{
    const bool wasReached = std::exchange(m_isStoreReachedByOthers, m_fleet.isStoreReachedByOthers(now));
    if (!m_registrations.isStoreLost() || m_fleet.liveCount() <= 1) {
        return;
    }
    if (m_isStoreReachedByOthers) {
        if (!wasReached) {
            m_endpointWatch.hurry(now);
        }
        return;
    }
    m_endpointWatch.holdRetry(m_probePace.nextAfter(m_endpointWatch.follower().calledAt(), m_fleet.liveCount()));
    m_configurationWatch.holdRetry(now + probeFollows); // read when the registrations could be
}

void daemon_core::onToldLeaving(const std::vector<membership::endpoint_notice> &notices)
{
    const instant now = presentInstant();
    for (const membership::endpoint_notice &notice : notices) {
        if (const auto bornMs = fleet_host::bornMsOf(notice)) {
            applyChanges(m_directory.onToldLeaving(notice.address, *bornMs, now));
        }
    }
}

void daemon_core::onStoreReach(bool isReachable)
{
    const instant now = presentInstant();
    if (m_registrations.onStoreReach(isReachable, now)) {
        // A call that a silent store has taken is not answered any more.
        m_configurationWatch.renew(m_configuration && m_feed.isFollowing() ? pushPatience : duration{}, now);
    }
    const bool isAway = m_registrations.isStoreAway(now);
    if (isAway == m_isStoreReported) {
        m_isStoreReported = !isAway;
        logEvent(isAway ? event::store_unreachable : event::store_reachable, {});
    }
}

} // namespace masticlever::frontend
