#pragma once

#include <masticlever/common/time.h>
#include <masticlever/configuration/resources.h>

#include <cstddef>
#include <memory>
#include <string_view>

/// \file
/// Estimates the durations of stages from past calls, to divide a request's deadline between stages, to choose
/// hedge delays and attempt timeouts, and to predict how long a request takes.

namespace masticlever::routing
{

struct estimate_options {
    std::size_t minimumSamples = 10; ///< needed before a stage has estimates
    double laterStageQuantile = 0.75; ///< of the service time, reserved for each later stage
    double hedgeQuantile = 0.95; ///< of the response time, after which a call is hedged
    double timeoutQuantile = 0.99; ///< of the response time, base of the timeout of one attempt
    double timeoutFactor = 2; ///< multiple of that quantile
    common::duration minimumTimeout = std::chrono::milliseconds(50);
};

/// Estimates per pipeline and stage. The response time of a call is the time to its answer or, for a streamed stage, to
/// its first token.
class stage_estimates
{
public:
    explicit stage_estimates(estimate_options options = {});
    ~stage_estimates();
    stage_estimates(stage_estimates &&) noexcept;
    stage_estimates &operator=(stage_estimates &&) noexcept;

    /// A call of the stage was fully answered \p service after it was sent.
    void onAnswered(std::string_view pipeline, std::string_view stage, common::duration service);
    /// A call was given up after \p waited without a response. It is counted as a response time of \p waited.
    void onAttemptTimeout(std::string_view pipeline, const configuration::stage_spec &stage, common::duration waited);
    /// The first token of a streamed stage arrived \p delay after the call was sent.
    void onFirstToken(std::string_view pipeline, std::string_view stage, common::duration delay);

    /// Time that stage \p index of \p spec may take: \p remaining minus the expected time of later stages, but not
    /// less than the stage's own share of the expected total, and at most \p remaining.
    common::duration budgetFor(std::string_view pipeline, const configuration::pipeline_spec &spec, std::size_t index,
                               common::duration remaining) const;
    /// Expected time of stage \p from and all later ones; a stage without estimates counts as zero.
    common::duration expectedRemaining(std::string_view pipeline, const configuration::pipeline_spec &spec,
                                       std::size_t from) const;
    /// Time without a response after which a call is hedged; duration::max() while the stage has no estimates.
    common::duration hedgeDelay(std::string_view pipeline, const configuration::stage_spec &stage) const;
    /// Time without a response after which an attempt is given up, so that another endpoint can be tried within
    /// \p budget. At most \p budget; half of it while the stage has no estimates.
    common::duration attemptTimeout(std::string_view pipeline, const configuration::stage_spec &stage,
                                    common::duration budget) const;
    /// Median time to the first token of a streamed stage; zero while the stage has no estimates.
    common::duration firstToken(std::string_view pipeline, std::string_view stage) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace masticlever::routing
