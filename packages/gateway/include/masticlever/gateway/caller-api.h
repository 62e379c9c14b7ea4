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
/// Callers' interface: POST /v1/pipelines/{pipeline}/runs and GET /v1/runs/{key}.

namespace masticlever::gateway
{

/// Where the answer of one request goes.
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
    const configuration::pipeline_spec *pipeline = nullptr; ///< within the configuration
    runs::team_terms terms;
    std::string traceparent; ///< as received; may be empty or malformed
};

enum class run_state { none, running, finished, unknown, expired };

struct run_status {
    run_state state = run_state::none;
    std::string result; ///< JSON of a finished run
};

/// What the callers' interface needs of the instance.
class caller_service
{
public:
    virtual ~caller_service() = default;
    virtual common::moment now() const = 0;
    /// The configuration is known and requests may be taken.
    virtual bool isReady() const = 0;
    virtual configuration::snapshot_ptr configuration() const = 0;
    virtual runs::run_id submit(submission what, std::shared_ptr<answer_sink> sink) = 0;
    virtual void onCallerGone(runs::run_id id) = 0;
    virtual run_status findRun(const common::run_key &key) const = 0;
    /// A fresh UUIDv7 for a caller that gave no key.
    virtual std::string makeKey() = 0;
};

struct caller_options {
    std::size_t bodyLimitBytes = 262144;
    std::chrono::milliseconds clockSkew{1000}; ///< keys from further in the future are refused
};

class caller_api
{
public:
    caller_api(caller_service &service, caller_options options);

    /// False when the path is not one of callers.
    bool handle(exchange &one);

private:
    void handleRun(exchange &one, const std::string &pipelineName);
    void handleStatus(exchange &one, const std::string &key);
    /// The team's resource, or nullptr after a problem was answered.
    const configuration::resource<configuration::team_spec> *authenticate(exchange &one);
    const std::unordered_map<std::string, std::string> &tokenIndex(const configuration::snapshot_ptr &current);
    common::result<std::string> readKey(exchange &one, bool required);
    bool checkBody(exchange &one, std::size_t teamLimit) const;
    std::chrono::milliseconds readDeadline(const exchange &one, std::chrono::milliseconds bound) const;

    caller_service &m_service;
    caller_options m_options;
    configuration::snapshot_ptr m_indexed;
    std::unordered_map<std::string, std::string> m_tokens; ///< team by token digest, of m_indexed
};

/// Token of an "Authorization: Bearer" header; empty when there is none.
std::string bearerToken(const exchange &one);

} // namespace masticlever::gateway
