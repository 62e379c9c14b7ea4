#pragma once

#include "caller-connection.h"
#include "directory-feed.h"
#include "fleet-host.h"
#include "frontend-context.h"
#include "instance-finder.h"
#include "registration-keeper.h"
#include "request-session.h"
#include "status-server.h"
#include "store-probe-pace.h"
#include "store-watch.h"

#include <masticlever/frontend/frontend-daemon.h>
#include <masticlever/net/stream-socket.h>

#include <QTimer>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Binds the parts of the daemon to sockets, timers and the store.

namespace masticlever::frontend
{

class daemon_core : public request_handler
{
public:
    daemon_core(frontend_settings settings, const protocol::site_protocol &protocol, common::random_source &random,
                std::string incarnation);
    ~daemon_core() override;

    std::string start();
    void stop();
    void reload(const frontend_settings &settings);

private:
    /// Between reads of the configuration for others, which hear nothing new for 1.2 s before they read for themselves.
    static constexpr common::duration configurationPoll = std::chrono::milliseconds(400);
    static constexpr common::duration configurationAge
        = 2 * configurationPoll; ///< an older one is not passed on as recent

    static topic_follower_options configurationFollowing();

    void onRequestHead(caller_connection &caller, http1::message_head head) override;
    void onRequestBody(caller_connection &caller, std::string_view bytes) override;
    void onRequestEnd(caller_connection &caller) override;
    void onCallerGone(caller_connection &caller) override;
    void onCallerDrained(caller_connection &caller) override;
    void onBadRequest(int status) override;

    void onCaller(int descriptor);
    void answerEarly(caller_connection &caller, const protocol::request_attributes &attributes, int status,
                     std::string_view reason);
    /// The status of an early refusal, or 0 with \p request filled in.
    int admit(const http1::message_head &head, request_session::admitted_request &request, std::string_view &reason);

    void onConfigurationNews(const follow_news &news);
    void followConfiguration(const std::string &text, std::string_view source);
    void onEndpointNews(const follow_news &news);
    void onDirectoryNews(const stages::directory_message &news);
    void onStoreReach(bool isReachable);
    void applyChanges(const directory_changes &changes);
    void onSeenLeaving(const directory_changes &changes);
    void onToldLeaving(const std::vector<membership::endpoint_notice> &notices);

    void onTick();
    void tendFleet(common::instant now);
    void paceStoreCalls(common::instant now);
    void onVersionSeen(std::uint64_t version);
    void noticePause(common::instant now);
    void sweep(common::instant now);
    void advanceStop(common::instant now);
    bool isReady() const;
    std::uint64_t version() const; ///< of the configuration in force; 0: none
    request_session *findSession(std::uint64_t number);

    frontend_settings m_settings;
    const protocol::site_protocol &m_protocol;
    std::string m_incarnation;
    telemetry::metric_registry m_metrics;
    std::shared_ptr<const catalog::service_configuration> m_configuration;
    std::string m_configurationText; ///< for instances that cannot reach the store
    catalog::endpoint_directory m_directory;
    registration_keeper m_registrations;
    forwarding::endpoint_choice m_choice;
    forwarding::retry_share m_retries;
    endpoint_pool m_pool;
    net::receive_budget m_budget;
    endpoint_reports m_reports;
    service_pace m_pace;
    piece_service m_pieces;
    frontend_context m_context;
    store_watch m_configurationWatch;
    store_watch m_endpointWatch;
    store_probe_pace m_probePace;
    instance_finder m_finder;
    directory_feed m_feed;
    fleet_host m_fleet;
    status_server m_status;
    net::listener m_front;
    net::listener m_homes;
    QTimer m_timer;

    std::map<caller_connection *, std::unique_ptr<caller_connection>> m_callers;
    std::map<std::uint64_t, std::unique_ptr<request_session>> m_sessions;
    std::uint64_t m_lastSession = 0;
    common::instant m_now;
    common::instant m_fleetDueAt;
    std::optional<common::instant> m_stoppingSince;
    bool m_hasHandedBack = false;
    bool m_isStoreReachedByOthers = false;
    std::uint64_t m_seenVersion = 0; ///< the newest configuration that another instance has
    common::instant m_versionSeenAt;
    bool m_isStoreReported = true; ///< the last state that was logged
    std::int64_t m_bootTime = 0; ///< of the last tick, microseconds
    std::uint64_t m_badRequests = 0;
    std::uint64_t m_badRequestsReported = 0;
    common::instant m_badRequestsAt;
};

} // namespace masticlever::frontend
