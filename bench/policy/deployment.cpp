#include "deployment.h"

#include <algorithm>
#include <cstdlib>
#include <memory>

namespace masticlever::policy_bench
{

namespace
{

using namespace std::chrono_literals;

/// Requests per second that fill every slot of the engines when no prefix is cached: 80 slots, 1.4 s a call
/// (250 ms prefill, 40.5 tokens of 28 ms with a full batch), 85 of 100 requests with such a call.
constexpr double capacity = 67;

struct stage_model {
    std::string name;
    std::string pool;
    bool repeatable = true;
    bool streamed = false;
};

void addPipeline(configuration::snapshot &snapshot, const std::string &name, const std::vector<stage_model> &stages,
                 bool hedging)
{
    configuration::resource<configuration::pipeline_spec> pipeline;
    pipeline.name = name;
    pipeline.spec.hedging = hedging;
    for (const stage_model &model : stages) {
        configuration::stage_spec stage;
        stage.name = model.name;
        stage.pool = model.pool;
        stage.repeatable = model.repeatable;
        stage.streamed = model.streamed;
        stage.statusPath = model.repeatable ? "" : "/v1/status";
        pipeline.spec.stages.push_back(stage);
    }
    snapshot.pipelines[name] = pipeline;
}

void addEndpoints(configuration::snapshot &snapshot, const deployment &made)
{
    for (const pool_model &pool : made.pools) {
        for (std::size_t i = 0; i < pool.endpoints; ++i) {
            configuration::resource<configuration::endpoint_spec> endpoint;
            endpoint.name = endpointName(pool, i);
            endpoint.spec.pool = pool.name;
            endpoint.spec.address = endpoint.name;
            endpoint.spec.dataCentre = std::to_string(i % made.dataCentres);
            endpoint.spec.slots = pool.slots;
            snapshot.endpoints[endpoint.name] = endpoint;
        }
    }
}

void addTeams(configuration::snapshot &snapshot, const deployment &made)
{
    for (std::size_t i = 0; i < made.teamShares.size(); ++i) {
        configuration::resource<configuration::team_spec> team;
        team.name = teamName(i);
        snapshot.teams[team.name] = team;
    }
}

deployment finish(deployment made, configuration::snapshot snapshot)
{
    made.teamShares = {0.4, 0.4, 0.07, 0.07, 0.06};
    addEndpoints(snapshot, made);
    addTeams(snapshot, made);
    made.configuration = std::make_shared<const configuration::snapshot>(std::move(snapshot));
    return made;
}

} // namespace

const pool_model &deployment::pool(std::string_view poolName) const
{
    const auto found
        = std::find_if(pools.begin(), pools.end(), [&](const pool_model &model) { return model.name == poolName; });
    if (found == pools.end()) {
        std::abort();
    }
    return *found;
}

deployment slipperDeployment(bool hedging)
{
    deployment made;
    made.name = "slipper";
    made.hop = 1ms;
    made.capacity = capacity;
    made.pools = {{"model", 10, 8, {}, true},
                  {"order-desk", 3, 2, 150ms, false},
                  {"lot-ledger", 5, 2, 60ms, false},
                  {"price-vault", 5, 2, 40ms, false},
                  {"dispatch-board", 5, 2, 40ms, false}};
    made.mix = {{"lot-summary", 0.45}, {"quote", 0.4}, {"order", 0.15}};
    made.slowPool = "model";
    made.hitPool = "model";
    configuration::snapshot snapshot;
    addPipeline(snapshot, "lot-summary", {{"lots", "lot-ledger"}, {"generate", "model", true, true}}, hedging);
    addPipeline(snapshot, "quote",
                {{"lots", "lot-ledger"}, {"prices", "price-vault"}, {"generate", "model", true, true}}, hedging);
    addPipeline(snapshot, "order",
                {{"prices", "price-vault"}, {"order", "order-desk", false}, {"dispatch", "dispatch-board"}}, hedging);
    return finish(std::move(made), std::move(snapshot));
}

deployment quiltDeployment(bool hedging)
{
    deployment made;
    made.name = "quilt";
    made.hop = 500us;
    made.capacity = capacity;
    made.pools = {{"model", 10, 8, {}, true},
                  {"booking-desk", 3, 2, 150ms, false},
                  {"accounts", 3, 4, 40ms, false},
                  {"routes", 5, 2, 80ms, false},
                  {"invoicing", 5, 2, 40ms, false}};
    made.mix = {{"advice", 0.85}, {"pickup", 0.15}};
    made.slowPool = "model";
    made.hitPool = "booking-desk";
    configuration::snapshot snapshot;
    addPipeline(snapshot, "advice", {{"account", "accounts"}, {"generate", "model", true, true}}, hedging);
    addPipeline(
        snapshot, "pickup",
        {{"account", "accounts"}, {"route", "routes"}, {"book", "booking-desk", false}, {"invoice", "invoicing"}},
        hedging);
    return finish(std::move(made), std::move(snapshot));
}

std::string endpointName(const pool_model &pool, std::size_t index)
{
    return pool.name + '-' + std::to_string(index);
}

std::string teamName(std::size_t index)
{
    return "team-" + std::to_string(index);
}

} // namespace masticlever::policy_bench
