#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>
#include <masticlever/routing/endpoint-view-table.h>
#include <masticlever/routing/fleet-load-table.h>
#include <masticlever/telemetry/metrics.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Connects the tables of endpoint load to the messages between instances: every instance reports its own requests to
/// the reader of the registrations several times a second, and the reader sends the sums to all.

namespace masticlever::frontend
{

struct load_sharing_options {
    std::size_t maximumSlots = 0; ///< services of endpoints with more slots are left out; 0: all
    common::duration minimumInterval = std::chrono::milliseconds(200); ///< between two reports, and two updates
    /// With a large fleet reports are less frequent, so that the reader receives at most 1,000 of them per second.
    common::duration intervalPerInstance = std::chrono::milliseconds(1);
    double updateBytesPerSecond = 1500; ///< to each receiver, with the framing of messages
};

/// A request in flight at an endpoint whose load is shared.
struct shared_call {
    std::string endpointId;
    routing::request_tokens tokens;
    bool hasFirstAnswer = false;
};

class load_sharing
{
public:
    struct event_handlers {
        std::function<void(std::string report)> sendToReader; ///< does nothing while this instance follows no reader
        std::function<void(std::string update)> sendToAll; ///< to the instances that follow this one
    };

    load_sharing(load_sharing_options options, const catalog::endpoint_directory &directory,
                 telemetry::metric_registry &metrics, event_handlers handlers);

    void setConfiguration(std::shared_ptr<const catalog::service_configuration> configuration);
    /// Whether instances share the load of the endpoints of \p service.
    bool isEnabled(std::string_view service) const;

    /// Returns nothing if the load of the service's endpoints is not shared.
    std::optional<shared_call> onCallBegins(std::string_view service, const std::string &endpointId,
                                            const routing::request_tokens &tokens);
    void onFirstAnswer(std::optional<shared_call> &call, std::optional<common::duration> firstEvent);
    /// Resets \p call.
    void onCallEnds(std::optional<shared_call> &call, routing::own_outcome outcome);

    /// Messages from an instance that follows this one, and from the reader.
    void onReport(std::uint64_t reporter, std::string_view bytes, common::instant now);
    void onReporterGone(std::uint64_t reporter) { m_fleet.onReporterGone(reporter); }
    void onUpdate(std::string_view bytes, common::instant now);
    /// Another reader is followed, which gets all of this instance's requests with the next report.
    void onReaderFollowed() { m_views.restartReports(); }
    void onTick(std::size_t instances, bool isFollowing, bool hasFollowers, common::instant now);

    routing::endpoint_view view(std::string_view endpointId, common::instant now) const
    {
        return m_views.view(endpointId, now);
    }

private:
    void exchange(bool isFollowing, bool hasFollowers, common::duration interval, common::instant now);
    void updateEndpoints();

    load_sharing_options m_options;
    const catalog::endpoint_directory &m_directory;
    telemetry::metric_registry &m_metrics;
    event_handlers m_handlers;
    std::shared_ptr<const catalog::service_configuration> m_configuration;
    routing::endpoint_view_table m_views;
    routing::fleet_load_table m_fleet;
    bool m_isActive = false; ///< there are endpoints whose load is shared
    bool m_isReader = false; ///< other instances follow this one
    common::instant m_exchangeAt;
    common::instant m_cleanAt;
};

} // namespace masticlever::frontend
