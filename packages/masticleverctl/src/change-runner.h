#pragma once

#include "api.h"
#include "plan.h"

#include <chrono>
#include <functional>
#include <vector>

/// \file
/// Brings changes through the operator API, each under one change id, to an outcome that is certain or `unknown`.

namespace masticlever::masticleverctl
{

enum class step_result { unchanged, changed, refused, unknown };

struct step_outcome {
    step_result result = step_result::unknown;
    QString changeId;
    QString detail; ///< why it was refused or is unknown
    bool isDependent = false; ///< refused for a reference that another step may cure
};

struct runner_options {
    int attempts = 4; ///< of one change
    std::chrono::milliseconds pauseBetween{1000};
};

class change_runner
{
public:
    using pause = std::function<void(std::chrono::milliseconds)>;
    using id_source = std::function<QString()>;
    using listener = std::function<void(const step &, const step_outcome &)>;

    change_runner(api &server, pause sleep, id_source makeId, runner_options options);

    /// Runs one change to its outcome. The same id goes with every attempt.
    step_outcome run(const step &what);
    /// Runs all steps; those refused for a reference are tried again as long as others succeed.
    step_result runAll(const std::vector<step> &steps, const listener &report);

private:
    std::optional<step_outcome> settle(const QString &changeId);

    api &m_server;
    pause m_pause;
    id_source m_makeId;
    runner_options m_options;
};

/// The worse of two results: unknown, refused, changed, unchanged.
step_result worse(step_result left, step_result right);

} // namespace masticlever::masticleverctl
