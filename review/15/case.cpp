#include "../stand-3/client.h"
#include "../stand-3/deployment.h"
#include "../stand-3/engine.h"

#include <QCoreApplication>
#include <QTimer>

#include <cstdlib>
#include <exception>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// \file
/// A version of the configuration raises `max_body_bytes`. Clients that keep their channels then send orders within the
/// new limit.

using namespace review;
using masticlever::site::site_caller;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t daemons = 3;
constexpr std::size_t channelsPerDaemon = 8;
constexpr std::size_t smallLimit = 65536;
constexpr std::size_t largeLimit = 4194304;
constexpr std::size_t smallBody = 600;
constexpr std::size_t largeBody = 100000;
constexpr std::size_t allowedDenials = 5; ///< of DENIED; besides, one in 500 of all requests
constexpr std::size_t requestsPerDenial = 500;
constexpr milliseconds checkIn{1200};
constexpr milliseconds propagation{1400}; ///< until all daemons use the entries
constexpr milliseconds configApply{2000}; ///< config_apply_ms
constexpr milliseconds timeLimit{4000};

std::string configuration(int version, std::size_t bodyLimit)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"order","host":"site.example","path_prefix":"/order/","kind":"unsafe",)"
          R"("timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1}],)"
          R"("services":[{"name":"desk","health_path":"/healthz","max_conns":96}],)"
          R"("limits":{"max_header_bytes":16384,"max_body_bytes":)"
        + std::to_string(bodyLimit)
        + R"(,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
          R"("tenants":[{"name":"tenant-1","api_keys":["key-1"]}]})";
}

/// A channel that a client keeps for several orders.
struct kept_channel {
    kept_channel(const std::string &front, std::string channelName) : caller(front), name(std::move(channelName)) { }

    site_caller caller;
    std::string name;
    std::size_t sent = 0;
};

std::string order(const std::string &id, std::size_t bodyBytes)
{
    return "POST /order/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
        + std::to_string(timeLimit.count()) + "\r\nAuthorization: Bearer key-1\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
}

/// Sends one order on each channel and returns the number of answers with each status of interest.
struct order_results {
    std::size_t served = 0;
    std::size_t denied = 0; ///< a 4xx other than 408, 421 and 429
};

order_results sendOrders(std::vector<std::unique_ptr<kept_channel>> &channels, std::size_t bodyBytes, record &log)
{
    for (const auto &channel : channels) {
        const std::string id = channel->name + std::to_string(++channel->sent);
        log.add("client sends " + id + " with a body of " + std::to_string(bodyBytes) + " bytes");
        channel->caller.send(order(id, bodyBytes));
    }
    waitFor(
        [&] {
            std::size_t done = 0;
            for (const auto &channel : channels) {
                done += channel->caller.completeAnswers >= channel->sent || channel->caller.isClosed ? 1 : 0;
            }
            return done == channels.size();
        },
        timeLimit);
    order_results results;
    for (const auto &channel : channels) {
        const bool isAnswered = channel->caller.completeAnswers == channel->sent;
        const int status = isAnswered ? channel->caller.heads.back().status : 0;
        const bool isFromEngine = isAnswered && channel->caller.heads.back().find("Server-Signature") != nullptr;
        log.add("answer to " + channel->name + std::to_string(channel->sent) + ": " + std::to_string(status));
        results.served += status == 200 ? 1 : 0;
        const bool isExcepted = status == 408 || status == 421 || status == 429;
        results.denied += status >= 300 && status < 500 && !isExcepted && !isFromEngine ? 1 : 0;
    }
    return results;
}

std::vector<std::unique_ptr<kept_channel>> openChannels(const deployment &site, char prefix)
{
    std::vector<std::unique_ptr<kept_channel>> channels;
    for (std::size_t i = 0; i < daemons * channelsPerDaemon; ++i) {
        channels.push_back(
            std::make_unique<kept_channel>(site.front(i % daemons), prefix + std::to_string(100 + i) + "-"));
    }
    return channels;
}

/// Runs the case; returns its exit code.
int play(const std::string &root, record &log, bool hasTrouble)
{
    result_table results;
    std::vector<std::unique_ptr<engine>> desks;
    for (int i = 1; i <= 3; ++i) {
        desks.push_back(
            std::make_unique<engine>("i-desk-" + std::to_string(i), engine::kind::plain, "desk", results, log));
        desks.back()->start();
    }
    deployment site(root, log, daemons, configuration(1, hasTrouble ? smallLimit : largeLimit));
    const auto checkInAll = [&] {
        for (const auto &item : desks) {
            site.store.put("keyed.servers", item->id(), item->entry());
        }
    };
    checkInAll();
    QTimer checkIns;
    QObject::connect(&checkIns, &QTimer::timeout, &checkIns, checkInAll);
    checkIns.start(checkIn);
    if (!site.waitReady()) {
        log.add("the daemons are not ready");
        return 2;
    }
    pause(propagation);
    auto kept = openChannels(site, 'k');
    if (sendOrders(kept, smallBody, log).served != kept.size()) {
        log.add("an order in calm is not served");
        return 2;
    }
    if (hasTrouble) {
        site.configure(configuration(2, largeLimit));
    }
    pause(configApply + propagation);
    log.add("orders on new channels");
    auto fresh = openChannels(site, 'n');
    const order_results onNew = sendOrders(fresh, largeBody, log);
    log.add("orders on kept channels");
    const order_results onKept = sendOrders(kept, largeBody, log);
    const std::size_t requests = 2 * kept.size() + fresh.size();
    const std::size_t denied = onNew.denied + onKept.denied;
    log.add("denied: " + std::to_string(onNew.denied) + " of " + std::to_string(fresh.size()) + " on new channels, "
            + std::to_string(onKept.denied) + " of " + std::to_string(kept.size()) + " on kept ones");
    const bool isBroken = denied > allowedDenials + requests / requestsPerDenial;
    if (!hasTrouble && (onNew.served != fresh.size() || onKept.served != kept.size())) {
        log.add("an order was not served without a disruption");
        return 1;
    }
    log.add(isBroken ? "broken: DENIED" : "held");
    return isBroken ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    if (argc != 3) {
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    record log(std::string(argv[2]) + "/record.txt");
    try {
        return play(argv[1], log, trouble == nullptr || std::string(trouble) != "0");
    } catch (const std::exception &failure) {
        log.add(failure.what());
        return 2;
    }
}
