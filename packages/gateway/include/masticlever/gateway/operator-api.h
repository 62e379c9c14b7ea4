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
/// Operators' interface: resources, changes, instances and runs in doubt.

namespace masticlever::gateway
{

/// An entry instance as operators see it.
struct instance_status {
    std::string name;
    std::string incarnation;
    std::string dataCentre;
    std::string address; ///< of its HTTP service; empty while not known
    bool leaving = false;
    bool logReachable = true;
    std::uint64_t configurationOffset = 0;
};

struct doubtful_run {
    common::run_key key;
    std::string pipeline;
    std::string stage;
    std::string owner; ///< incarnation
    common::wall_time since;
    bool hasStatusQuery = false; ///< the endpoints are asked again and again
};

enum class settle_outcome { accepted, not_in_doubt, log_unreachable };

/// What the operators' interface needs of the instance.
class operator_service
{
public:
    using change_handler = std::function<void(const configuration::change_view &)>;

    virtual ~operator_service() = default;
    virtual configuration::snapshot_ptr configuration() const = 0;
    virtual bool isReady() const = 0;
    virtual void submitChange(const configuration::change &what, change_handler done) = 0;
    virtual configuration::change_outcome checkChange(const configuration::change &what) const = 0;
    virtual std::optional<configuration::change_view> findChange(const std::string &id) const = 0;
    virtual std::vector<instance_status> instances() const = 0;
    virtual const std::string &instanceName() const = 0;
    /// Instances are reached over TLS.
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

    /// False when the path is not one of operators.
    bool handle(exchange &one);
    /// False after a problem was answered: the token may not read, or not change.
    bool authorize(exchange &one, bool changes) const;
    /// Answers the watches that wait for a newer configuration.
    void onConfigurationChanged();

private:
    struct watch {
        QPointer<exchange> one;
        std::uint64_t from = 0;
    };

    void handleResources(exchange &one);
    void listResources(exchange &one, configuration::resource_kind kind);
    void readResource(exchange &one, configuration::resource_kind kind, const std::string &name);
    void changeResource(exchange &one, configuration::resource_kind kind, const std::string &name);
    void answerChange(exchange &one, const configuration::change &what, const configuration::change_view &view);
    void answerOutcome(exchange &one, const configuration::change &what, const configuration::change_view &view);
    void handleChange(exchange &one);
    void handleWatch(exchange &one);
    void answerWatch(exchange &one, std::uint64_t from);
    void handleInstances(exchange &one);
    void handleRuns(exchange &one);
    void settleRun(exchange &one);

    operator_service &m_service;
    operator_options m_options;
    std::vector<watch> m_watches;
};

} // namespace masticlever::gateway
