#pragma once

#include "caller-connection.h"
#include "caller-limits.h"
#include "directory-feed.h"
#include "fleet-host.h"
#include "frontend-context.h"
#include "instance-finder.h"
#include "registration-tracker.h"
#include "request-session.h"
#include "status-server.h"
#include "store-probe-schedule.h"
#include "store-watch.h"

#include <masticlever/catalog/evacuation-table.h>
#include <masticlever/frontend/frontend-daemon.h>
#include <masticlever/net/stream-socket.h>

#include <QTimer>

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// \file
/// Connects the components of the daemon to sockets, timers and the store.

namespace masticlever::frontend
{

class daemon_core : public request_handler
{
public:
    daemon_core(frontend_settings settings, const protocol::wire_protocol &protocol, common::random_source &random,
                std::string incarnation);
    ~daemon_core() override;

    std::string start();
    void stop();
    void reload(const frontend_settings &settings);

private:
    /// Interval between reads of the configuration on behalf of other instances, which read it themselves after 1.2 s
    /// without an update.
    static constexpr common::duration configurationPollInterval = std::chrono::milliseconds(400);
    static constexpr common::duration maximumConfigurationAge
        = 2 * configurationPollInterval; ///< an older one is not forwarded as recent

    static topic_follower_options configurationFollowerOptions();

    void onRequestHead(caller_connection &caller, http1::message_head head) override;
    void onRequestBody(caller_connection &caller, std::string_view bytes) override;
    void onRequestEnd(caller_connection &caller) override;
    void onCallerGone(caller_connection &caller) override;
    void onCallerDrained(caller_connection &caller) override;
    void onBadRequest(int status) override;
    void onCallerRead(caller_connection &caller) override;
    bool mayReceiveAhead(std::size_t bytes) override { return m_callerLimits.hasMemory(bytes); }
    void onUnreadAnswers(const caller_connection &caller) override;

    void onCaller(int descriptor);
    void refuseRequest(caller_connection &caller, const protocol::request_attributes &attributes, int status,
                       std::string_view reason);
    /// Returns the status and \p reason of a refusal, or 0 with \p request filled in.
    int admit(caller_connection &caller, const http1::message_head &head, request_session::admitted_request &request,
              std::string_view &reason);
    bool updateMemory(caller_connection &caller, common::instant now);

    void onConfigurationUpdate(const topic_update &update);
    void applyConfiguration(const std::string &text, std::string_view source);
    void onEndpointUpdate(const topic_update &update);
    void onEvacuations(std::span<const catalog::evacuation_record> records, std::string_view source);
    void applyEvacuations(std::string_view source);
    void withholdEndpoints(common::instant now);
    void onDirectoryUpdate(const stages::directory_message &update);
    void onStoreReachability(bool isReachable);
    void onStoreGeneration(std::uint64_t generation, std::string_view source);
    void applyChanges(const directory_changes &changes);
    void onLeavingReported(const directory_changes &changes);
    void logRateLimits();
    void logPromptFaults(common::instant now);
    void onEndpointCrash(const endpoint_crash &crash);
    void onLeavingNotices(const std::vector<membership::endpoint_notice> &notices);

    void onTick();
    void updateFleet(common::instant now);
    void limitStoreProbes(common::instant now);
    void onVersionSeen(std::uint64_t version);
    void updateCatchUp(common::instant now);
    void detectPause(common::instant now);
    void sweep(common::instant now);
    void advanceStop(common::instant now);
    bool isReady() const;
    std::uint64_t version() const; ///< of the configuration in force; 0: none
    request_session *findSession(std::uint64_t number);

    frontend_settings m_settings;
    const protocol::wire_protocol &m_protocol;
    std::string m_incarnation;
    telemetry::metric_registry m_metrics;
    std::shared_ptr<const catalog::service_configuration> m_configuration;
    std::string m_configurationText; ///< served to instances that cannot reach the store
    catalog::endpoint_directory m_directory;
    catalog::evacuation_table m_evacuations;
    bool m_areEvacuationsKnown = false; ///< the store's or the reader's records of them have been read
    std::optional<common::instant> m_withheldUntil; ///< for endpoints that are known before the evacuations
    registration_tracker m_registrations;
    fleet_host m_fleet;
    forwarding::endpoint_choice m_choice;
    forwarding::retry_share m_retries;
    endpoint_gate m_gate;
    endpoint_pool m_pool;
    net::receive_budget m_budget;
    endpoint_reports m_reports;
    crash_monitor m_crashes;
    latency_estimator m_latencyEstimator;
    load_sharing m_load;
    piece_service m_pieces;
    frontend_context m_context;
    store_watch m_configurationWatch;
    store_watch m_endpointWatch;
    store_probe_schedule m_probeSchedule;
    instance_finder m_finder;
    directory_feed m_feed;
    status_server m_status;
    net::listener m_front;
    net::listener m_homes;
    QTimer m_timer;

    caller_limits m_callerLimits;
    caller_map m_callers;
    std::uint64_t m_lastCaller = 0;
    std::map<std::uint64_t, std::unique_ptr<request_session>> m_sessions;
    std::uint64_t m_lastSession = 0;
    common::instant m_now;
    common::instant m_startedAt;
    bool m_hasCaughtUp = false; ///< has a configuration as new as that of its peers; once set, it stays
    common::instant m_fleetDueAt;
    std::optional<common::instant> m_stoppingSince;
    common::instant m_answerBy; ///< while stopping: when the requests that are still open are ended
    bool m_hasHandedBack = false;
    bool m_isStoreReachedByOthers = false;
    std::uint64_t m_storeGeneration = 0; ///< the newest generation of the store that is known; 0: none
    std::uint64_t m_seenVersion = 0; ///< the newest configuration version that another instance has
    common::instant m_versionSeenAt;
    bool m_isReachableLogged = true; ///< the reachability of the store that was last logged
    std::int64_t m_bootTime = 0; ///< CLOCK_BOOTTIME of the last tick, in microseconds
    std::uint64_t m_badRequests = 0;
    std::uint64_t m_badRequestsReported = 0;
    common::instant m_badRequestsAt;
};

} // namespace masticlever::frontend
