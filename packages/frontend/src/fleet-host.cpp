#include "fleet-host.h"

#include <masticlever/common/digest.h>
#include <masticlever/common/errors.h>
#include <masticlever/net/stream-socket.h>
#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <utility>

namespace masticlever::frontend
{

using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr double millisInCore = 1000; ///< milliseconds of processor time per second
// A failed home is replaced within a second: an instance is suspected after four missed heartbeat rounds.
constexpr common::duration heartbeatInterval = std::chrono::milliseconds(200);
constexpr common::duration suspectAfter = std::chrono::milliseconds(850);
constexpr common::duration firstHeartbeatTimeout = std::chrono::milliseconds(2500);
constexpr common::duration forgetAfter = std::chrono::minutes(2);
constexpr std::size_t maximumLeavingNotices = 512; ///< endpoints that may leave while one notice is being spread
constexpr common::duration catchUpDelay = std::chrono::milliseconds(250); ///< time for this instance's own reads

peers::peer_settings peerSettings(const frontend_settings &settings)
{
    peers::peer_settings options;
    options.listenAddress = settings.gossipAddress;
    options.key = settings.fleetKey;
    options.gossip.interval = heartbeatInterval;
    options.gossip.minimumGap = heartbeatInterval / 4;
    options.catchUp.behindFor = catchUpDelay;
    options.catchUp.timeout = std::chrono::milliseconds(1000);
    options.catchUp.avoidFor = std::chrono::milliseconds(1500);
    options.catchUp.forgetAfter = std::chrono::seconds(4);
    return options;
}

membership::membership_options membershipOptions()
{
    membership::membership_options options;
    options.suspectAfter = suspectAfter;
    options.firstHeartbeatTimeout = firstHeartbeatTimeout;
    options.forgetAfter = forgetAfter;
    return options;
}

membership::instance_notice selfNotice(const frontend_settings &settings, std::string incarnation)
{
    membership::instance_notice self;
    self.name = settings.name;
    self.incarnation = std::move(incarnation);
    self.dataCentre = settings.dataCentre;
    self.peerAddress = settings.gossipAddress;
    self.cpuMillicores = static_cast<std::uint32_t>(std::lround(settings.cores * millisInCore));
    self.linkMbps = static_cast<std::uint32_t>(std::lround(settings.linkMbps));
    return self;
}

} // namespace

fleet_host::fleet_host(const frontend_settings &settings, std::string incarnation, event_handlers handlers)
    : m_handlers(std::move(handlers)), m_table(membershipOptions(), selfNotice(settings, std::move(incarnation)))
{
    if (const auto home = net::parseAddress(settings.homeAddress)) {
        m_homePort = home.value().port;
    }
    peers::peer_handlers peerHandlers;
    peerHandlers.recordsFrom = [this](platform::log_offset from, std::size_t) -> common::result<platform::log_batch> {
        const std::uint64_t version = m_handlers.version();
        if (version < from || version == 0) {
            return make_error_code(common::error::unavailable);
        }
        platform::log_batch batch{version, version + 1, {}};
        batch.records.push_back({version, {}, m_handlers.configuration()});
        return batch;
    };
    peerHandlers.onRecords = [this](const platform::log_batch &batch) {
        for (const platform::log_record &record : batch.records) {
            m_handlers.onConfiguration(record.payload);
        }
        return m_handlers.version();
    };
    peerHandlers.onRefused = [](std::error_code reason, std::uint64_t count) {
        const std::string text = reason.message();
        logEvent(event::peer_message_refused, {{"reason", std::string_view(text)}, {"count", count}});
    };
    m_service = std::make_unique<peers::peer_service>(peerSettings(settings), m_table, std::move(peerHandlers));
    m_service->setContacts(settings.contacts);
}

fleet_host::~fleet_host() = default;

bool fleet_host::listen()
{
    return m_service->listen().has_value();
}

void fleet_host::setContacts(std::vector<std::string> contacts)
{
    m_service->setContacts(std::move(contacts));
}

void fleet_host::setState(bool isStoreReachable, std::uint64_t version)
{
    m_service->setState(isStoreReachable, version);
}

void fleet_host::announceLeaving()
{
    m_service->announceLeaving();
}

void fleet_host::announceEndpointLeaving(const std::string &id, std::uint64_t startedAtMs)
{
    m_service->announceEndpointLeaving({id, std::to_string(startedAtMs)});
}

void fleet_host::announcePromptFaults()
{
    m_service->announcePromptFaults();
}

std::optional<std::uint64_t> fleet_host::startedAtMsOf(const membership::endpoint_notice &notice)
{
    std::uint64_t startedAtMs = 0;
    const std::string &text = notice.incarnation;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), startedAtMs);
    const bool isNumber = failure == std::errc{} && end == text.data() + text.size();
    return isNumber ? std::optional(startedAtMs) : std::nullopt;
}

std::string fleet_host::homeAddressOf(const std::string &gossipAddress) const
{
    auto address = net::parseAddress(gossipAddress);
    if (!address) {
        return {};
    }
    address.value().port = m_homePort;
    return address.value().toString();
}

void fleet_host::collectHomes(const std::vector<membership::instance_notice> &live)
{
    m_homes.clear();
    std::map<std::string, std::uint64_t> rankKeys;
    for (const membership::instance_notice &notice : live) {
        const auto known = m_rankKeys.find(notice.incarnation);
        const std::uint64_t key = known == m_rankKeys.end() ? common::stableHash(notice.incarnation) : known->second;
        rankKeys[notice.incarnation] = key;
        const std::string address = homeAddressOf(notice.peerAddress);
        if (!notice.leaving && !address.empty()) {
            m_homes.push_back({notice.incarnation, address, key, notice.cpuMillicores, notice.linkMbps, false});
        }
    }
    m_rankKeys = std::move(rankKeys);
}

void fleet_host::logChanges(const std::vector<membership::instance_notice> &live)
{
    std::vector<std::string> present;
    present.reserve(live.size());
    for (const membership::instance_notice &notice : live) {
        present.push_back(notice.incarnation);
    }
    std::ranges::sort(present);
    std::vector<std::string> joined;
    std::vector<std::string> lost;
    std::ranges::set_difference(present, m_loggedIncarnations, std::back_inserter(joined));
    std::ranges::set_difference(m_loggedIncarnations, present, std::back_inserter(lost));
    for (const std::string &incarnation : joined) {
        logEvent(event::instance_live, {{"incarnation", std::string_view(incarnation)}});
    }
    for (const std::string &incarnation : lost) {
        logEvent(event::instance_lost, {{"incarnation", std::string_view(incarnation)}});
    }
    m_loggedIncarnations = std::move(present);
}

void fleet_host::onTick(common::instant now)
{
    const auto live = m_table.liveInstances(now);
    m_liveCount = live.size();
    collectHomes(live);
    logChanges(live);
    std::uint64_t newest = 0;
    for (const membership::instance_notice &notice : live) {
        newest = std::max(newest, notice.configurationOffset);
    }
    if (newest > m_handlers.version()) {
        m_handlers.onVersionSeen(newest);
    }
    const auto leaving = m_table.recentLeavingEndpoints(maximumLeavingNotices, now);
    if (!leaving.empty()) {
        m_handlers.onEndpointsLeaving(leaving);
    }
}

} // namespace masticlever::frontend
