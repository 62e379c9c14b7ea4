#include <masticlever/routing/capacity.h>

#include <algorithm>
#include <chrono>
#include <limits>

namespace masticlever::routing
{

double sustainableInFlight(std::string_view pipeline, const configuration::pipeline_spec &spec,
                           const stage_estimates &estimates, const router &router)
{
    using seconds = std::chrono::duration<double>;
    double lowestRate = std::numeric_limits<double>::infinity();
    seconds total{};
    for (std::size_t i = 0; i < spec.stages.size(); ++i) {
        const auto from = estimates.expectedRemaining(pipeline, spec, i);
        const seconds service = from - estimates.expectedRemaining(pipeline, spec, i + 1);
        if (service <= seconds::zero()) {
            return 0;
        }
        const auto slots = static_cast<double>(router.poolSlots(spec.stages[i].pool));
        lowestRate = std::min(lowestRate, slots / service.count());
        total += service;
    }
    return spec.stages.empty() ? 0 : lowestRate * total.count();
}

} // namespace masticlever::routing
