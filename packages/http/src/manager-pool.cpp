#include <masticlever/http/manager-pool.h>
#include <masticlever/http/single-send.h>

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>

#include <QUrl>

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>

namespace masticlever::http
{

namespace
{

constexpr std::size_t connectionsPerManager = 6;

} // namespace

struct manager_pool::slot {
    std::unordered_map<std::string, std::size_t> inFlight; ///< by server
    std::unique_ptr<QNetworkAccessManager> manager = std::make_unique<QNetworkAccessManager>();
};

manager_pool::manager_pool(QObject *parent) : QObject(parent) { }

manager_pool::~manager_pool() = default;

QNetworkReply *manager_pool::get(const QNetworkRequest &request)
{
    return start(request, [&](QNetworkAccessManager &manager) { return manager.get(request); });
}

QNetworkReply *manager_pool::put(const QNetworkRequest &request, const QByteArray &body)
{
    return start(request, [&](QNetworkAccessManager &manager) { return manager.put(request, body); });
}

QNetworkReply *manager_pool::send(const QByteArray &method, const QNetworkRequest &request, const QByteArray &body)
{
    return start(request,
                 [&](QNetworkAccessManager &manager) { return manager.sendCustomRequest(request, method, body); });
}

QNetworkReply *manager_pool::postOnce(const QNetworkRequest &request, QByteArray body)
{
    return start(request,
                 [&](QNetworkAccessManager &manager) { return http::postOnce(manager, request, std::move(body)); });
}

std::size_t manager_pool::inFlight() const
{
    std::size_t total = 0;
    for (const auto &each : m_slots) {
        for (const auto &[server, requests] : each->inFlight) {
            total += requests;
        }
    }
    return total;
}

manager_pool::slot &manager_pool::slotWithCapacity(const std::string &server)
{
    const auto isFree = [&](const std::shared_ptr<slot> &each) {
        const auto count = each->inFlight.find(server);
        return count == each->inFlight.end() || count->second < connectionsPerManager;
    };
    const auto found = std::find_if(m_slots.begin(), m_slots.end(), isFree);
    if (found != m_slots.end()) {
        return **found;
    }
    m_slots.push_back(std::make_shared<slot>());
    m_slots.back()->manager->setProxy(QNetworkProxy::NoProxy);
    return *m_slots.back();
}

QNetworkReply *manager_pool::start(const QNetworkRequest &request,
                                   const std::function<QNetworkReply *(QNetworkAccessManager &)> &issueRequest)
{
    const std::string server = request.url().authority().toStdString();
    slot &chosen = slotWithCapacity(server);
    QNetworkReply *reply = issueRequest(*chosen.manager);
    ++chosen.inFlight[server];
    // A reply counts as in flight until it finishes or is destroyed, whichever comes first.
    const auto isCounted = std::make_shared<bool>(true);
    const auto release = [&chosen, isCounted, server] {
        if (std::exchange(*isCounted, false)) {
            const auto count = chosen.inFlight.find(server);
            if (--count->second == 0) {
                chosen.inFlight.erase(count);
            }
        }
    };
    connect(reply, &QNetworkReply::finished, this, release);
    connect(reply, &QObject::destroyed, this, release);
    return reply;
}

} // namespace masticlever::http
