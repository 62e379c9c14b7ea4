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
/// Requests to servers without the access manager's limit of connections.

namespace masticlever::http
{

/// QNetworkAccessManager opens six connections to a server and holds further requests back unseen. The pool gives
/// each manager at most that many requests to a server, so that every request begins at once. Managers, each of which
/// has a thread, serve all servers. Replies belong to the caller, but end with the pool.
class manager_pool : public QObject
{
public:
    explicit manager_pool(QObject *parent = nullptr);
    ~manager_pool() override;

    QNetworkReply *get(const QNetworkRequest &request);
    QNetworkReply *put(const QNetworkRequest &request, const QByteArray &body);
    /// An idempotent request of any \p method.
    QNetworkReply *send(const QByteArray &method, const QNetworkRequest &request, const QByteArray &body);
    /// See http::postOnce.
    QNetworkReply *postOnce(const QNetworkRequest &request, QByteArray body);

    std::size_t inFlight() const;

private:
    struct slot;

    slot &freeSlot(const std::string &server);
    QNetworkReply *start(const QNetworkRequest &request,
                         const std::function<QNetworkReply *(QNetworkAccessManager &)> &begin);

    std::vector<std::shared_ptr<slot>> m_slots;
};

} // namespace masticlever::http
