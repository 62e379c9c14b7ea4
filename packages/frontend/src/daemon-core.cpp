#include "daemon-core.h"

#include <masticlever/common/digest.h>
#include <masticlever/telemetry/events.h>

#include <QCoreApplication>

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <iterator>
#include <utility>
#include <variant>

namespace masticlever::frontend
{

using common::duration;
using common::instant;
using telemetry::event;
using telemetry::logEvent;

namespace
{

constexpr std::chrono::milliseconds tick{25}; ///< precision with which deadlines are met
constexpr int backlog = 512;
constexpr duration fleetInterval = std::chrono::milliseconds(100); ///< half of the heartbeat interval
constexpr duration pauseThreshold = std::chrono::milliseconds(700); ///< a longer gap between ticks counts as a pause
constexpr double configurationSendSeconds = 0.6; ///< link time for sending one configuration to all subscribers
constexpr duration badRequestInterval = std::chrono::seconds(1); ///< minimum time between log lines
constexpr duration firstPeerTimeout = std::chrono::milliseconds(600); ///< three rounds of gossip
constexpr duration catchUpTimeout = std::chrono::seconds(5); ///< for a version that no live instance hands over
constexpr duration startRetryAfter = std::chrono::milliseconds(500); ///< for callers while there is no configuration
/// Time after SIGTERM in which requests are still accepted. The load balancer needs two failed checks, one second each,
/// and connections that were opened meanwhile must be served.
constexpr duration drainPeriod = std::chrono::milliseconds(2600);
constexpr duration leavingPropagation = std::chrono::milliseconds(300); ///< one and a half rounds of gossip
/// Time left for flushing the last answers and the exit before the process is killed.
constexpr duration answerMargin = std::chrono::milliseconds(600);
constexpr duration stopMargin = std::chrono::milliseconds(400); ///< time left for the exit before the process is killed
constexpr double answerMemoryShare = 0.15; ///< for data received from endpoints, the store and other instances
constexpr double stageCallMemoryShare = 0.05; ///< for calls to endpoints of stages that are not sent yet
constexpr int mappedBlockBytes = 131072; ///< larger blocks are returned to the system when they are freed
constexpr std::size_t defaultMemory = 256u << 20;

constexpr int notFound = 404;
constexpr int unauthorized = 401;
constexpr int badRequest = 400;
constexpr int unavailable = 503;
constexpr int success = 200;

directory_feed_options feedOptions(const frontend_settings &settings)
{
    constexpr double bytesPerMegabit = 125000;
    directory_feed_options options;
    if (settings.linkMbps > 0) {
        options.configurationByteLimit = settings.linkMbps * bytesPerMegabit * configurationSendSeconds;
    }
    return options;
}

std::size_t memoryOf(const frontend_settings &settings)
{
    return settings.memoryBytes > 0 ? settings.memoryBytes : defaultMemory;
}

std::int64_t bootMicroseconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::int64_t{time.tv_sec} * 1000000 + time.tv_nsec / 1000;
}

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

instant monotonicNow()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

topic_follower_options daemon_core::configurationFollowerOptions()
{
    topic_follower_options options;
    options.pollInterval = configurationPollInterval;
    options.firstReadDelay = std::chrono::milliseconds(1200); // subscribers read the store after this time
    options.wait = std::chrono::seconds(8); // bounds how long a store that has stopped answering goes unnoticed
    options.maximumBackoff = std::chrono::milliseconds(1600); // an isolated instance must not use up the call budget
    return options;
}

daemon_core::daemon_core(frontend_settings settings, const protocol::wire_protocol &protocol,
                         common::random_source &random, std::string incarnation)
    : m_settings(std::move(settings)), m_protocol(protocol), m_incarnation(std::move(incarnation)), m_directory({}),
      m_registrations(
          m_directory,
          [this](std::string_view id, std::string_view value) { return m_protocol.readEndpoint(id, value); }),
      m_fleet(m_settings, m_incarnation,
              {[this] { return m_configurationText; }, [this] { return version(); },
               [this](const std::string &text) { applyConfiguration(text, "peer"); },
               [this](std::uint64_t seen) { onVersionSeen(seen); },
               [this](const std::vector<membership::endpoint_notice> &notices) { onLeavingNotices(notices); }}),
      m_choice({}),
      m_retries({.ratio = m_settings.retryRatio, .slack = m_settings.retrySlack, .window = m_settings.retryWindow}),
      m_gate(m_directory, m_fleet.rateLimits(), m_metrics), m_pool({}, m_gate),
      m_budget(static_cast<std::size_t>(answerMemoryShare * static_cast<double>(memoryOf(m_settings)))),
      m_reports(m_directory, m_fleet.rateLimits(),
                [this](const directory_changes &changes) { onLeavingReported(changes); }),
      m_crashes({}, [this](const endpoint_crash &crash) { onEndpointCrash(crash); }), m_latencyEstimator({}),
      m_load({.maximumSlots = m_settings.sharedLoadMaximumSlots}, m_directory, m_metrics,
             {[this](std::string report) {
                  m_feed.sendToReader(stages::status_message{{}, std::move(report)});
              },
              [this](std::string update) {
                  m_pieces.sendToOwners(m_feed.subscribers(), stages::status_message{{}, std::move(update)});
              }}),
      m_pieces({},
               {m_pool, m_gate, protocol, m_reports, m_budget,
                static_cast<std::size_t>(stageCallMemoryShare * static_cast<double>(memoryOf(m_settings))),
                std::to_string(common::stableHash(m_incarnation)) + "-"},
               m_directory,
               [this](std::uint64_t job, std::span<const stages::piece_outcome> outcomes) {
                   if (request_session *session = findSession(job)) {
                       session->onPieces(outcomes);
                   }
               }),
      m_context{m_settings,
                protocol,
                random,
                m_directory,
                m_choice,
                m_retries,
                m_pool,
                m_gate,
                m_reports,
                m_crashes,
                m_fleet.promptFaults(),
                m_budget,
                m_pieces,
                m_latencyEstimator,
                m_load,
                m_metrics,
                m_configuration},
      m_configurationWatch(protocol, protocol::store_topic::configuration, m_settings.storeAddress, m_budget,
                           configurationFollowerOptions(),
                           {[this](const topic_update &update) { onConfigurationUpdate(update); },
                            [this](bool isReachable) { onStoreReachability(isReachable); },
                            [this](std::uint64_t generation) { onStoreGeneration(generation, "store"); }}),
      m_endpointWatch(protocol, protocol::store_topic::endpoints, m_settings.storeAddress, m_budget, {},
                      {[this](const topic_update &update) { onEndpointUpdate(update); },
                       [this](bool isReachable) { onStoreReachability(isReachable); },
                       [this](std::uint64_t generation) { onStoreGeneration(generation, "store"); }}),
      m_probeSchedule({}, common::stableHash(m_incarnation)),
      m_finder(protocol, m_settings, m_budget,
               [this](std::vector<std::string> contacts) { m_fleet.setContacts(std::move(contacts)); }),
      m_feed(feedOptions(m_settings), m_budget,
             {[this](std::span<const std::uint64_t> subscribers, const stages::home_message &message) {
                  m_pieces.sendToOwners(subscribers, message);
              },
              [this](const stages::directory_message &update) { onDirectoryUpdate(update); },
              [this] {
                  m_configurationWatch.expedite(monotonicNow());
                  m_endpointWatch.expedite(monotonicNow());
              },
              [this] { m_load.onReaderFollowed(); },
              [this](std::string_view update) { m_load.onUpdate(update, monotonicNow()); }}),
      m_status([this](const http1::message_head &head) {
          if (m_protocol.isReadinessCheck(head)) {
              return status_answer{isReady() ? success : unavailable, "text/plain", {}};
          }
          if (head.target == "/metrics") {
              return status_answer{success, "text/plain; version=0.0.4", m_metrics.exposition()};
          }
          return status_answer{};
      }),
      m_front([this](int descriptor) { onCaller(descriptor); }),
      m_homes([this](int descriptor) { m_pieces.onConnection(descriptor); }),
      m_callerLimits(m_settings, memoryOf(m_settings), m_metrics)
{
    m_pieces.setOwnerHandlers(
        [this](std::uint64_t owner, const stages::home_message &message) {
            if (const auto *subscribed = std::get_if<stages::subscribe_message>(&message)) {
                onEvacuations(subscribed->evacuations, "subscriber");
                m_feed.onSubscriber(owner, subscribed->configurationVersion);
            } else if (const auto *status = std::get_if<stages::status_message>(&message);
                       status != nullptr && !status->endpointLoad.empty()) {
                m_load.onReport(owner, status->endpointLoad, monotonicNow());
            }
        },
        [this](std::uint64_t owner) {
            m_feed.onSubscriberGone(owner);
            m_load.onReporterGone(owner);
        });
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { onTick(); });
}

daemon_core::~daemon_core() = default;

std::string daemon_core::start()
{
    // Without a fixed threshold, glibc keeps blocks as large as the largest one freed in a heap that fragments: 60
    // growing bodies of 39 MB in total then made the process hold 134 MB.
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    m_now = monotonicNow();
    m_startedAt = m_now;
    m_bootTime = bootMicroseconds();
    const auto front = net::parseAddress(m_settings.frontAddress);
    const auto homes = net::parseAddress(m_settings.homeAddress);
    if (!m_front.listen(front.value(), backlog, caller_connection::idleReceiveBuffer)) {
        return "cannot listen on " + m_settings.frontAddress;
    }
    if (!m_homes.listen(homes.value(), backlog)) {
        return "cannot listen on " + m_settings.homeAddress;
    }
    if (!m_status.listen(m_settings.readyAddress)) {
        return "cannot listen on " + m_settings.readyAddress;
    }
    if (!m_settings.metricsAddress.empty() && !m_status.listen(m_settings.metricsAddress)) {
        return "cannot listen on " + m_settings.metricsAddress;
    }
    if (!m_fleet.listen()) {
        return "cannot listen on " + m_settings.gossipAddress;
    }
    m_timer.start(tick);
    onTick();
    logEvent(event::started,
             {{"instance", std::string_view(m_settings.name)},
              {"data_centre", std::string_view(m_settings.dataCentre)},
              {"incarnation", std::string_view(m_incarnation)},
              {"front", std::string_view(m_settings.frontAddress)},
              {"store", std::string_view(m_settings.storeAddress)}});
    return {};
}

void daemon_core::stop()
{
    if (m_stoppingSince) {
        return;
    }
    m_stoppingSince = monotonicNow();
    m_answerBy = *m_stoppingSince + std::max<duration>(m_settings.stopLimit - answerMargin, duration{});
    for (const auto &[number, session] : m_sessions) {
        session->onStopBegins(m_answerBy);
    }
    for (const auto &[raw, caller] : m_callers) {
        raw->closeAfterAnswer();
    }
    m_fleet.announceLeaving();
    logEvent(event::stop_began, {{"requests", static_cast<std::uint64_t>(m_sessions.size())}});
}

void daemon_core::reload(const frontend_settings &settings)
{
    // Only these settings can change at run time; others, such as addresses, take effect at the next start.
    m_settings.contacts = settings.contacts;
    m_settings.stopLimit = settings.stopLimit;
    m_fleet.setContacts(settings.contacts);
}

std::uint64_t daemon_core::version() const
{
    return m_configuration ? m_configuration->version() : 0;
}

bool daemon_core::isReady() const
{
    return m_hasCaughtUp && !m_stoppingSince && m_endpointWatch.follower().hasListed();
}

/// A new instance may have read an older configuration than its peers have, if the store was restored from a copy. It
/// waits until it has heard from them and has their version.
void daemon_core::updateCatchUp(instant now)
{
    const duration sinceStart = now - m_startedAt;
    const bool hasHeard = m_fleet.liveCount() > 1 || sinceStart >= firstPeerTimeout;
    const bool isCurrent
        = (version() >= m_seenVersion && !m_directory.areEvacuationsUnknown()) || sinceStart >= catchUpTimeout;
    m_hasCaughtUp = m_hasCaughtUp || (m_configuration && hasHeard && isCurrent);
}

void daemon_core::onCaller(int descriptor)
{
    const std::uint32_t address = net::peerIp(descriptor);
    const catalog::caller_limits limits = m_configuration ? m_configuration->limits() : catalog::caller_limits{};
    auto caller = std::make_unique<caller_connection>(descriptor, limits, *this, monotonicNow());
    caller_connection *raw = caller.get();
    if (m_stoppingSince) {
        raw->closeAfterAnswer();
    }
    raw->number = ++m_lastCaller;
    raw->address = address;
    m_callers.emplace(raw, std::move(caller));
    m_pool.setLimit(m_callerLimits.endpointConnections(m_callers.size()));
    m_callerLimits.limitConnections(m_callers, *raw, m_pool.size(), monotonicNow());
}

/// Updates what \p caller holds. Returns false if the memory account sheds it, which is left to the caller of this.
bool daemon_core::updateMemory(caller_connection &caller, instant now)
{
    net::memory_use use = caller.memoryUse();
    if (const request_session *session = findSession(caller.session)) {
        use.allocatedBody = session->allocatedBodyBytes();
        use.copies = session->copyBytes();
    }
    return m_callerLimits.updateMemory(m_callers, caller, use, now);
}

void daemon_core::onCallerRead(caller_connection &caller)
{
    if (!updateMemory(caller, monotonicNow())) {
        caller.shed();
    }
}

void daemon_core::onUnreadAnswers(const caller_connection &caller)
{
    m_callerLimits.report("unread_answers", caller.address, caller.unsentBytes());
}

request_session *daemon_core::findSession(std::uint64_t number)
{
    const auto found = m_sessions.find(number);
    return found == m_sessions.end() || found->second->isEnded() ? nullptr : found->second.get();
}

int daemon_core::admit(caller_connection &caller, const http1::message_head &head,
                       request_session::admitted_request &request, std::string_view &reason)
{
    if (!m_configuration) {
        reason = "no_configuration";
        return unavailable;
    }
    const std::string *host = head.find("Host");
    request.route = host == nullptr ? nullptr : m_configuration->findRoute(*host, pathOf(head.target));
    if (request.route == nullptr) {
        reason = "no_route";
        return m_hasCaughtUp ? notFound : unavailable; // a newer configuration may have the route
    }
    request.priority = request.route->priority;
    const catalog::authorization access = m_configuration->authorize(*request.route, request.attributes.apiKey);
    if (!access.isGranted) {
        reason = "unknown_key";
        return m_hasCaughtUp ? unauthorized : unavailable;
    }
    if (access.grantee != nullptr) {
        request.team = access.grantee->name;
        request.priority = access.grantee->priority.value_or(request.priority);
    }
    const instant now = monotonicNow();
    if (m_stoppingSince && (now - *m_stoppingSince > drainPeriod || now >= m_answerBy)) {
        reason = "stopping";
        return unavailable;
    }
    if (!m_callerLimits.mayHavePieces(request.attributes.pieces)) {
        reason = "too_many_pieces";
        return badRequest;
    }
    if (m_pool.isFull()) {
        reason = "endpoint_connections";
        return unavailable;
    }
    if (!updateMemory(caller, now)) {
        reason = "memory";
        return unavailable;
    }
    request.configuration = m_configuration;
    return 0;
}

void daemon_core::refuseRequest(caller_connection &caller, const protocol::request_attributes &attributes, int status,
                                std::string_view reason)
{
    logEvent(event::request_refused,
             {{"request", std::string_view(attributes.requestId)},
              {"status", std::int64_t{status}},
              {"reason", reason},
              {"configuration", version()}});
    m_callerLimits.count(reason);
    std::optional<duration> retryAfter;
    if (status == unavailable) {
        // It is unknown when the store recovers, so the caller retries as late as it can still be served.
        const duration latest = attributes.deadline.value_or(startRetryAfter) / 3;
        retryAfter = m_registrations.hasStoreFailed() ? std::max(startRetryAfter, latest) : startRetryAfter;
    }
    caller.beginAnswer(m_protocol.localAnswer(status, attributes.requestId, retryAfter), 0);
    caller.endAnswer();
}

void daemon_core::onRequestHead(caller_connection &caller, http1::message_head head)
{
    if (m_stoppingSince) {
        caller.closeAfterAnswer();
    }
    auto attributes = m_protocol.readRequest(head);
    if (!attributes) {
        refuseRequest(caller, {}, badRequest, "malformed_attributes");
        return;
    }
    request_session::admitted_request request;
    request.attributes = std::move(attributes.value());
    std::string_view reason;
    if (const int status = admit(caller, head, request, reason); status != 0) {
        refuseRequest(caller, request.attributes, status, reason);
        return;
    }
    request.head = std::move(head);
    const std::uint64_t number = ++m_lastSession;
    caller.session = number;
    auto session = std::make_unique<request_session>(m_context, number, caller, std::move(request), monotonicNow());
    request_session *raw = session.get();
    m_sessions.emplace(number, std::move(session));
    if (m_stoppingSince) {
        raw->onStopBegins(m_answerBy);
    }
    raw->begin();
}

void daemon_core::onRequestBody(caller_connection &caller, std::string_view bytes)
{
    if (request_session *session = findSession(caller.session)) {
        session->addBody(bytes);
    }
}

void daemon_core::onRequestEnd(caller_connection &caller)
{
    if (request_session *session = findSession(caller.session)) {
        session->onBodyEnd();
    }
}

void daemon_core::onCallerGone(caller_connection &caller)
{
    if (request_session *session = findSession(std::exchange(caller.session, 0))) {
        session->onCallerGone();
    }
}

void daemon_core::onCallerDrained(caller_connection &caller)
{
    if (request_session *session = findSession(caller.session)) {
        session->onCallerDrained();
    }
}

void daemon_core::onBadRequest(int status)
{
    ++m_badRequests;
    m_callerLimits.count("status_" + std::to_string(status));
    const instant now = monotonicNow();
    if (now - m_badRequestsAt >= badRequestInterval) {
        m_badRequestsAt = now;
        logEvent(event::bad_request,
                 {{"status", std::int64_t{status}},
                  {"count", m_badRequests - std::exchange(m_badRequestsReported, m_badRequests)}});
    }
}

/// Detects that the process was stopped or the machine suspended. Connections and state may be outdated after that.
void daemon_core::detectPause(instant now)
{
    const std::int64_t bootTime = bootMicroseconds();
    const duration gap = std::max(now - m_now, duration(bootTime - m_bootTime));
    m_bootTime = bootTime;
    if (gap < pauseThreshold) {
        return;
    }
    logEvent(event::process_paused,
             {{"pause_ms", std::int64_t{std::chrono::duration_cast<std::chrono::milliseconds>(gap).count()}}});
    m_pool.closeIdle();
    m_pieces.onPause();
    m_configurationWatch.restart(listing_reason::paused, now);
    m_endpointWatch.restart(listing_reason::paused, now);
}

/// Updates the set of live instances. The cost is proportional to the fleet size, so this does not run at every tick.
void daemon_core::updateFleet(instant now)
{
    if (now < m_fleetDueAt) {
        return;
    }
    m_fleetDueAt = now + fleetInterval;
    m_fleet.setState(!m_registrations.hasStoreFailed(), version());
    m_fleet.onTick(now);
    m_retries.onFleetSize(m_fleet.liveCount());
    limitStoreProbes(now);
    logRateLimits();
    logPromptFaults(now);
    const std::vector<stages::home_candidate> members = m_fleet.homes();
    std::vector<std::uint64_t> rankKeys;
    std::ranges::transform(members, std::back_inserter(rankKeys), &stages::home_candidate::rankKey);
    m_gate.setMembers(rankKeys, common::stableHash(m_incarnation), now);
    m_pieces.setMembers(members, m_incarnation);
    m_feed.setMembers(members, m_incarnation, version(), now);
}

void daemon_core::onTick()
{
    const instant now = monotonicNow();
    detectPause(now);
    m_now = now;
    updateFleet(now);
    m_feed.onTick(now);
    m_load.onTick(m_fleet.liveCount(), m_feed.isFollowing(), m_feed.hasSubscribers(), now);
    if (m_registrations.mayDeferRead(m_feed.freshUntil(), now)) {
        m_endpointWatch.defer(m_feed.freshUntil());
        m_configurationWatch.defer(m_feed.freshUntil());
    }
    m_configurationWatch.setPolling(m_feed.hasSubscribers(), now);
    m_configurationWatch.onTick(now);
    m_endpointWatch.onTick(now);
    m_finder.onTick(m_fleet.liveCount(), now);
    applyChanges(m_registrations.advance(now));
    withholdEndpoints(now);
    m_crashes.onTick(now);
    m_pieces.onTick(now);
    m_status.onTick(now);
    updateCatchUp(now);
    sweep(now);
    if (m_stoppingSince) {
        advanceStop(now);
    }
}

void daemon_core::sweep(instant now)
{
    for (const auto &[number, session] : m_sessions) {
        session->onTick(now);
    }
    std::erase_if(m_sessions, [](const auto &item) { return item.second->isEnded(); });
    for (const auto &[raw, caller] : m_callers) {
        raw->onTick(now);
        if (!raw->isGone() && !updateMemory(*raw, now)) {
            raw->shed();
        }
    }
    m_callerLimits.forgetGone(m_callers);
    std::erase_if(m_callers, [](const auto &item) { return item.first->isGone(); });
    m_pool.setLimit(m_callerLimits.endpointConnections(m_callers.size()));
    m_pool.sweep(now);
}

void daemon_core::advanceStop(instant now)
{
    const duration stopping = now - *m_stoppingSince;
    if (stopping >= leavingPropagation && !std::exchange(m_hasHandedBack, true)) {
        m_pieces.failWaitingPieces();
    }
    const bool isPastLimit = stopping >= m_settings.stopLimit - stopMargin;
    if (now >= m_answerBy) {
        for (const auto &[number, session] : m_sessions) {
            session->onStopEnds();
        }
    }
    if (stopping < drainPeriod && !isPastLimit) {
        return;
    }
    for (const auto &[raw, caller] : m_callers) {
        raw->closeIfIdle();
    }
    if ((m_sessions.empty() && m_callers.empty()) || isPastLimit) {
        logEvent(event::stopped, {{"requests", static_cast<std::uint64_t>(m_sessions.size())}});
        m_timer.stop();
        QCoreApplication::exit(0);
    }
}

} // namespace masticlever::frontend
