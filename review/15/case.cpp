#include "../stand-3/client.h"
#include "../stand-3/deployment.h"
#include "../stand-3/engine.h"

#include <QCoreApplication>
#include <QTimer>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// \file
/// The maker of a stage's inputs crashes while the next engine fetches them for two pieces: the first piece fails, and
/// the input of the second one is gone. No piece may be ordered again with only a part of its inputs.

using namespace review;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t daemons = 3;
constexpr std::size_t retrievers = 6; ///< one of them, a sixth, crashes
constexpr int secondStage = 1;
constexpr std::size_t firstPieces = 2; ///< inputs of each piece of the second stage
constexpr milliseconds checkIn{1200};
constexpr milliseconds propagation{1400}; ///< until all daemons use the entries

std::string stageService(const std::string &name)
{
    return R"({"name":")" + name
        + R"(","health_path":"/healthz","max_conns":540,"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":30,)"
          R"("item_ms":5,"headroom_mb":18,"handle_s":4,"link_mbps":10000}})";
}

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"chat","host":"site.example","path_prefix":"/chat/","kind":"streaming",)"
           R"("timeout_ms":8000,"target_latency_ms":2300,"priority":1,"service":"model","max_attempts":2,)"
           R"("sticky":true,"stages":[{"service":"retrieve","after":[],"bytes":8000},)"
           R"({"service":"rank","after":[0],"bytes":8000}],"resumable":false,"target_gap_ms":300}],)"
           R"("services":[{"name":"model","health_path":"/healthz","max_conns":540,"engine":{"slots":64,)"
           R"("kv_capacity":232000,"stride":3}},)"
        + stageService("retrieve") + "," + stageService("rank")
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
          R"("idle_timeout_ms":15000},"tenants":[{"name":"tenant-1","api_keys":["key-1"]}]})";
}

client_request chat(const std::string &id)
{
    client_request request;
    request.path = "/chat/1";
    request.id = id;
    request.fields = "Pieces: 2,2\r\nPiece-Key: 7c1e07a291bd\r\nModel: m\r\nToken-Counts: 1460,80\r\n"
                     "Prompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\n";
    return request;
}

/// Whether the item names the results of all pieces of the first stage, made for the same request.
bool hasAllInputs(const QJsonObject &item, const result_table &results)
{
    const std::string requestId = item.value(QStringLiteral("id")).toString().toStdString();
    std::set<int> pieces;
    const QJsonArray inputs = item.value(QStringLiteral("inputs")).toArray();
    for (const auto &input : inputs) {
        const stage_result *result = results.findEver(input.toString().toStdString());
        if (result != nullptr && result->requestId == requestId && result->stage == 0) {
            pieces.insert(result->piece);
        }
    }
    return pieces.size() == firstPieces && static_cast<std::size_t>(inputs.size()) == firstPieces;
}

/// Runs the case; returns its exit code.
int play(const std::string &root, record &log, bool hasTrouble)
{
    result_table results;
    engine model("i-model-1", engine::kind::model, "model", results, log);
    engine ranker("i-rank-1", engine::kind::stage, "rank", results, log);
    model.start();
    ranker.start();
    std::vector<std::unique_ptr<engine>> retrieving;
    for (std::size_t i = 1; i <= retrievers; ++i) {
        retrieving.push_back(
            std::make_unique<engine>("i-retrieve-" + std::to_string(i), engine::kind::stage, "retrieve", results, log));
        retrieving.back()->start();
    }
    const auto makerOf = [&](const QJsonArray &items) {
        const auto inputs = items.first().toObject().value(QStringLiteral("inputs")).toArray();
        const stage_result *result = results.find(inputs.first().toString().toStdString());
        const auto found = std::ranges::find_if(
            retrieving, [&](const auto &item) { return result != nullptr && item->id() == result->maker; });
        return found == retrieving.end() ? nullptr : found->get();
    };

    deployment site(root, log, daemons, configuration());
    std::set<std::string> crashed;
    const auto checkInAll = [&] {
        site.store.put("keyed.servers", model.id(), model.entry());
        site.store.put("keyed.servers", ranker.id(), ranker.entry());
        for (const auto &item : retrieving) {
            if (!crashed.contains(item->id())) {
                site.store.put("keyed.servers", item->id(), item->entry());
            }
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
    client probe(site.front(0), chat("0000000000000001"), log);
    probe.wait();
    if (probe.status() != 200) {
        log.add("a request in calm is not served");
        return 2;
    }

    bool crashes = hasTrouble;
    ranker.onAccepted = [&](const exchange_pointer &exchange) {
        const QJsonArray items = engine::itemsOf(exchange);
        engine *maker = items.size() == 2 && crashes ? makerOf(items) : nullptr;
        if (maker == nullptr) {
            return false;
        }
        crashes = false;
        ranker.calls.push_back(items);
        log.add("i-rank-1 is called with " + exchange->body() + " and fetches the inputs of the first piece");
        crashed.insert(maker->id());
        maker->crash();
        ranker.answerStageCall(exchange,
                               {QJsonObject{{QStringLiteral("reason"), QStringLiteral("error")}},
                                QJsonObject{{QStringLiteral("reason"), QStringLiteral("gone")}}});
        return true;
    };
    client disturbed(site.front(0), chat("a0a0a0a0a0a0a0a0"), log);
    disturbed.wait();

    bool isBroken = false;
    for (const QJsonArray &call : ranker.calls) {
        for (const auto &value : call) {
            const QJsonObject item = value.toObject();
            if (item.value(QStringLiteral("stage")).toInt() == secondStage && !hasAllInputs(item, results)) {
                isBroken = true;
                log.add("MIXED: i-rank-1 was asked for piece "
                        + std::to_string(item.value(QStringLiteral("piece")).toInt()) + " of stage 1 of "
                        + item.value(QStringLiteral("id")).toString().toStdString()
                        + " without all results of stage 0");
            }
        }
    }
    if (!hasTrouble && disturbed.status() != 200) {
        log.add("a request was not served without a disruption");
        return 1;
    }
    log.add(isBroken ? "broken" : "held");
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
