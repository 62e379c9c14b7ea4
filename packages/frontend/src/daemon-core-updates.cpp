#include "daemon-core.h"

#include <masticlever/forwarding/shared-parts.h>
#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// \file
/// Handles updates of the configuration, the endpoints and the store's reachability, and forwards them to other
/// instances.

namespace masticlever::frontend
{

using common::duration;
using common::instant;
using telemetry::event;
using telemetry::logEvent;

namespace
{

/// The configuration is read at most this long after the registrations when the store recovers.
constexpr duration configurationProbeDelay = std::chrono::seconds(2);
/// How long to wait for the reader to send a configuration that another instance has before reading it from the store.
constexpr duration readerUpdateTimeout = std::chrono::milliseconds(600);

const telemetry::metric_family limitedEndpointsFamily{"masticlever_frontend_limited_endpoints",
                                                      "Endpoints that state a rate limit."};

const telemetry::metric_family evacuatedFamily{"masticlever_frontend_evacuated_data_centres",
                                               "Data centres that get no requests because operators evacuate them."};

const telemetry::metric_family crashesFamily{"masticlever_frontend_endpoint_crashes_total",
                                             "Crashes of endpoints during requests of this instance."};

const telemetry::metric_family withheldPartsFamily{"masticlever_frontend_withheld_parts",
                                                   "Prompt parts whose requests are withheld from endpoints."};

std::string_view nameOf(membership::prompt_fault_change::what kind)
{
    using what = membership::prompt_fault_change::what;
    switch (kind) {
    case what::suspected:
        return "suspected";
    case what::withheld:
        return "withheld";
    case what::cleared:
        return "cleared";
    case what::expired:
        break;
    }
    return "expired";
}

/// The parts of a crash with the time from the latest request of each.
std::vector<membership::interrupted_part> interruptedParts(const endpoint_crash &crash, instant crashedAt)
{
    std::vector<membership::interrupted_part> parts;
    for (const interrupted_call &call : crash.calls) {
        for (const std::uint64_t part : call.parts) {
            const duration time = std::max(crashedAt - call.sentAt, duration{});
            const auto found = std::ranges::find(parts, part, &membership::interrupted_part::part);
            if (found == parts.end()) {
                parts.push_back({part, time});
            } else {
                found->call = std::min(found->call, time);
            }
        }
    }
    return parts;
}

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

void daemon_core::onConfigurationUpdate(const topic_update &update)
{
    std::vector<catalog::evacuation_record> evacuations;
    for (const protocol::store_record &record : update.records) {
        const std::string_view dataCentre = m_protocol.evacuatedDataCentre(record.key);
        if (m_protocol.isConfigurationKey(record.key) && record.value) {
            applyConfiguration(*record.value, "store");
        } else if (!dataCentre.empty()) {
            evacuations.push_back(
                {std::string(dataCentre), record.value.has_value(), m_storeGeneration, record.offset});
        }
    }
    onEvacuations(evacuations, "store");
    if (!update.isCompleteListing) {
        return;
    }
    std::set<std::string, std::less<>> listed;
    for (const std::string &key : update.listedKeys) {
        if (const std::string_view dataCentre = m_protocol.evacuatedDataCentre(key); !dataCentre.empty()) {
            listed.emplace(dataCentre);
        }
    }
    if (m_evacuations.onListing(listed, m_storeGeneration, update.position)) {
        applyEvacuations("store");
    }
    m_areEvacuationsKnown = true;
    withholdEndpoints(monotonicNow());
}

void daemon_core::onEvacuations(std::span<const catalog::evacuation_record> records, std::string_view source)
{
    bool isChanged = false;
    for (const catalog::evacuation_record &record : records) {
        isChanged = m_evacuations.onRecord(record) || isChanged;
    }
    if (isChanged) {
        applyEvacuations(source);
    }
}

void daemon_core::applyEvacuations(std::string_view source)
{
    const auto evacuated = m_evacuations.evacuated();
    for (const catalog::evacuation_record &record : m_evacuations.records()) {
        if (record.isEvacuated != m_directory.isEvacuated(record.dataCentre)) {
            logEvent(event::evacuation_changed,
                     {{"data_centre", std::string_view(record.dataCentre)},
                      {"change", record.isEvacuated ? "begun" : "ended"},
                      {"source", source},
                      {"generation", record.generation},
                      {"offset", record.offset}});
        }
    }
    m_metrics.gaugeOf(evacuatedFamily).set(static_cast<double>(evacuated.size()));
    m_directory.setEvacuated(evacuated);
    m_pieces.onDirectoryChanged();
    m_feed.setEvacuations(m_evacuations.records());
}

/// Endpoints that are known before it is known which data centres are evacuated get no work, but no longer than an
/// evacuation may take to be in force: an instance that cannot read the records must not stop serving.
void daemon_core::withholdEndpoints(instant now)
{
    if (!m_withheldUntil && m_directory.size() > 0) {
        m_withheldUntil = now + m_settings.evacuationLimit;
    }
    const bool areUnknown = !m_areEvacuationsKnown && m_withheldUntil && now < *m_withheldUntil;
    if (areUnknown != m_directory.areEvacuationsUnknown()) {
        m_directory.setEvacuationsUnknown(areUnknown);
        m_pieces.onDirectoryChanged();
    }
}

void daemon_core::applyConfiguration(const std::string &text, std::string_view source)
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
    m_gate.setConfiguration(*m_configuration);
    m_pieces.setConfiguration(m_configuration);
    m_load.setConfiguration(m_configuration);
    m_feed.onConfiguration({version(), m_configurationText});
    logEvent(event::configuration_followed,
             {{"version", m_configuration->version()},
              {"former", former},
              {"source", source},
              {"routes", static_cast<std::uint64_t>(m_configuration->routes().size())}});
}

void daemon_core::onEndpointUpdate(const topic_update &update)
{
    const instant now = monotonicNow();
    applyChanges(m_registrations.onRead(update, now));
    withholdEndpoints(now);
    // Subscribers read neither topic while they receive updates, so both must be recent here.
    const auto confirmed = m_registrations.confirmedRecords();
    const topic_follower &configurations = m_configurationWatch.follower();
    const bool isListing = m_endpointWatch.follower().isListing() || configurations.isListing();
    if (confirmed && !isListing && configurations.wasAnsweredWithin(maximumConfigurationAge, now)) {
        m_feed.onRead(*confirmed, m_storeGeneration, {version(), m_configurationText});
    }
}

void daemon_core::onDirectoryUpdate(const stages::directory_message &update)
{
    const instant now = monotonicNow();
    onStoreGeneration(update.storeGeneration, "reader");
    onEvacuations(update.evacuations, "reader");
    m_areEvacuationsKnown = m_areEvacuationsKnown || update.hasRegistrations;
    applyChanges(m_registrations.onReaderUpdate(update, now));
    if (!update.configuration.empty()) {
        applyConfiguration(decompressConfiguration(update.configuration), "reader");
    }
    if (update.configurationVersion > version()) {
        m_configurationWatch.expedite(now);
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
            m_reports.forget(change.id);
        }
    }
    if (!changes.empty()) {
        m_pieces.onDirectoryChanged();
    }
}

/// An endpoint announced in an answer that it is leaving. Most other instances would not learn it soon, so it is
/// announced to them.
void daemon_core::onLeavingReported(const directory_changes &changes)
{
    for (const catalog::directory_change &change : changes) {
        m_fleet.announceEndpointLeaving(change.id, m_directory.startedAtMsOf(change.id));
    }
    applyChanges(changes);
}

void daemon_core::logRateLimits()
{
    for (const membership::rate_limit_change &change : m_fleet.rateLimits().takeChanges()) {
        const std::string_view kind = !change.rate ? "ended" : change.former ? "changed" : "begun";
        logEvent(event::rate_limit_changed,
                 {{"endpoint", std::string_view(change.endpoint)},
                  {"change", kind},
                  {"rate", change.rate.value_or(0)},
                  {"former", change.former.value_or(0)},
                  {"source", change.isFromPeer ? "peer" : "answer"},
                  {"age_ms", common::toMilliseconds(change.age)}});
    }
    m_metrics.gaugeOf(limitedEndpointsFamily).set(static_cast<double>(m_fleet.rateLimits().limitedCount()));
}

void daemon_core::onEndpointCrash(const endpoint_crash &crash)
{
    if (crash.isNew) {
        m_metrics.counterOf(crashesFamily).add();
    }
    for (const interrupted_call &call : crash.calls) {
        const std::string parts = forwarding::formatParts(call.parts);
        logEvent(event::endpoint_crashed,
                 {{"endpoint", std::string_view(crash.endpointId)},
                  {"request", std::string_view(call.requestId)},
                  {"parts", std::string_view(parts)},
                  {"call_ms", common::toMilliseconds(call.endedAt - call.sentAt)},
                  {"requests", static_cast<std::uint64_t>(crash.calls.size())}});
    }
    const instant crashedAt = std::ranges::min(crash.calls, {}, &interrupted_call::endedAt).endedAt;
    m_fleet.promptFaults().onCrash(crash.incarnation, interruptedParts(crash, crashedAt), crashedAt, monotonicNow());
    m_fleet.announcePromptFaults();
}

void daemon_core::logPromptFaults(instant now)
{
    for (const membership::prompt_fault_change &change : m_fleet.promptFaults().takeChanges()) {
        const std::string part = forwarding::formatPart(change.part);
        logEvent(event::prompt_part_changed,
                 {{"part", std::string_view(part)},
                  {"change", nameOf(change.kind)},
                  {"crashes", static_cast<std::uint64_t>(change.crashes)},
                  {"source", change.isFromPeer ? "peer" : "own"}});
    }
    m_metrics.gaugeOf(withheldPartsFamily).set(static_cast<double>(m_fleet.promptFaults().withheldCount(now)));
}

/// Another instance has a newer configuration. The reader is expected to send it shortly; without a reader, or after
/// \c readerUpdateTimeout, it is read from the store.
void daemon_core::onVersionSeen(std::uint64_t seen)
{
    if (seen != m_seenVersion) {
        m_seenVersion = seen;
        m_versionSeenAt = m_now;
    }
    const bool hasReaderUpdates = m_feed.isFollowing() && m_now < m_feed.freshUntil();
    if (!hasReaderUpdates || m_now - m_versionSeenAt >= readerUpdateTimeout) {
        m_configurationWatch.expedite(m_now);
    }
}

/// While no instance reaches the store, the fleet as a whole probes it at a fixed rate. The first instance that gets an
/// answer reports it by gossip, and then each of the others calls the store at once.
void daemon_core::limitStoreProbes(instant now)
{
    const bool wasReachedByOthers = std::exchange(m_isStoreReachedByOthers, m_fleet.isStoreReachedByOthers(now));
    if (!m_registrations.hasStoreFailed() || m_fleet.liveCount() <= 1) {
        return;
    }
    if (m_isStoreReachedByOthers) {
        if (!wasReachedByOthers) {
            m_endpointWatch.expedite(now);
        }
        return;
    }
    m_endpointWatch.delayRetry(m_probeSchedule.nextAfter(m_endpointWatch.follower().calledAt(), m_fleet.liveCount()));
    // onStoreReachability() reschedules the configuration's read once the registrations have been read.
    m_configurationWatch.delayRetry(now + configurationProbeDelay);
}

void daemon_core::onLeavingNotices(const std::vector<membership::endpoint_notice> &notices)
{
    const instant now = monotonicNow();
    for (const membership::endpoint_notice &notice : notices) {
        if (const auto startedAtMs = fleet_host::startedAtMsOf(notice)) {
            applyChanges(m_directory.onPeerReportedLeaving(notice.address, *startedAtMs, now));
        }
    }
}

/// A higher generation means that the store was restored from a copy.
void daemon_core::onStoreGeneration(std::uint64_t generation, std::string_view source)
{
    if (generation <= m_storeGeneration) {
        return;
    }
    const instant now = monotonicNow();
    const std::uint64_t former = std::exchange(m_storeGeneration, generation);
    if (former != 0) {
        logEvent(event::store_restored, {{"generation", generation}, {"former", former}, {"source", source}});
        m_registrations.onStoreRestored(now);
        m_feed.onStoreRestored(generation, now);
        m_finder.onStoreRestored(generation, now);
    }
    m_configurationWatch.onStoreRestored(generation, now);
    m_endpointWatch.onStoreRestored(generation, now);
}

void daemon_core::onStoreReachability(bool isReachable)
{
    const instant now = monotonicNow();
    if (m_registrations.onStoreReachability(isReachable, now)) {
        m_endpointWatch.onStoreReachable(now);
        // A call that the store accepted before the outage will not be answered.
        const bool mayWait = m_configuration && m_areEvacuationsKnown && m_feed.isFollowing();
        m_configurationWatch.reissue(mayWait ? readerUpdateTimeout : duration{}, now);
    }
    const bool isUnreachable = m_registrations.isStoreUnreachable(now);
    if (isUnreachable == m_isReachableLogged) {
        m_isReachableLogged = !isUnreachable;
        logEvent(isUnreachable ? event::store_unreachable : event::store_reachable, {});
    }
}

} // namespace masticlever::frontend
