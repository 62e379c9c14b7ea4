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
/// A small fleet on loopback: one fake platform, daemons, fake endpoints, and the resources that name them.

namespace masticlever::process
{

/// Bearer tokens that the fleet's settings and teams accept.
extern const QByteArray operatorToken;
extern const QByteArray teamToken; ///< of team "hawick"
extern const QByteArray otherTeamToken; ///< of team "selkirk"

/// A fresh UUIDv7.
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

    /// Starts another process in place of daemon \p index, which has ended; its incarnation is new.
    void restartDaemon(std::size_t index);
    bool waitUntilReady(std::size_t index);
    bool waitUntilReady();
    /// Whether daemon \p index has heard from every daemon that it has applied \p offset of the configuration.
    bool seesFleetAt(std::size_t index, qint64 offset);

    /// Adds an endpoint process and lists it with the platform; it serves only after a resource names it.
    program &startEndpoint(const QString &name, const QString &stage, const QStringList &options = {});
    /// Declares the endpoint resource of a started endpoint.
    http_call_ptr declareEndpoint(const QString &name, const QString &pool, bool isFencing = false);

    /// Writes a resource through daemon \p index; \p version is the one expected, 0 for a new resource.
    http_call_ptr put(const QString &kind, const QString &name, const QJsonObject &spec, std::size_t index = 0,
                      qint64 version = 0);
    /// The same without waiting for the answer.
    http_call_ptr beginPut(const QString &kind, const QString &name, const QJsonObject &spec, std::size_t index,
                           qint64 version);
    http_call_ptr operate(const QByteArray &method, const QString &target, std::size_t index = 0,
                          const QByteArray &body = {}, const header_list &headers = {});

    /// A caller's request to daemon \p index.
    http_call_ptr send(std::size_t index, const QString &pipeline, const QJsonObject &body,
                       const caller_options &options = {});
    /// The same, waiting for the end.
    http_call_ptr run(std::size_t index, const QString &pipeline, const QJsonObject &body,
                      const caller_options &options = {});
    /// GET /v1/runs/{key}.
    http_call_ptr runStatus(std::size_t index, const QByteArray &key, const QByteArray &token = teamToken);

    void knobs(const QJsonObject &values);
    void fault(const QString &endpoint, const QString &mode, int count, int delayMs = 2'000, int tokens = 3);
    QJsonObject counters(const QString &endpoint);
    /// Calls of all endpoints under the run's key, whichever the team and stage.
    int callsOf(const QByteArray &key);
    /// Waits until the endpoint has a call in flight.
    bool waitUntilBusy(const QString &endpoint);
    /// Appends to \p log that have reached the platform, in effect or not yet.
    int appendsArrived(const QString &log);

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
    int m_started = 0;
};

class fleet_builder
{
public:
    fleet_builder &daemons(std::size_t count);
    /// \p key is "section/key".
    fleet_builder &setting(const QString &key, const QString &value);
    fleet_builder &platformOption(const QString &option, const QString &value);
    /// An endpoint of pool \p stage, which its resource names.
    fleet_builder &endpoint(const QString &name, const QString &stage, const QStringList &options = {});
    fleet_builder &pipeline(const QString &name, const QJsonObject &spec);

    /// Starts all, declares both teams, the pipelines and endpoints, and waits until every daemon is ready and has
    /// them in force. Throws std::runtime_error with the output of the program that fails.
    std::unique_ptr<fleet> start();

private:
    struct endpoint_plan {
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
    std::vector<endpoint_plan> m_endpoints;
    std::map<QString, QJsonObject> m_pipelines;
};

/// Stage of a pipeline; its pool has the same name.
QJsonObject stage(const QString &name, const QJsonObject &extra = {});
QJsonObject pipelineOf(const std::vector<QJsonObject> &stages, const QJsonObject &extra = {});

} // namespace masticlever::process
