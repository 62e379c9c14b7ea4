#include <masticlever/runs/stage-planner.h>

namespace masticlever::runs
{

common::duration fixed_planner::callTimeout(const stage_ref & /*stage*/, common::duration remaining)
{
    return remaining / 2;
}

std::optional<common::duration> fixed_planner::hedgeDelay(const stage_ref & /*stage*/)
{
    return std::nullopt;
}

common::duration fixed_planner::expectedFrom(const stage_ref & /*stage*/)
{
    return {};
}

void fixed_planner::onAnswered(const stage_ref & /*stage*/, common::duration /*toFirstByte*/,
                               common::duration /*whole*/)
{ }

bool fixed_planner::takeRetry(const stage_ref & /*stage*/)
{
    return true;
}

void fixed_planner::onGivenUp(const stage_ref & /*stage*/, common::duration /*waited*/) { }

} // namespace masticlever::runs
