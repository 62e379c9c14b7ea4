#pragma once

#include <masticlever/common/moment.h>
#include <masticlever/common/result.h>
#include <masticlever/configuration/snapshot.h>
#include <masticlever/gateway/exchange.h>
#include <masticlever/runs/actions.h>
#include <masticlever/runs/run-table.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

/// \file
/// HTTP API for callers: POST /v1/pipelines/{pipeline}/runs and GET /v1/runs/{key}.

namespace masticlever::gateway
{

/// Receives the answer to one request.
class answer_sink
{
public:
    virtual ~answer_sink() = default;
    virtual void onText(std::string_view text) = 0;
    virtual void onReply(const runs::reply &reply) = 0;
};

struct submission {
    runs::run_request request;
    configuration::snapshot_ptr configuration;
    const configuration::pipeline_spec *pipeline = nullptr; ///< owned by the configuration
    runs::team_terms terms;
    std::string traceparent; ///< as received; may be empty or malformed
};

enum class run_state { none, running, finished, unknown, expired };

struct run_status {
    run_state state = run_state::none;
    std::string result; ///< JSON; set only for a finished run
};

/// Interface of the instance that the caller API uses.
class caller_service
{
public:
    virtual ~caller_service() = default;
    virtual common::moment now() const = 0;
    /// Whether the configuration is loaded, so that requests can be accepted.
    virtual bool isReady() const = 0;
    virtual configuration::snapshot_ptr configuration() const = 0;
    virtual runs::run_id submit(submission run, std::shared_ptr<answer_sink> sink) = 0;
    virtual void onCallerGone(runs::run_id id) = 0;
    virtual run_status findRun(const common::run_key &key) const = 0;
    /// Makes a UUIDv7 for a request without an idempotency key.
    virtual std::string makeKey() = 0;
};

struct caller_options {
    std::size_t bodyLimitBytes = 262144;
    std::chrono::milliseconds clockSkew{1000}; ///< keys that lie further in the future are rejected
};

class caller_api
{
public:
    caller_api(caller_service &service, caller_options options);

    /// Returns false when method and path belong to no caller request.
    bool handle(exchange &httpExchange);

private:
    void handleRun(exchange &httpExchange, const std::string &pipelineName);
    void handleStatus(exchange &httpExchange, const std::string &key);
    /// Returns the team of the token, or nullptr after answering with a problem.
    const configuration::resource<configuration::team_spec> *authenticate(exchange &httpExchange);
    const std::unordered_map<std::string, std::string> &tokenIndex(const configuration::snapshot_ptr &current);
    common::result<std::string> readKey(exchange &httpExchange, bool required);
    bool checkBody(exchange &httpExchange, std::size_t teamLimit) const;
    std::chrono::milliseconds readDeadline(const exchange &httpExchange, std::chrono::milliseconds maxDeadline) const;

    caller_service &m_service;
    caller_options m_options;
    configuration::snapshot_ptr m_indexedSnapshot;
    std::unordered_map<std::string, std::string> m_teamByTokenDigest; ///< of m_indexedSnapshot
};

/// Returns the token of the "Authorization: Bearer" header, or an empty string without one.
std::string bearerToken(const exchange &httpExchange);

} // namespace masticlever::gateway
