#pragma once

#include "api.h"
#include "plan.h"

#include <chrono>
#include <functional>
#include <vector>

/// \file
/// Sends changes through the operator API and retries each under one change id until its outcome is certain; an outcome
/// that remains uncertain is reported as `unknown`.

namespace masticlever::masticleverctl
{

enum class step_result { unchanged, changed, refused, unknown };

struct step_outcome {
    step_result result = step_result::unknown;
    QString changeId;
    QString detail; ///< reason of a refused or unknown outcome
    bool mayDependOnOtherStep = false; ///< rejected, possibly for a reference that another step creates
};

struct runner_options {
    int attempts = 4; ///< per change
    std::chrono::milliseconds retryDelay{1000};
};

class change_runner
{
public:
    using sleep_function = std::function<void(std::chrono::milliseconds)>;
    using id_source = std::function<QString()>;
    using outcome_callback = std::function<void(const plan_step &, const step_outcome &)>;

    change_runner(api &server, sleep_function sleep, id_source makeId, runner_options options);

    /// Sends one change until it has an outcome. Every attempt carries the same change id.
    step_outcome run(const plan_step &step);
    /// Runs all steps. Steps rejected for a missing reference are retried as long as other steps succeed.
    step_result runAll(const std::vector<plan_step> &steps, const outcome_callback &report);

private:
    std::optional<step_outcome> queryOutcome(const QString &changeId);

    api &m_server;
    sleep_function m_sleep;
    id_source m_makeId;
    runner_options m_options;
};

/// Returns the worse of two results; from worst to best: unknown, refused, changed, unchanged.
step_result worse(step_result left, step_result right);

} // namespace masticlever::masticleverctl
