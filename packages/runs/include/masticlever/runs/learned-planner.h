#pragma once

#include <masticlever/configuration/snapshot.h>
#include <masticlever/routing/retry-budget.h>
#include <masticlever/routing/stage-estimates.h>
#include <masticlever/runs/stage-planner.h>

#include <functional>
#include <map>
#include <string>

/// \file
/// Time and retry allowances from what the stages of each pipeline have needed lately.

namespace masticlever::runs
{

class learned_planner : public stage_planner
{
public:
    explicit learned_planner(routing::estimate_options options = {}) : m_estimates(options) { }

    /// Takes over the pipelines of \p configuration; what was learnt is kept.
    void update(const configuration::snapshot &configuration);
    const routing::stage_estimates &estimates() const { return m_estimates; }

    common::duration callTimeout(const stage_ref &stage, common::duration remaining) override;
    std::optional<common::duration> hedgeDelay(const stage_ref &stage) override;
    common::duration expectedFrom(const stage_ref &stage) override;
    void onAnswered(const stage_ref &stage, common::duration toFirstByte, common::duration whole) override;
    void onTimedOut(const stage_ref &stage, common::duration waited) override;
    bool takeRetry(std::string_view pipeline, double share) override;
    void onSuccess(std::string_view pipeline, double share) override;

private:
    /// nullptr: a pipeline or stage that the configuration does not have.
    const configuration::pipeline_spec *specOf(const stage_ref &stage) const;
    routing::retry_budget &budget(std::string_view pipeline, double share);

    routing::stage_estimates m_estimates;
    std::map<std::string, configuration::pipeline_spec, std::less<>> m_pipelines;
    std::map<std::string, routing::retry_budget, std::less<>> m_budgets;
};

} // namespace masticlever::runs
