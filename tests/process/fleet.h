#pragma once

#include "http-caller.h"
#include "program.h"

#include <QByteArray>
#include <QHash>
#include <QJsonObject>
#include <QMap>
#include <QString>
#include <QTemporaryDir>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// \file
/// A small fleet on loopback: one fake platform, daemons, fake endpoints, and the resources that declare them.

namespace masticlever::process
{

/// Bearer tokens accepted by the fleet's settings and teams.
extern const QByteArray operatorToken;
extern const QByteArray teamToken; ///< of team "hawick"
extern const QByteArray otherTeamToken; ///< of team "selkirk"

/// Returns a new UUIDv7, to be used as an idempotency key.
QByteArray newKey();

struct caller_options {
    QByteArray key = newKey();
    QByteArray token = teamToken;
    bool stream = false;
    int deadlineMs = 10'000;
};

class fleet
{
public:
    program &platform() { return *m_platform; }
    std::size_t size() const { return m_daemons.size(); }
    program &daemon(std::size_t index) { return *m_daemons.at(index); }
    program &endpoint(const QString &name) { return *m_endpoints.at(name); }

    /// Starts a new process for daemon \p index, which must have ended. It gets a new incarnation.
    void restartDaemon(std::size_t index);
    bool waitUntilReady(std::size_t index);
    bool waitUntilReady();
    /// Whether daemon \p index knows of every daemon that it has applied \p offset of the configuration.
    bool seesAllInstancesAt(std::size_t index, qint64 offset);

    /// Starts an endpoint process and registers it with the platform. It gets calls only once a resource declares it.
    program &startEndpoint(const QString &name, const QString &stage, const QStringList &options = {});
    /// Creates the endpoint resource of a started endpoint.
    http_call_ptr declareEndpoint(const QString &name, const QString &pool, bool isFencing = false);

    /// Writes a resource through daemon \p index. \p version is the expected version, 0 for a new resource.
    http_call_ptr put(const QString &kind, const QString &name, const QJsonObject &spec, std::size_t index = 0,
                      qint64 version = 0);
    /// Like put(), but doesn't wait for the answer.
    http_call_ptr startPut(const QString &kind, const QString &name, const QJsonObject &spec, std::size_t index,
                           qint64 version);
    http_call_ptr operatorRequest(const QByteArray &method, const QString &target, std::size_t index = 0,
                                  const QByteArray &body = {}, const header_list &headers = {});

    /// Sends a caller's request to daemon \p index.
    http_call_ptr send(std::size_t index, const QString &pipeline, const QJsonObject &body,
                       const caller_options &options = {});
    /// Like send(), but waits for the end of the answer.
    http_call_ptr run(std::size_t index, const QString &pipeline, const QJsonObject &body,
                      const caller_options &options = {});
    /// GET /v1/runs/{key}.
    http_call_ptr runStatus(std::size_t index, const QByteArray &key, const QByteArray &token = teamToken);

    void setPlatformFaults(const QJsonObject &values);
    void injectFault(const QString &endpoint, const QString &mode, int count, int delayMs = 2'000, int tokens = 3);
    QJsonObject counters(const QString &endpoint);
    /// Number of calls with the run's key at all endpoints, regardless of team and stage.
    int countCalls(const QByteArray &key);
    /// Waits until the endpoint has a call in flight.
    bool waitUntilBusy(const QString &endpoint);
    /// Number of appends to \p log that the platform has received, whether or not they have taken effect.
    int receivedAppends(const QString &log);

    http_caller &http() { return m_http; }

private:
    friend class fleet_builder;

    QStringList writeSettings(std::size_t index);
    void startDaemon(std::size_t index);

    http_caller m_http;
    QTemporaryDir m_folder;
    std::map<QString, QString> m_settings; ///< "section/key" to value
    std::unique_ptr<program> m_platform;
    std::vector<std::unique_ptr<program>> m_daemons;
    std::map<QString, std::unique_ptr<program>> m_endpoints;
    int m_startedDaemons = 0;
};

class fleet_builder
{
public:
    fleet_builder &daemons(std::size_t count);
    /// \p key is "section/key".
    fleet_builder &setting(const QString &key, const QString &value);
    fleet_builder &platformOption(const QString &option, const QString &value);
    /// Adds an endpoint to pool \p stage and declares its resource.
    fleet_builder &endpoint(const QString &name, const QString &stage, const QStringList &options = {});
    fleet_builder &pipeline(const QString &name, const QJsonObject &spec);

    /// Starts all programs, declares both teams, the pipelines and endpoints, and waits until every daemon is ready and
    /// has applied them. Throws std::runtime_error with the output of the program that fails.
    std::unique_ptr<fleet> start();

private:
    struct endpoint_definition {
        QString name;
        QString stage;
        QStringList options;
    };

    void startPrograms(fleet &target) const;
    void declare(fleet &target) const;
    qint64 resourceCount() const;

    std::size_t m_daemons = 3;
    std::map<QString, QString> m_settings;
    QStringList m_platformOptions;
    std::vector<endpoint_definition> m_endpoints;
    std::map<QString, QJsonObject> m_pipelines;
};

/// Spec of a pipeline stage whose pool has the same name.
QJsonObject stage(const QString &name, const QJsonObject &extra = {});
QJsonObject pipelineOf(const std::vector<QJsonObject> &stages, const QJsonObject &extra = {});

} // namespace masticlever::process
