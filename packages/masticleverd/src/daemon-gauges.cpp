#include "daemon.h"

namespace masticlever::masticleverd
{

void daemon::updateGauges()
{
    using telemetry::metric_family;
    static constexpr metric_family offset{"masticlever_configuration_offset", "Last configuration record applied."};
    static constexpr metric_family ready{"masticlever_ready", "1 when the configuration is known."};
    static constexpr metric_family inFlight{"masticlever_requests_in_flight", "Admitted requests."};
    static constexpr metric_family queued{"masticlever_requests_queued", "Requests that wait for admission."};
    static constexpr metric_family runs{"masticlever_ledger_runs", "Runs in the ledger's memory."};
    static constexpr metric_family unknown{"masticlever_ledger_unknown_runs", "Runs that wait to be settled."};
    static constexpr metric_family reachable{"masticlever_log_reachable", "1 when the last read of the log succeeded."};
    static constexpr metric_family live{"masticlever_instances_live", "Live entry instances as seen here."};
    static constexpr metric_family appends{"masticlever_ledger_appends", "Appends of the ledger since the start."};
    static constexpr metric_family spans{"masticlever_spans_lost",
                                         "Spans that could not be delivered since the start."};
    m_registry.gaugeOf(offset).set(static_cast<double>(configuration()->offset));
    m_registry.gaugeOf(ready).set(isReady() ? 1 : 0);
    m_registry.gaugeOf(inFlight).set(static_cast<double>(m_runs->inFlight()));
    m_registry.gaugeOf(queued).set(static_cast<double>(m_runs->queued()));
    m_registry.gaugeOf(runs).set(static_cast<double>(m_ledger->runLedger().size()));
    m_registry.gaugeOf(unknown).set(static_cast<double>(m_ledger->runLedger().unknownRuns().size()));
    m_registry.gaugeOf(reachable).set(m_configuration->isLogReachable() ? 1 : 0);
    m_registry.gaugeOf(live).set(static_cast<double>(m_membership->liveIncarnations().size()));
    m_registry.gaugeOf(appends).set(static_cast<double>(m_ledger->runLedger().counters().appends));
    m_registry.gaugeOf(spans).set(static_cast<double>(m_runs->spansLost()));
}

} // namespace masticlever::masticleverd
