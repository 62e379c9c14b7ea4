#include <masticlever/routing/capacity.h>

#include <algorithm>
#include <chrono>
#include <limits>

namespace masticlever::routing
{

namespace
{

pipeline_capacity capacityFromSlots(const configuration::pipeline_spec &spec, const router &router, common::instant now)
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
        const auto remaining = estimates.expectedRemaining(pipeline, spec, i);
        const seconds service = remaining - estimates.expectedRemaining(pipeline, spec, i + 1);
        if (service <= seconds::zero()) {
            return capacityFromSlots(spec, router, now);
        }
        const auto slots = static_cast<double>(router.poolSlots(spec.stages[i].pool));
        total += service;
        if (slots / service.count() < lowestRate) {
            lowestRate = slots / service.count();
            capacity.utilisation = router.poolUtilisation(spec.stages[i].pool, now);
        }
    }
    capacity.usesServiceTimes = true;
    capacity.inFlight = spec.stages.empty() ? 0 : lowestRate * total.count();
    return capacity;
}

double instanceCapacity(const pipeline_capacity &fleet, std::size_t instances)
{
    constexpr double headroomWithoutServiceTimes = 1.5;
    constexpr double minHeadroom = 0.9;
    constexpr double maxHeadroom = 4;
    constexpr double minUtilisation = 0.1; ///< lower bound that keeps the quotient finite
    const double equalShare = fleet.inFlight / static_cast<double>(std::max<std::size_t>(instances, 1));
    if (!fleet.usesServiceTimes) {
        return equalShare * headroomWithoutServiceTimes;
    }
    const double spare = 1 / std::max(fleet.utilisation, minUtilisation);
    return equalShare * std::clamp(spare * spare, minHeadroom, maxHeadroom);
}

} // namespace masticlever::routing
