#pragma once

#include <masticlever/routing/retry-budget.h>
#include <masticlever/routing/stage-estimates.h>
#include <masticlever/runs/stage-planner.h>

#include <map>
#include <string>

/// \file
/// Timeouts and retry budgets derived from the recent latencies of each pipeline's stages.

namespace masticlever::runs
{

/// Plans by learned latency quantiles and a retry budget per pipeline.
class learned_planner : public stage_planner
{
public:
    explicit learned_planner(routing::estimate_options options = {}) : m_estimates(options) { }

    const routing::stage_estimates &estimates() const { return m_estimates; }

    common::duration callTimeout(const stage_ref &stage, common::duration remaining) override;
    std::optional<common::duration> hedgeDelay(const stage_ref &stage) override;
    common::duration expectedFrom(const stage_ref &stage) override;
    void onAnswered(const stage_ref &stage, common::duration toFirstByte, common::duration whole) override;
    bool takeRetry(const stage_ref &stage) override;
    void onAttemptTimeout(const stage_ref &stage, common::duration waited) override;

private:
    routing::retry_budget &retryBudgetFor(const stage_ref &stage);

    routing::stage_estimates m_estimates;
    std::map<std::string, routing::retry_budget, std::less<>> m_budgets; ///< by pipeline
};

} // namespace masticlever::runs
