#include "consumers.h"
#include "engines.h"

#include <QCoreApplication>

#include <random>
#include <string>

/// \file
/// Model engines crash in the middle of streams while a stage engine fails part of its pieces. Whatever the consumer
/// receives must be an answer in the protocol.

using namespace review;

namespace
{

constexpr std::size_t daemons = 3;
constexpr std::size_t modelEngines = 6;
constexpr std::size_t stageEngines = 3;
constexpr double failedShare = 0.45; ///< of the pieces of one stage engine
constexpr milliseconds interval{30}; ///< between requests
constexpr milliseconds length{70000};
constexpr milliseconds cycle{8000}; ///< the stage engine fails pieces at its begin, then a model engine crashes
constexpr milliseconds failingLength{6500};
constexpr milliseconds crashAt{4500}; ///< since the begin of the cycle
constexpr milliseconds crashLength{2500};
constexpr milliseconds limit{15000};

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"chat","host":"site.example","path_prefix":"/chat/","kind":"streaming",)"
           R"("timeout_ms":15000,"target_latency_ms":910,"priority":2,"service":"model","max_attempts":2,)"
           R"("stages":[{"service":"accounts","after":[],"bytes":15000}],"public":false,"sticky":true,)"
           R"("resumable":true,"target_gap_ms":300}],"services":[{"name":"model","health_path":"/healthz",)"
           R"("max_conns":540,"engine":{"slots":64,"kv_capacity":232000,"stride":3}},{"name":"accounts",)"
           R"("health_path":"/healthz","max_conns":540,"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":200,)"
           R"("item_ms":21,"headroom_mb":18,"handle_s":4,"link_mbps":10000}}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1",)"
           R"("api_keys":["9dnn2ctnfzs989anu6ws"],"priority":2}]})";
}

verdict play(const std::string &recordPath)
{
    deployment site(recordPath, daemons);
    result_table results;
    site.configure(configuration());
    std::mt19937 random(std::random_device{}());
    std::vector<std::unique_ptr<model_engine>> models;
    for (std::size_t i = 0; i < modelEngines; ++i) {
        models.push_back(std::make_unique<model_engine>(site, "i-model" + std::to_string(i + 1), "model", results));
        models.back()->events = 93;
        models.back()->eventInterval = milliseconds(70);
        models.back()->start();
    }
    std::vector<std::unique_ptr<stage_engine>> accounts;
    for (std::size_t i = 0; i < stageEngines; ++i) {
        stage_limits limits;
        if (i == 0) { // engines of one service differ in speed
            limits.callTime /= 2;
            limits.pieceTime /= 2;
        }
        accounts.push_back(
            std::make_unique<stage_engine>(site, "i-accounts" + std::to_string(i + 1), "accounts", limits, results));
        accounts.back()->start();
    }
    if (!site.start()) {
        return verdict::not_run;
    }
    bool isFailing = false;
    accounts.front()->failsPieces
        = [&] { return isFailing && std::uniform_real_distribution<>(0, 1)(random) < failedShare; };
    attempt_list attempts(site);
    std::size_t sent = 0;
    std::size_t whole = 0;
    std::size_t malformed = 0;
    std::size_t crashes = 0;
    const auto startedAt = clock::now();
    waitFor(
        [&] {
            const auto time = clock::now() - startedAt;
            isFailing = hasTrouble() && time < length && time % cycle < failingLength;
            if (hasTrouble() && time < length && time >= crashAt + cycle * crashes) {
                model_engine &crashed = *models[crashes++ % modelEngines];
                site.record.add("engine " + crashed.id() + " crashes");
                crashed.crashFor(crashLength);
            }
            if (time < length && time >= interval * sent) {
                const std::string id = "r" + std::to_string(++sent);
                attempts.send(id, id, sent % daemons,
                              requestText("POST", "/chat/x", id,
                                          "Model: m\r\nToken-Counts: 500,240\r\nPrompt-Prefix: " + id
                                              + ":500\r\nPieces: 1\r\nPiece-Key: key-" + id
                                              + "\r\nDeadline-Ms: 15000\r\n",
                                          "prompt"),
                              limit);
            }
            attempts.collect([&](const attempt &ended) {
                const std::string &received = ended.caller->received;
                const std::size_t second = received.find("HTTP/1.1 ", 1);
                whole += ended.caller->completeAnswers > 0 && ended.status() == 200 ? 1 : 0;
                site.record.add("consumer gets " + std::to_string(ended.status()) + " for " + ended.id
                                + (ended.caller->completeAnswers > 0 ? "" : ", not complete"));
                if (second != std::string::npos) {
                    ++malformed;
                    site.record.add("its stream goes on with bytes that are no chunk: "
                                    + received.substr(second, received.find('\r', second) - second));
                }
            });
            return time >= length && attempts.size() == 0;
        },
        length + limit + milliseconds(2000));
    site.record.add("sent " + std::to_string(sent) + ", whole streams " + std::to_string(whole) + ", crashes "
                    + std::to_string(crashes) + ", streams with bytes that are no answer " + std::to_string(malformed));
    if (whole == 0 || (hasTrouble() && crashes == 0)) {
        return verdict::not_run;
    }
    return malformed > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    return static_cast<int>(play(argc > 1 ? argv[1] : "record.txt"));
}
