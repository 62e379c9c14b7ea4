#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// A version of the service configuration, which operators write and the daemon follows, with lookups by host, path,
/// service and API key.

namespace masticlever::catalog
{

/// Determines which requests may be retried without asking the caller.
enum class request_kind {
    idempotent, ///< may run any number of times
    non_idempotent, ///< runs at most once per attempt of the caller
    stream, ///< a stream of events; runs at most once unless the route is resumable
};

struct weighted_service {
    std::string service;
    double weight = 1;
};

/// A preprocessing step that must finish before the request itself can run.
struct stage_spec {
    std::string service;
    std::vector<std::size_t> after; ///< indices of the stages whose results this one reads
    double resultBytes = 0; ///< approximate size of the result of one piece
};

struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    common::duration timeout{}; ///< maximum time that a request may wait
    common::duration latencyObjective{}; ///< to the complete response; for streams, to the first event
    common::duration eventGapObjective{}; ///< maximum time between two events of a stream; zero means no objective
    int priority = 0; ///< 0 is the most urgent
    std::size_t maximumAttempts = 1; ///< number of endpoints that a request may be sent to
    std::vector<weighted_service> services;
    std::vector<stage_spec> stages;
    bool isPublic = false; ///< requires no API key
    bool isResumable = false; ///< a stream may continue on another endpoint
    bool hasPrompt = false; ///< requests list the parts of their prompt

    /// Indices of the stages that no other stage depends on; the request itself reads their results.
    std::vector<std::size_t> finalStages() const;
    /// The service whose share of the requests contains \p point, from 0 to below 1; empty if no service has a share.
    std::string_view serviceAt(double point) const;
    bool allowsRetry() const { return kind == request_kind::idempotent || isResumable; }
};

/// Limits of a service that computes stage results in batches; each limit applies per endpoint.
struct batch_limits {
    std::size_t parallelCalls = 1;
    std::size_t queuedCalls = 0;
    std::size_t batchSize = 1; ///< maximum number of pieces in one call
    common::duration callOverhead{}; ///< approximate fixed time of a call, without the time of its pieces
    common::duration pieceTime{}; ///< approximate time for each piece of a call
    double resultCapacityBytes = 0; ///< memory for results
    common::duration resultLifetime{}; ///< how long a result is kept after the end of its call
};

struct model_limits {
    std::size_t slots = 1;
    std::uint64_t cacheTokens = 0;
    std::size_t tokensPerEvent = 1;
};

struct service {
    std::string name;
    std::string healthPath;
    std::size_t maximumConnections = 1; ///< limit per endpoint, shared by all its clients
    std::optional<batch_limits> batches;
    std::optional<model_limits> model;
};

struct team {
    std::string name;
    std::optional<int> priority; ///< overrides the priority of the route
    std::vector<std::string> keys; ///< API keys
};

struct caller_limits {
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = std::size_t{4} * 1024 * 1024;
    common::duration headTimeout = std::chrono::seconds(3);
    common::duration idleTimeout = std::chrono::seconds(15);
};

/// Whether a request may use a route, and for which team.
struct authorization {
    bool isGranted = false;
    const team *grantee = nullptr; ///< nullptr if the request needs no API key
};

/// Immutable after it is built.
class service_configuration
{
public:
    class builder;

    std::uint64_t version() const { return m_version; }
    const caller_limits &limits() const { return m_limits; }
    const std::vector<route> &routes() const { return m_routes; }

    /// The route of \p host with the longest path prefix that matches \p path; nullptr if there is none.
    const route *findRoute(std::string_view host, std::string_view path) const;
    /// nullptr for an unknown service.
    const service *findService(std::string_view name) const;
    /// Decides whether a request with the API key \p key, which is empty if it has none, may use \p route.
    authorization authorize(const route &route, std::string_view key) const;

private:
    service_configuration() = default;

    std::uint64_t m_version = 0;
    caller_limits m_limits;
    std::vector<route> m_routes;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< route indices, longest prefix first
    std::map<std::string, service, std::less<>> m_services;
    bool m_needsKeys = false; ///< also true without any team: then no key is valid
    std::vector<team> m_teams;
    std::map<std::string, std::size_t, std::less<>> m_byKey; ///< team indices
};

class service_configuration::builder
{
public:
    builder &version(std::uint64_t number);
    builder &limits(const caller_limits &limits);
    builder &add(route added);
    builder &add(service added);
    /// Closes all routes that are not public to requests without the API key of a team that is added.
    builder &requireKeys();
    /// Also requires keys. Empty keys are left out, as they would let in requests without a key.
    builder &add(team added);
    service_configuration build();

private:
    service_configuration m_built;
};

/// Returns \p host without its port, in lower case.
std::string normalizedHost(std::string_view host);

} // namespace masticlever::catalog
