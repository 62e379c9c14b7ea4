#include "consumers.h"
#include "engines.h"

#include <QCoreApplication>

#include <random>
#include <set>
#include <string>

/// \file
/// An engine fails part of its orders after it has run them: it answers 503 without Not-Executed. The consumer must not
/// be told that its order has not run.

using namespace review;

namespace
{

constexpr std::size_t daemons = 3;
constexpr std::size_t engines = 7;
constexpr double failedShare = 0.4; ///< of the requests of one engine in seven
constexpr milliseconds length{16000};
constexpr milliseconds faultBegin{4000};
constexpr milliseconds faultEnd{9000};
constexpr milliseconds interval{40}; ///< between orders
constexpr milliseconds limit{4000};

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"order","host":"site.example","path_prefix":"/order/","kind":"unsafe",)"
           R"("timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"public":false}],)"
           R"("services":[{"name":"desk","health_path":"/healthz","max_conns":96}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1",)"
           R"("api_keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]})";
}

verdict play(const std::string &recordPath)
{
    deployment site(recordPath, daemons);
    site.configure(configuration());
    std::mt19937 random(7);
    bool isFaulty = false;
    std::size_t failed = 0;
    std::vector<std::unique_ptr<plain_engine>> desks;
    for (std::size_t i = 0; i < engines; ++i) {
        desks.push_back(std::make_unique<plain_engine>(site, "i-desk" + std::to_string(i + 1), "desk"));
        desks.back()->start();
    }
    desks.front()->statusOf = [&](const std::string &) {
        const bool fails = isFaulty && std::uniform_real_distribution<>(0, 1)(random) < failedShare;
        failed += fails ? 1 : 0;
        return fails ? 503 : 200;
    };
    if (!site.start()) {
        return verdict::not_run;
    }
    attempt_list attempts(site);
    const auto send = [&](std::size_t number, const std::string &order, const std::string &suffix) {
        const std::string id = order + suffix;
        attempts.send(id, order, number % daemons,
                      requestText("POST", "/order/" + order, id, "Deadline-Ms: 4000\r\n", order), limit);
    };
    std::set<std::string> refusedAfterRun; ///< ids
    std::map<std::string, int> runsOfOrders;
    std::size_t sent = 0;
    std::size_t answered = 0;
    const auto startedAt = clock::now();
    waitFor(
        [&] {
            const auto time = clock::now() - startedAt;
            isFaulty = hasTrouble() && time >= faultBegin && time < faultEnd;
            if (time < length && time >= interval * sent) {
                ++sent;
                send(sent, "order" + std::to_string(sent), "-a");
            }
            attempts.collect([&](const attempt &ended) {
                site.record.add("consumer gets " + std::to_string(ended.status()) + " for " + ended.id);
                answered += ended.status() == 200 ? 1 : 0;
                if (ended.status() != 503) {
                    return;
                }
                for (const auto &desk : desks) {
                    if (desk->runs.contains(ended.id)) {
                        refusedAfterRun.insert(ended.id);
                    }
                }
                if (ended.id.ends_with("-a")) { // a consumer repeats an order after 503, which says that it has not run
                    send(ended.daemon + 1, ended.order, "-b");
                }
            });
            return time >= length && attempts.size() == 0;
        },
        length + limit * 2);
    for (const auto &desk : desks) {
        for (const auto &[id, runs] : desk->runs) {
            runsOfOrders[id.substr(0, id.size() - 2)] += runs;
        }
    }
    const auto doubled = std::ranges::count_if(runsOfOrders, [](const auto &item) { return item.second > 1; });
    site.record.add("orders " + std::to_string(sent) + ", answered 200 " + std::to_string(answered)
                    + ", failed by the engine after a run " + std::to_string(failed) + ", refused with 503 though run "
                    + std::to_string(refusedAfterRun.size()) + ", placed twice by consumers that were told so "
                    + std::to_string(doubled));
    if (answered == 0 || (hasTrouble() && failed == 0)) {
        return verdict::not_run;
    }
    return refusedAfterRun.empty() ? verdict::held : verdict::broken;
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    return static_cast<int>(play(argc > 1 ? argv[1] : "record.txt"));
}
