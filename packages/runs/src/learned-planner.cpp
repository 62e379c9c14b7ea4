#include <masticlever/runs/learned-planner.h>

namespace masticlever::runs
{

void learned_planner::update(const configuration::snapshot &configuration)
{
    m_pipelines.clear();
    for (const auto &[name, pipeline] : configuration.pipelines) {
        m_pipelines.emplace(name, pipeline.spec);
    }
}

const configuration::pipeline_spec *learned_planner::specOf(const stage_ref &stage) const
{
    const auto found = m_pipelines.find(stage.pipeline);
    const bool isKnown = found != m_pipelines.end() && stage.stage < found->second.stages.size();
    return isKnown ? &found->second : nullptr;
}

common::duration learned_planner::callTimeout(const stage_ref &stage, common::duration remaining)
{
    const auto *spec = specOf(stage);
    if (spec == nullptr) {
        return remaining;
    }
    const common::duration budget = m_estimates.budgetFor(stage.pipeline, *spec, stage.stage, remaining);
    return m_estimates.attemptTimeout(stage.pipeline, spec->stages[stage.stage], budget);
}

std::optional<common::duration> learned_planner::hedgeDelay(const stage_ref &stage)
{
    const auto *spec = specOf(stage);
    if (spec == nullptr) {
        return std::nullopt;
    }
    const common::duration delay = m_estimates.hedgeDelay(stage.pipeline, spec->stages[stage.stage]);
    return delay == common::duration::max() ? std::nullopt : std::optional(delay);
}

common::duration learned_planner::expectedFrom(const stage_ref &stage)
{
    const auto *spec = specOf(stage);
    return spec == nullptr ? common::duration::zero()
                           : m_estimates.expectedRemaining(stage.pipeline, *spec, stage.stage);
}

void learned_planner::onAnswered(const stage_ref &stage, common::duration toFirstByte, common::duration whole)
{
    const auto *spec = specOf(stage);
    if (spec == nullptr) {
        return;
    }
    const configuration::stage_spec &answered = spec->stages[stage.stage];
    m_estimates.onAnswered(stage.pipeline, answered.name, whole);
    if (answered.streamed) {
        m_estimates.onFirstToken(stage.pipeline, answered.name, toFirstByte);
    }
}

void learned_planner::onTimedOut(const stage_ref &stage, common::duration waited)
{
    if (const auto *spec = specOf(stage)) {
        m_estimates.onGivenUp(stage.pipeline, spec->stages[stage.stage], waited);
    }
}

routing::retry_budget &learned_planner::budget(std::string_view pipeline, double share)
{
    const routing::retry_budget_options options{.perSuccess = share};
    auto found = m_budgets.find(pipeline);
    if (found == m_budgets.end()) {
        found = m_budgets.emplace(std::string(pipeline), routing::retry_budget(options)).first;
    }
    found->second.setOptions(options);
    return found->second;
}

bool learned_planner::takeRetry(std::string_view pipeline, double share)
{
    return budget(pipeline, share).take();
}

void learned_planner::onSuccess(std::string_view pipeline, double share)
{
    budget(pipeline, share).onSuccess();
}

} // namespace masticlever::runs
