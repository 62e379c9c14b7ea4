#include "../../tests/site/site-caller.h"
#include "../../tests/site/site-server.h"
#include "../../tests/site/site-store.h"
#include "../stand-2/deployment.h"
#include "../stand-2/record.h"

#include <masticlever/http1/message.h>

#include <QCoreApplication>
#include <QTimer>

#include <set>
#include <string>
#include <utility>
#include <vector>

/// \file
/// A configuration takes the last tenant away. Requests with its key, and with a key that never was in any
/// configuration, are sent before and after.

using namespace masticlever;
using review::trial_record;
using site::exchange_pointer;

namespace
{

constexpr int heartbeatMs = 1200;
constexpr int applyMs = 2000; ///< config_apply_ms of the small deployments
constexpr int marginMs = 1000;

std::string registration(const std::string &address, int sequence)
{
    return R"({"service":"desk","addr":")" + address
        + R"(","zone":"zone-1","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":)"
        + std::to_string(sequence) + R"(,"born":1796500000000})";
}

/// The engine of the order desk. It runs every request that is meant for it.
class desk_engine
{
public:
    explicit desk_engine(trial_record &record)
        : m_record(record), m_server([this](const exchange_pointer &exchange) { onRequest(exchange); }),
          m_address(m_server.listen())
    { }

    const std::string &address() const { return m_address; }
    bool hasRun(const std::string &requestId) const { return m_runs.contains(requestId); }

private:
    void onRequest(const exchange_pointer &exchange)
    {
        const std::string requestId = exchange->field("Request-Id");
        std::vector<http1::header_field> fields{{"Request-Id", requestId}, {"Keep-Alive", "timeout=5"}};
        if (exchange->field("Expect-Instance") != "desk-1") {
            exchange->answer(421, "", fields);
            return;
        }
        m_runs.insert(requestId);
        m_record.add("desk-1 runs " + requestId + ", Tenant: " + exchange->field("Tenant"));
        fields.push_back({"Server-Signature", "3e1b." + requestId});
        exchange->answer(200, "order " + requestId, fields);
    }

    trial_record &m_record;
    site::site_server m_server;
    std::string m_address;
    std::set<std::string> m_runs;
};

std::string configuration(int version, const std::string &tenants)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"orders","host":"desk.example","path_prefix":"/orders/","kind":"unsafe",)"
          R"("service":"desk","max_attempts":1,"timeout_ms":2000,"target_latency_ms":300,"priority":2,"public":false}],)"
          R"("services":[{"name":"desk","health_path":"/healthz","max_conns":96}],"limits":{"max_header_bytes":16384,)"
          R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)"
        + tenants + "]}";
}

/// Sends an order with the key and returns the status of its answer; 0 if there is none.
int sendOrder(const std::string &front, const std::string &requestId, const std::string &key)
{
    site::site_caller caller(front);
    caller.send("POST /orders/new HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + requestId
                + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 2\r\n\r\nhi");
    review::runUntil([&] { return caller.completeAnswers > 0 || caller.isClosed; }, 4000);
    return caller.completeAnswers > 0 ? caller.heads[0].status : 0;
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    if (argc < 3) {
        return review::couldNotRun;
    }
    trial_record record(argv[2]);
    site::site_store store;
    const std::string storeAddress = store.start();
    desk_engine desk(record);
    const std::string tenant = R"({"name":"hawick","api_keys":["key-of-hawick"]})";
    store.put("keyed.op", "config", configuration(3, tenant));
    int sequence = 0;
    const auto beat = [&] { store.put("keyed.servers", "desk-1", registration(desk.address(), ++sequence)); };
    beat();
    QTimer heartbeat;
    QObject::connect(&heartbeat, &QTimer::timeout, &heartbeat, beat);
    heartbeat.start(heartbeatMs);

    review::deployment daemons(QString::fromLocal8Bit(argv[1]), 3, storeAddress);
    if (!daemons.waitUntilReady(20000)) {
        record.add("the daemons do not become ready");
        return review::couldNotRun;
    }
    review::runFor(1000);
    const auto sendAll = [&](const std::string &phase) {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            for (const std::string &key : {std::string("key-of-hawick"), std::string("key-of-nobody")}) {
                const std::string requestId = phase + "-" + std::to_string(i + 1) + "-" + key;
                const int status = sendOrder(daemons.frontOf(i), requestId, key);
                record.add(requestId + " at daemon " + std::to_string(i + 1) + " gets " + std::to_string(status));
                if (key == "key-of-nobody" && desk.hasRun(requestId)) {
                    record.addViolation("ROUTE: " + requestId + " runs, and no configuration ever held its key");
                } else if (phase == "after" && review::hasTrouble() && desk.hasRun(requestId)) {
                    record.addViolation("CONFIG: " + requestId + " runs with a dropped key");
                }
            }
        }
    };
    sendAll("before");
    if (!desk.hasRun("before-1-key-of-hawick")) {
        return review::couldNotRun;
    }
    record.add(review::hasTrouble() ? "the operator writes version 4, which takes the last tenant away"
                                    : "the operator writes version 4, which changes nothing else");
    store.put("keyed.op", "config", configuration(4, review::hasTrouble() ? std::string() : tenant));
    review::runFor(applyMs + marginMs);
    sendAll("after");
    record.add(std::to_string(record.violations()) + " violations");
    return record.violations() > 0 ? review::ruleBroken : review::ruleHeld;
}
