#include <masticlever/runs/learned-planner.h>

namespace masticlever::runs
{

common::duration learned_planner::callTimeout(const stage_ref &stage, common::duration remaining)
{
    const common::duration budget = m_estimates.budgetFor(stage.pipeline, stage.spec, stage.stage, remaining);
    return m_estimates.attemptTimeout(stage.pipeline, stage.spec.stages[stage.stage], budget);
}

std::optional<common::duration> learned_planner::hedgeDelay(const stage_ref &stage)
{
    const common::duration delay = m_estimates.hedgeDelay(stage.pipeline, stage.spec.stages[stage.stage]);
    return delay == common::duration::max() ? std::nullopt : std::optional(delay);
}

common::duration learned_planner::expectedFrom(const stage_ref &stage)
{
    return m_estimates.expectedRemaining(stage.pipeline, stage.spec, stage.stage);
}

void learned_planner::onAnswered(const stage_ref &stage, common::duration toFirstByte, common::duration whole)
{
    const configuration::stage_spec &spec = stage.spec.stages[stage.stage];
    m_estimates.onAnswered(stage.pipeline, spec.name, whole);
    if (spec.streamed) {
        m_estimates.onFirstToken(stage.pipeline, spec.name, toFirstByte);
    }
    retryBudgetFor(stage).onSuccess();
}

bool learned_planner::takeRetry(const stage_ref &stage)
{
    return retryBudgetFor(stage).take();
}

void learned_planner::onAttemptTimeout(const stage_ref &stage, common::duration waited)
{
    m_estimates.onAttemptTimeout(stage.pipeline, stage.spec.stages[stage.stage], waited);
}

routing::retry_budget &learned_planner::retryBudgetFor(const stage_ref &stage)
{
    const auto found = m_budgets.find(stage.pipeline);
    if (found != m_budgets.end()) {
        return found->second;
    }
    const routing::retry_budget_options options{.tokensPerSuccess = stage.spec.retryBudget};
    return m_budgets.emplace(std::string(stage.pipeline), routing::retry_budget(options)).first->second;
}

} // namespace masticlever::runs
