#pragma once

#include "fake-call.h"
#include "http-server.h"

#include <QString>

#include <deque>
#include <list>
#include <map>
#include <vector>

/// \file
/// Fake of a model engine or a plain service, with continuous batching, a prefix cache, streaming and fault injection.

namespace masticlever::fakes
{

struct endpoint_options {
    QString stage;
    int slotCount = 8; ///< calls that run concurrently; others queue by priority
    double tokensPerSecond = 0; ///< per call; 0 for a stage that generates no tokens
    int serviceMs = 5; ///< prefill time, or the total service time of a plain stage
    std::size_t prefixCacheSize = 0; ///< number of prefixes
    bool checksFencing = false;
    QByteArray incarnation;
};

class fake_endpoint final : public http_server
{
public:
    explicit fake_endpoint(endpoint_options options) : m_options(std::move(options)) { }

private:
    struct run_record {
        qint64 calls = 0; ///< calls that were not refused
        qint64 fencing = 0; ///< highest fencing number seen
        qint64 running = 0;
        bool isDone = false;
        QJsonObject result;
    };

    void onRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void onAdmin(const QHttpServerRequest &request, QTcpSocket *socket, const QString &action);
    void onStatusQuery(const QHttpServerRequest &request, QTcpSocket *socket);
    void onCall(const QHttpServerRequest &request, QTcpSocket *socket);

    call_request parse(const QHttpServerRequest &request);
    fault nextFault(const QJsonObject &request);
    bool refuseCall(const QHttpServerRequest &request, const call_request &parsed, QTcpSocket *socket);
    void enqueue(const call_request &parsed, QTcpSocket *socket);
    void onFinished(fake_call *call);
    void onClosed(fake_call *call, bool isCancelled);
    void startQueued();
    int prefillMs(const QJsonObject &request);
    header_list commonHeaders() const;
    QJsonObject counters() const;

    endpoint_options m_options;
    std::deque<fake_call *> m_queue;
    std::vector<fake_call *> m_running;
    std::list<QByteArray> m_prefixes; ///< most recently used first
    std::map<QByteArray, run_record> m_runs; ///< by idempotency key
    fault m_fault;
    qint64 m_faultsLeft = 0;
    bool m_isLeaving = false;
    qint64 m_calls = 0;
    qint64 m_finished = 0;
    qint64 m_cancelled = 0;
    qint64 m_inFlight = 0;
    qint64 m_maxInFlight = 0;
};

} // namespace masticlever::fakes
