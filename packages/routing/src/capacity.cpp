#include <masticlever/routing/capacity.h>

#include <algorithm>
#include <chrono>
#include <limits>

namespace masticlever::routing
{

namespace
{

pipeline_capacity capacityBySlots(const configuration::pipeline_spec &spec, const router &router, common::instant now)
{
    pipeline_capacity capacity;
    bool streamed = false;
    for (const configuration::stage_spec &stage : spec.stages) {
        const auto slots = static_cast<double>(router.poolSlots(stage.pool));
        const bool isFirstStreamed = stage.streamed && !streamed;
        const bool isLarger = stage.streamed == streamed && slots > capacity.inFlight;
        if (isFirstStreamed || isLarger) {
            capacity.inFlight = slots;
            capacity.utilisation = router.poolUtilisation(stage.pool, now);
        }
        streamed = streamed || stage.streamed;
    }
    return capacity;
}

} // namespace

pipeline_capacity capacityOf(std::string_view pipeline, const configuration::pipeline_spec &spec,
                             const stage_estimates &estimates, const router &router, common::instant now)
{
    using seconds = std::chrono::duration<double>;
    double lowestRate = std::numeric_limits<double>::infinity();
    seconds total{};
    pipeline_capacity capacity;
    for (std::size_t i = 0; i < spec.stages.size(); ++i) {
        const auto from = estimates.expectedRemaining(pipeline, spec, i);
        const seconds service = from - estimates.expectedRemaining(pipeline, spec, i + 1);
        if (service <= seconds::zero()) {
            return capacityBySlots(spec, router, now);
        }
        const auto slots = static_cast<double>(router.poolSlots(spec.stages[i].pool));
        total += service;
        if (slots / service.count() < lowestRate) {
            lowestRate = slots / service.count();
            capacity.utilisation = router.poolUtilisation(spec.stages[i].pool, now);
        }
    }
    capacity.isLearnt = true;
    capacity.inFlight = spec.stages.empty() ? 0 : lowestRate * total.count();
    return capacity;
}

double instanceShare(const pipeline_capacity &fleet, std::size_t instances)
{
    constexpr double unknownHeadroom = 1.5;
    constexpr double leastHeadroom = 0.9;
    constexpr double mostHeadroom = 4;
    constexpr double idleUtilisation = 0.1; ///< keeps the quotient finite
    const double equal = fleet.inFlight / static_cast<double>(std::max<std::size_t>(instances, 1));
    if (!fleet.isLearnt) {
        return equal * unknownHeadroom;
    }
    const double spare = 1 / std::max(fleet.utilisation, idleUtilisation);
    return equal * std::clamp(spare * spare, leastHeadroom, mostHeadroom);
}

} // namespace masticlever::routing
