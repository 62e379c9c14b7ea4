#include <masticlever/http/manager-pool.h>
#include <masticlever/http/single-send.h>

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>

#include <algorithm>
#include <utility>

namespace masticlever::http
{

namespace
{

constexpr std::size_t connectionsPerManager = 6;

} // namespace

struct manager_pool::slot {
    std::size_t inFlight = 0;
    std::unique_ptr<QNetworkAccessManager> manager = std::make_unique<QNetworkAccessManager>();
};

manager_pool::manager_pool(QObject *parent) : QObject(parent) { }

manager_pool::~manager_pool() = default;

QNetworkReply *manager_pool::get(const QNetworkRequest &request)
{
    return start([&](QNetworkAccessManager &manager) { return manager.get(request); });
}

QNetworkReply *manager_pool::put(const QNetworkRequest &request, const QByteArray &body)
{
    return start([&](QNetworkAccessManager &manager) { return manager.put(request, body); });
}

QNetworkReply *manager_pool::send(const QByteArray &method, const QNetworkRequest &request, const QByteArray &body)
{
    return start([&](QNetworkAccessManager &manager) { return manager.sendCustomRequest(request, method, body); });
}

QNetworkReply *manager_pool::postOnce(const QNetworkRequest &request, QByteArray body)
{
    return start([&](QNetworkAccessManager &manager) { return http::postOnce(manager, request, std::move(body)); });
}

std::size_t manager_pool::inFlight() const
{
    std::size_t total = 0;
    for (const auto &each : m_slots) {
        total += each->inFlight;
    }
    return total;
}

manager_pool::slot &manager_pool::freeSlot()
{
    const auto isFree = [](const std::shared_ptr<slot> &each) { return each->inFlight < connectionsPerManager; };
    const auto found = std::find_if(m_slots.begin(), m_slots.end(), isFree);
    if (found != m_slots.end()) {
        return **found;
    }
    m_slots.push_back(std::make_shared<slot>());
    m_slots.back()->manager->setProxy(QNetworkProxy::NoProxy);
    return *m_slots.back();
}

QNetworkReply *manager_pool::start(const std::function<QNetworkReply *(QNetworkAccessManager &)> &begin)
{
    slot &chosen = freeSlot();
    QNetworkReply *reply = begin(*chosen.manager);
    ++chosen.inFlight;
    // A reply counts until its destruction or its end, whichever is first.
    const auto isCounted = std::make_shared<bool>(true);
    const auto release = [&chosen, isCounted] {
        if (std::exchange(*isCounted, false)) {
            --chosen.inFlight;
        }
    };
    connect(reply, &QNetworkReply::finished, this, release);
    connect(reply, &QObject::destroyed, this, release);
    return reply;
}

} // namespace masticlever::http
