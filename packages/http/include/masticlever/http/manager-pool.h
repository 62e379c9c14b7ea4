#pragma once

#include <QByteArray>
#include <QNetworkRequest>
#include <QObject>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

class QNetworkAccessManager;
class QNetworkReply;

/// \file
/// Sends HTTP requests without QNetworkAccessManager's limit of connections per server.

namespace masticlever::http
{

/// QNetworkAccessManager opens at most six connections to a server and silently queues further requests. The pool
/// gives each manager at most that many requests to a server, so that every request is sent immediately. Each manager
/// has a thread and is used for all servers. Replies belong to the caller, but end when the pool is destroyed.
class manager_pool : public QObject
{
public:
    explicit manager_pool(QObject *parent = nullptr);
    ~manager_pool() override;

    QNetworkReply *get(const QNetworkRequest &request);
    QNetworkReply *put(const QNetworkRequest &request, const QByteArray &body);
    /// Sends an idempotent request with any \p method.
    QNetworkReply *send(const QByteArray &method, const QNetworkRequest &request, const QByteArray &body);
    /// See http::postOnce.
    QNetworkReply *postOnce(const QNetworkRequest &request, QByteArray body);

    std::size_t inFlight() const;

private:
    struct slot;

    slot &slotWithCapacity(const std::string &server);
    QNetworkReply *start(const QNetworkRequest &request,
                         const std::function<QNetworkReply *(QNetworkAccessManager &)> &issueRequest);

    std::vector<std::shared_ptr<slot>> m_slots;
};

} // namespace masticlever::http
