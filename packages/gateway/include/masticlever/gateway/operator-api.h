#pragma once

#include <masticlever/common/moment.h>
#include <masticlever/common/run-key.h>
#include <masticlever/configuration/change-tracker.h>
#include <masticlever/configuration/snapshot.h>
#include <masticlever/gateway/exchange.h>

#include <QPointer>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// HTTP API for operators: resources, changes, instances and in-doubt runs.

namespace masticlever::gateway
{

/// Status of an entry instance as reported to operators.
struct instance_status {
    std::string name;
    std::string incarnation;
    std::string dataCentre;
    std::string address; ///< of its HTTP service; empty while unknown
    bool leaving = false;
    bool logReachable = true;
    std::uint64_t configurationOffset = 0;
};

/// A run whose outcome is unknown.
struct doubtful_run {
    common::run_key key;
    std::string pipeline;
    std::string stage;
    std::string owner; ///< incarnation of the owning instance
    common::wall_time since;
    bool hasStatusQuery = false; ///< the endpoints are polled for the outcome
};

enum class settle_outcome { accepted, not_in_doubt, log_unreachable };

/// Interface of the instance that the operator API uses.
class operator_service
{
public:
    using change_handler = std::function<void(const configuration::change_view &)>;

    virtual ~operator_service() = default;
    virtual configuration::snapshot_ptr configuration() const = 0;
    virtual bool isReady() const = 0;
    virtual void submitChange(const configuration::change &change, change_handler done) = 0;
    virtual configuration::change_outcome checkChange(const configuration::change &change) const = 0;
    virtual std::optional<configuration::change_view> findChange(const std::string &id) const = 0;
    virtual std::vector<instance_status> instances() const = 0;
    virtual const std::string &instanceName() const = 0;
    /// Whether the HTTP services of the instances use TLS.
    virtual bool isSecure() const = 0;
    virtual void beginDrain() = 0;
    virtual std::vector<doubtful_run> doubtfulRuns() const = 0;
    virtual settle_outcome settleRun(const common::run_key &key, const std::string &resultJson) = 0;
    virtual std::string makeChangeId() = 0;
};

struct operator_options {
    std::vector<std::string> readTokenDigests;
    std::vector<std::string> changeTokenDigests;
};

class operator_api
{
public:
    operator_api(operator_service &service, operator_options options);

    /// Returns false when the path belongs to no operator request.
    bool handle(exchange &httpExchange);
    /// Checks the token for the right to read or to change; returns false after answering with a problem.
    bool authorize(exchange &httpExchange, bool needsChangeRight) const;
    /// Answers all pending watches.
    void onConfigurationChanged();

private:
    struct watch {
        QPointer<exchange> httpExchange;
        std::uint64_t from = 0;
    };

    void handleResources(exchange &httpExchange);
    void listResources(exchange &httpExchange, configuration::resource_kind kind);
    void readResource(exchange &httpExchange, configuration::resource_kind kind, const std::string &name);
    void changeResource(exchange &httpExchange, configuration::resource_kind kind, const std::string &name);
    void answerChange(exchange &httpExchange, const configuration::change &change,
                      const configuration::change_view &view);
    void answerOutcome(exchange &httpExchange, const configuration::change &change,
                       const configuration::change_view &view);
    void handleChange(exchange &httpExchange);
    void handleWatch(exchange &httpExchange);
    void answerWatch(exchange &httpExchange, std::uint64_t from);
    void handleInstances(exchange &httpExchange);
    void handleRuns(exchange &httpExchange);
    void settleRun(exchange &httpExchange);

    operator_service &m_service;
    operator_options m_options;
    std::vector<watch> m_watches;
};

} // namespace masticlever::gateway
