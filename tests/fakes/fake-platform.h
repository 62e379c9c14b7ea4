#pragma once

#include "http-server.h"

#include <QDateTime>
#include <QJsonArray>
#include <QSet>
#include <QString>
#include <QTimer>

#include <deque>
#include <functional>
#include <map>
#include <vector>

/// \file
/// Fake of the platform's log service and instance list, with fault injection.

namespace masticlever::fakes
{

struct platform_options {
    qint64 retentionRecords = 1'000'000;
    qint64 listLagMs = 0;
};

/// Serves the HTTP interface that masticlever/platform/http-platform.h describes, and /admin for the tests.
class fake_platform final : public http_server
{
public:
    explicit fake_platform(platform_options options) : m_options(options) { }

private:
    struct record {
        qint64 offset = 0;
        qint64 appendedAtMs = 0;
        QByteArray payload;
    };

    struct log {
        qint64 head = 1;
        std::deque<record> records;
        qint64 arrived = 0; ///< appends received
        qint64 appends = 0; ///< appends that took effect
        qint64 reads = 0;

        qint64 end() const { return head + static_cast<qint64>(records.size()); }
    };

    struct waiting_read {
        QString log;
        QByteArray client;
        qint64 from = 0;
        qint64 limit = 0;
        qint64 untilMs = 0;
        QPointer<QTcpSocket> socket;
    };

    struct fault_settings {
        bool isLogDown = false;
        bool isListDown = false;
        qint64 answersToLose = 0;
        qint64 lateAppendsMs = 0;
        qint64 appendDelayMs = 0;
        QSet<QByteArray> disconnected;
    };

    struct list_version {
        qint64 atMs = 0;
        std::map<QString, QJsonObject> instances; ///< by incarnation
    };

    void onRequest(const QHttpServerRequest &request, QTcpSocket *socket) override;
    void onLog(const QHttpServerRequest &request, QTcpSocket *socket, const QString &name);
    void onInstances(const QHttpServerRequest &request, QTcpSocket *socket);
    void onTraces(const QHttpServerRequest &request, QTcpSocket *socket);
    void onAdmin(const QHttpServerRequest &request, QTcpSocket *socket, const QString &action);

    void append(const QString &name, const QByteArray &payload, QTcpSocket *socket);
    qint64 store(const QString &name, const QByteArray &payload);
    void read(const waiting_read &query);
    response readResponse(const waiting_read &query);
    void serveWaitingReads();
    void trim(log &target) const;

    void setFaults(const QJsonObject &values);
    std::map<QString, QJsonObject> &newListVersion();
    QJsonArray visibleList() const;
    QJsonObject counters() const;

    platform_options m_options;
    fault_settings m_faults;
    std::map<QString, log> m_logs;
    std::vector<waiting_read> m_waitingReads;
    std::vector<list_version> m_lists;
    QJsonArray m_spans; ///< received by the trace collector
    qint64 m_bytesAppended = 0;
    qint64 m_bytesRead = 0;
};

} // namespace masticlever::fakes
