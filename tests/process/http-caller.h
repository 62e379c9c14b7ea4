#pragma once

#include "program.h"

#include <masticlever/http/manager-pool.h>

#include <QByteArray>
#include <QJsonObject>
#include <QList>
#include <QNetworkReply>
#include <QPair>
#include <QPointer>
#include <QString>

#include <memory>
#include <vector>

/// \file
/// HTTP client of the tests, for sequential and concurrent requests.

namespace masticlever::process
{

using header_list = QList<QPair<QByteArray, QByteArray>>;

struct stream_event {
    QByteArray name;
    QJsonObject data;
};

/// A request in flight and the part of its answer that has arrived.
class http_call
{
public:
    explicit http_call(QNetworkReply *reply);
    http_call(const http_call &) = delete;
    http_call &operator=(const http_call &) = delete;
    ~http_call();

    bool isDone() const { return m_isDone; }
    /// Whether the answer arrived in full, whatever its status.
    bool isComplete() const { return m_isComplete; }
    int status() const { return m_status; }
    QByteArray header(const char *name) const;
    const QByteArray &body() const { return m_body; }
    QJsonObject json() const;
    /// Server-sent events that have arrived completely.
    std::vector<stream_event> events() const;
    void abort();

private:
    void onFinished();

    QPointer<QNetworkReply> m_reply;
    QByteArray m_body;
    int m_status = 0;
    bool m_isDone = false;
    bool m_isComplete = false;
    QList<QPair<QByteArray, QByteArray>> m_headers;
};

using http_call_ptr = std::shared_ptr<http_call>;

class http_caller
{
public:
    http_call_ptr send(const QByteArray &method, const QString &address, const QString &target,
                       const QByteArray &body = {}, const header_list &headers = {});
    /// Waits for the end of the answer.
    http_call_ptr request(const QByteArray &method, const QString &address, const QString &target,
                          const QByteArray &body = {}, const header_list &headers = {});

private:
    http::manager_pool m_pool;
};

bool waitForAll(const std::vector<http_call_ptr> &calls, std::chrono::milliseconds timeout = defaultTimeout);

QByteArray toJson(const QJsonObject &object);

} // namespace masticlever::process
