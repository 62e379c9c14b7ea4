#include "soak-fleet.h"

#include "site-caller.h"
#include "site-endpoint.h"
#include "site-store.h"

#include "site-configuration.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

#include <cstdio>
#include <string>

/// \file
/// `scripts/demo --platform`: starts three daemon processes and stand-ins of the users' platform, then sends each
/// daemon a streaming request with stages, and the first one an order.

using namespace masticlever;
using site::site_caller;
using site::site_endpoint;

namespace
{

constexpr int timeoutMs = 20000;
constexpr std::size_t daemons = 3;

/// Repeats the request until it gets a complete 200 answer; returns false on timeout.
bool sendRequest(const std::string &front, const std::string &request)
{
    QElapsedTimer timer;
    timer.start();
    while (timer.elapsed() < timeoutMs) {
        site_caller caller(front);
        caller.send(request);
        while (timer.elapsed() < timeoutMs && caller.completeAnswers == 0 && !caller.isClosed) {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
        }
        if (caller.completeAnswers > 0 && caller.heads[0].status == 200) {
            std::printf("%s answers:\n%s\n", front.c_str(), caller.bodies[0].c_str());
            return true;
        }
    }
    return false;
}

std::string request(const std::string &path, const std::string &id, const std::string &fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\n" + fields + "Content-Length: 2\r\n\r\nhi";
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    site::site_store store;
    const std::string storeAddress = store.start();
    store.put("keyed.op", "config", site::demoConfiguration());
    using kind = site_endpoint::kind;
    site_endpoint desk("desk-1", kind::plain, "desk", "west");
    site_endpoint model("model-1", kind::model, "model", "west");
    site_endpoint encoder("encode-1", kind::stage, "encode", "west");
    site_endpoint ranker("rank-1", kind::stage, "rank", "west");
    for (site_endpoint *endpoint : {&desk, &model, &encoder, &ranker}) {
        endpoint->start();
        store.put("keyed.servers", endpoint->id(), endpoint->registration());
    }
    soak::soak_fleet fleet(QCoreApplication::applicationDirPath() + QStringLiteral("/masticleverd"), daemons,
                           storeAddress);
    bool isServed = true;
    for (std::size_t i = 0; i < daemons; ++i) {
        const std::string id = "chat-" + std::to_string(i + 1);
        isServed = isServed
            && sendRequest(fleet.frontAddressOf(i), request("/chat/", id, "Pieces: 2,3\r\nPiece-Key: lot-7\r\n"));
    }
    isServed = isServed && sendRequest(fleet.frontAddressOf(0), request("/order/", "order-1", ""));
    std::printf("calls for stage results: %zu and %zu; the order ran %d time(s)\n", encoder.calls.size(),
                ranker.calls.size(), desk.runs["order-1"]);
    return isServed && desk.runs["order-1"] == 1 ? 0 : 1;
}
