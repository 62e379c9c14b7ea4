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
/// One version of a configuration that the operators own and the daemon follows, and look-ups in it.

namespace masticlever::catalog
{

/// What may be repeated without the caller's leave.
enum class request_kind {
    idempotent, ///< may run any number of times
    non_idempotent, ///< runs at most once for each attempt of the caller
    stream, ///< events; runs at most once unless the route is resumable
};

struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Work that must be done before the request itself can run.
struct stage_spec {
    std::string service;
    std::vector<std::size_t> after; ///< indices of the stages whose results it reads
    double resultBytes = 0; ///< approximate, of one piece
};

struct route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    common::duration timeout{}; ///< longest time that a request is kept waiting
    common::duration latencyObjective{}; ///< to the whole answer; to the first event of a stream
    common::duration gapObjective{}; ///< longest pause between events of a stream; zero: none
    int priority = 0; ///< 0 is the most urgent
    std::size_t maximumAttempts = 1; ///< endpoints to which one request may be sent
    std::vector<weighted_service> services;
    std::vector<stage_spec> stages;
    bool isPublic = false; ///< needs no key
    bool isResumable = false; ///< a stream may go on at another endpoint
    bool hasPrompt = false; ///< requests name the parts of a prompt

    /// Indices of the stages that no other stage follows: the request itself reads their results.
    std::vector<std::size_t> finalStages() const;
    bool mayRepeat() const { return kind == request_kind::idempotent || isResumable; }
};

/// Limits of a service that makes stage results in batches; each holds for one endpoint.
struct batch_limits {
    std::size_t parallelCalls = 1;
    std::size_t queuedCalls = 0;
    std::size_t batchSize = 1; ///< pieces in one call
    common::duration callTime{}; ///< approximate, besides the time of the pieces
    common::duration pieceTime{}; ///< approximate
    double resultBytes = 0; ///< room for results
    common::duration resultLifetime{}; ///< from the end of the call
};

struct model_limits {
    std::size_t slots = 1;
    std::uint64_t cacheTokens = 0;
    std::size_t tokensPerEvent = 1;
};

struct service {
    std::string name;
    std::string healthPath;
    std::size_t maximumConnections = 1; ///< to one endpoint, from all callers together
    std::optional<batch_limits> batches;
    std::optional<model_limits> model;
};

struct team {
    std::string name;
    std::optional<int> priority; ///< goes before the route's
    std::vector<std::string> keys;
};

struct caller_limits {
    std::size_t headBytes = 16384;
    std::size_t bodyBytes = std::size_t{4} * 1024 * 1024;
    common::duration headTimeout = std::chrono::seconds(3);
    common::duration idleTimeout = std::chrono::seconds(15);
};

/// Immutable once built.
class service_configuration
{
public:
    class builder;

    std::uint64_t version() const { return m_version; }
    const caller_limits &limits() const { return m_limits; }
    const std::vector<route> &routes() const { return m_routes; }
    bool needsKeys() const { return !m_teams.empty(); }

    /// The route of that host with the longest prefix that begins \p path; nullptr when there is none.
    const route *findRoute(std::string_view host, std::string_view path) const;
    const service *findService(std::string_view name) const;
    /// The team that holds \p key; nullptr for an unknown key.
    const team *findTeam(std::string_view key) const;

private:
    service_configuration() = default;

    std::uint64_t m_version = 0;
    caller_limits m_limits;
    std::vector<route> m_routes;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< longest prefix first
    std::map<std::string, service, std::less<>> m_services;
    std::vector<team> m_teams;
    std::map<std::string, std::size_t, std::less<>> m_byKey;
};

class service_configuration::builder
{
public:
    builder &version(std::uint64_t number);
    builder &limits(const caller_limits &limits);
    builder &add(route added);
    builder &add(service added);
    builder &add(team added);
    service_configuration build();

private:
    service_configuration m_built;
};

/// \p host without its port, in lower case.
std::string normalizedHost(std::string_view host);

} // namespace masticlever::catalog
