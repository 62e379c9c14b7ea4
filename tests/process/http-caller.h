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
/// HTTP requests of a test, one after another or side by side.

namespace masticlever::process
{

using header_list = QList<QPair<QByteArray, QByteArray>>;

struct stream_event {
    QByteArray name;
    QJsonObject data;
};

/// A request under way, and its answer as it arrives.
class http_call
{
public:
    explicit http_call(QNetworkReply *reply);
    http_call(const http_call &) = delete;
    http_call &operator=(const http_call &) = delete;
    ~http_call();

    bool isDone() const { return m_isDone; }
    /// The answer came in full, whatever its status.
    bool isWhole() const { return m_isWhole; }
    int status() const { return m_status; }
    QByteArray header(const char *name) const;
    const QByteArray &body() const { return m_body; }
    QJsonObject json() const;
    /// Server-sent events that have arrived in full.
    std::vector<stream_event> events() const;
    void hangUp();

private:
    void onFinished();

    QPointer<QNetworkReply> m_reply;
    QByteArray m_body;
    int m_status = 0;
    bool m_isDone = false;
    bool m_isWhole = false;
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

bool waitForAll(const std::vector<http_call_ptr> &calls, std::chrono::milliseconds limit = generousLimit);

QByteArray toJson(const QJsonObject &object);

} // namespace masticlever::process
