#pragma once

#include <masticlever/common/time.h>
#include <masticlever/configuration/resources.h>

#include <cstddef>
#include <memory>
#include <string_view>

/// \file
/// Learnt durations of stages: how a request's deadline is divided, when a call is slow enough to be hedged or
/// given up, and what a request is likely to need.

namespace masticlever::routing
{

struct estimate_options {
    std::size_t minimumSamples = 10; ///< below this a stage counts as not known
    double laterQuantile = 0.75; ///< reserved for each later stage
    double hedgeQuantile = 0.95;
    double timeoutQuantile = 0.99; ///< base of the timeout of one attempt
    double timeoutFactor = 2; ///< times that quantile
    common::duration minimumTimeout = std::chrono::milliseconds(50);
};

/// Kept per pipeline and stage; stages are named by their position in \p spec.
class stage_estimates
{
public:
    explicit stage_estimates(estimate_options options = {});
    ~stage_estimates();
    stage_estimates(stage_estimates &&) noexcept;
    stage_estimates &operator=(stage_estimates &&) noexcept;

    /// A call of the stage was answered in full \p service after it was sent.
    void onAnswered(std::string_view pipeline, std::string_view stage, common::duration service);
    /// A call that gave no sign was given up after \p waited: counted as at least that long.
    void onGivenUp(std::string_view pipeline, const configuration::stage_spec &stage, common::duration waited);
    /// The first token of a streamed stage came \p delay after the call was sent.
    void onFirstToken(std::string_view pipeline, std::string_view stage, common::duration delay);

    /// Time that stage \p index may take: \p remaining less what later stages are likely to need, and never less
    /// than the stage's own share of the likely total. At most \p remaining.
    common::duration budgetFor(std::string_view pipeline, const configuration::pipeline_spec &spec, std::size_t index,
                               common::duration remaining) const;
    /// Likely time of stage \p from and all after it; zero for stages that are not known.
    common::duration expectedRemaining(std::string_view pipeline, const configuration::pipeline_spec &spec,
                                       std::size_t from) const;
    /// When a second call of a slow stage pays off (of the first token for a streamed stage); duration::max() while
    /// the stage is not known.
    common::duration hedgeDelay(std::string_view pipeline, const configuration::stage_spec &stage) const;
    /// When one attempt that gave no sign (no answer, or no first token of a streamed stage) is given up so that
    /// another endpoint may be tried within \p budget. At most \p budget; half of it while the stage is not known.
    common::duration attemptTimeout(std::string_view pipeline, const configuration::stage_spec &stage,
                                    common::duration budget) const;
    /// Median delay of the first token of a streamed stage; zero while not known.
    common::duration firstToken(std::string_view pipeline, std::string_view stage) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticlever::routing
