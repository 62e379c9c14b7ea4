#include "load-sharing.h"

#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace masticlever::frontend
{

using common::duration;
using common::instant;
using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr std::uint64_t self = 0; ///< reporter number of this instance; connected ones have numbers from 1
/// Bytes of an update besides its entries: length, type and the list of services of the message, and the length and the
/// first byte of the update.
constexpr double framingBytes = 4 + 5 + 8 + 8 + 1;
constexpr duration cleanInterval = std::chrono::seconds(1);

const telemetry::metric_family reportsFamily{"masticlever_frontend_load_reports_total",
                                             "Reports of endpoint load received as the reader."};
const telemetry::metric_family updatesFamily{"masticlever_frontend_load_updates_total",
                                             "Updates of endpoint load received from the reader."};
const telemetry::metric_family updateBytesFamily{
    "masticlever_frontend_load_update_bytes_total",
    "Bytes of updates of endpoint load sent to each receiver as the reader."};
const telemetry::metric_family reportersFamily{"masticlever_frontend_load_reporters",
                                               "Instances whose reports of endpoint load are summed up here."};
const telemetry::metric_family viewsFamily{"masticlever_frontend_load_views",
                                           "Endpoints whose load at other instances is known."};
const telemetry::metric_family othersFamily{"masticlever_frontend_load_others_in_flight",
                                            "Requests of other instances at these endpoints."};

} // namespace

load_sharing::load_sharing(load_sharing_options options, const catalog::endpoint_directory &directory,
                           telemetry::metric_registry &metrics, event_handlers handlers)
    : m_options(options), m_directory(directory), m_metrics(metrics), m_handlers(std::move(handlers)), m_views({}),
      m_fleet({})
{ }

void load_sharing::setConfiguration(std::shared_ptr<const catalog::service_configuration> configuration)
{
    m_configuration = std::move(configuration);
}

bool load_sharing::isEnabled(std::string_view service) const
{
    const catalog::service *found = m_configuration ? m_configuration->findService(service) : nullptr;
    return found != nullptr && found->model && found->model->slots <= m_options.maximumSlots;
}

std::optional<shared_call> load_sharing::onCallBegins(std::string_view service, const std::string &endpointId,
                                                      const routing::request_tokens &tokens)
{
    if (!isEnabled(service)) {
        return std::nullopt;
    }
    m_views.onOwnBegin(endpointId, tokens);
    return shared_call{endpointId, tokens, false};
}

void load_sharing::onFirstAnswer(std::optional<shared_call> &call, std::optional<duration> firstEvent)
{
    if (call && !std::exchange(call->hasFirstAnswer, true)) {
        m_views.onOwnFirstAnswer(call->endpointId, call->tokens, firstEvent);
    }
}

void load_sharing::onCallEnds(std::optional<shared_call> &call, routing::own_outcome outcome)
{
    if (call) {
        m_views.onOwnEnd(call->endpointId, call->tokens, outcome, call->hasFirstAnswer);
        call.reset();
    }
}

void load_sharing::onReport(std::uint64_t reporter, std::string_view bytes, instant now)
{
    const auto report = routing::decodeLoadReport(bytes);
    if (!report) {
        logEvent(event::load_message_ignored,
                 {{"kind", "report"}, {"bytes", static_cast<std::uint64_t>(bytes.size())}});
        return;
    }
    m_metrics.counterOf(reportsFamily).add();
    m_fleet.onReport(reporter, report.value(), now);
}

void load_sharing::onUpdate(std::string_view bytes, instant now)
{
    const auto update = routing::decodeLoadUpdate(bytes);
    if (!update) {
        logEvent(event::load_message_ignored,
                 {{"kind", "update"}, {"bytes", static_cast<std::uint64_t>(bytes.size())}});
        return;
    }
    m_metrics.counterOf(updatesFamily).add();
    m_views.onUpdate(update.value(), now);
}

void load_sharing::onTick(std::size_t instances, bool isFollowing, bool hasFollowers, instant now)
{
    const duration interval
        = std::max(m_options.minimumInterval, m_options.intervalPerInstance * static_cast<duration::rep>(instances));
    if (now - m_exchangeAt < interval || m_options.maximumSlots == 0) {
        return;
    }
    m_exchangeAt = now;
    if (now - m_cleanAt >= cleanInterval) {
        m_cleanAt = now;
        m_views.removeIdle(now);
        updateEndpoints();
        const routing::view_totals totals = m_views.totals(now);
        m_metrics.gaugeOf(viewsFamily).set(static_cast<double>(totals.known));
        m_metrics.gaugeOf(othersFamily).set(totals.othersInFlight);
    }
    if (m_isActive) {
        exchange(isFollowing, hasFollowers, interval, now);
    }
}

/// Sends a report, or as the reader an update. An instance that is followed while it follows another one does both,
/// since its followers have no other reader.
void load_sharing::exchange(bool isFollowing, bool hasFollowers, duration interval, instant now)
{
    const auto report = m_views.takeReport();
    if (isFollowing) {
        m_handlers.sendToReader(routing::encodeLoadReport(report));
    }
    if (!hasFollowers) {
        m_fleet.onReporterGone(self);
        if (std::exchange(m_isReader, false)) {
            m_metrics.gaugeOf(reportersFamily).set(0);
        }
        return;
    }
    if (!std::exchange(m_isReader, true)) {
        m_views.restartReports();
    }
    m_fleet.onReport(self, report, now);
    m_metrics.gaugeOf(reportersFamily).set(static_cast<double>(m_fleet.reporterCount()));
    const double budget = m_options.updateBytesPerSecond * std::chrono::duration<double>(interval).count();
    const auto update = m_fleet.takeUpdate(static_cast<std::size_t>(std::max(0.0, budget - framingBytes)), now);
    std::string encoded = routing::encodeLoadUpdate(update);
    m_metrics.counterOf(updateBytesFamily).add(encoded.size() + framingBytes);
    if (!isFollowing) {
        m_views.onUpdate(update, now);
    }
    m_handlers.sendToAll(std::move(encoded));
}

void load_sharing::updateEndpoints()
{
    std::vector<routing::fleet_load_table::endpoint_reference> endpoints;
    for (const catalog::endpoint_record &record : m_directory.records()) {
        if (isEnabled(record.service)) {
            endpoints.push_back({routing::endpointKey(record.id), record.service});
        }
    }
    m_isActive = !endpoints.empty();
    m_fleet.setEndpoints(endpoints);
}

} // namespace masticlever::frontend
