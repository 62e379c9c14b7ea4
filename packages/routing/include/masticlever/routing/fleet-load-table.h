#pragma once

#include <masticlever/common/time.h>
#include <masticlever/routing/load-messages.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

/// \file
/// Sums up at the reader what all instances report of the load of endpoints, and selects what is sent to them.

namespace masticlever::routing
{

struct fleet_load_options {
    common::duration smoothing = std::chrono::seconds(10); ///< time constant of failures and pace
    /// The requests of a reporter that is silent for longer do not count until it reports again. Instances report
    /// several times a second.
    common::duration reporterTimeout = std::chrono::seconds(3);
    /// An entry without changes is sent again after this time, which new receivers get it by.
    common::duration refreshInterval = std::chrono::seconds(2);
    double minimumPace = 0.25;
    double maximumPace = 4;
    /// Number of requests at the service's usual pace that the pace of an endpoint starts from.
    double paceInertia = 4;
    /// Outcomes of one reporter that count at most in the failure share, so that one instance alone, whose link may be
    /// at fault, has little effect on it.
    double outcomesPerReporter = 2;
    std::size_t maximumEndpoints = 4096; ///< reports on further ones are ignored
};

class fleet_load_table
{
public:
    /// Identifies a reporter. An instance that connects again is another reporter.
    using reporter_id = std::uint64_t;

    struct endpoint_reference {
        endpoint_key endpoint = 0;
        std::string service;
    };

    explicit fleet_load_table(fleet_load_options options) : m_options(options) { }

    /// Sets the endpoints that updates include.
    void setEndpoints(std::span<const endpoint_reference> endpoints);
    /// A report states the reporter's requests at the endpoints that it lists; at others nothing has changed.
    void onReport(reporter_id reporter, std::span<const load_report_entry> entries, common::instant now);
    void onReporterGone(reporter_id reporter);
    /// Returns the entries that differ most from what was last sent, up to \p budgetBytes, and takes them as sent.
    std::vector<load_update_entry> takeUpdate(std::size_t budgetBytes, common::instant now);

    std::size_t reporterCount() const { return m_reporters.size(); }

private:
    struct contribution {
        std::uint32_t inFlight = 0;
        std::uint64_t tokens = 0;
        std::uint64_t pendingTokens = 0;
        double answered = 0; ///< decays
        double failed = 0; ///< decays
        common::instant decayedAt;
    };

    struct endpoint_state {
        std::map<reporter_id, contribution> contributions;
        double firstEvents = 0; ///< decays
        double slownessSum = 0; ///< decays
        common::instant decayedAt;
        bool hasMoved = false; ///< the requests of a reporter have changed since the sum was sent
    };

    struct sent_state {
        std::string service;
        load_update_entry entry;
        common::instant sentAt;
        bool isSent = false;
    };

    struct service_pace {
        double typicalSlowness = 0;
        bool isKnown = false;
    };

    double decay(common::instant from, common::instant to) const;
    void removeIdle(common::instant now);
    load_update_entry sumOf(endpoint_key endpoint, const service_pace &typical, common::instant now) const;
    std::map<std::string, service_pace> typicalPaces(common::instant now) const;
    double priorityOf(const sent_state &sent, const load_update_entry &current, bool hasMoved,
                      common::instant now) const;

    fleet_load_options m_options;
    std::map<reporter_id, common::instant> m_reporters; ///< time of the last report
    std::map<endpoint_key, endpoint_state> m_states;
    std::map<endpoint_key, sent_state> m_sent;
};

} // namespace masticlever::routing
