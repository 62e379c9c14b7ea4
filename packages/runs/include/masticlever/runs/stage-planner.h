#pragma once

#include <masticlever/common/time.h>
#include <masticlever/configuration/resources.h>

#include <cstdint>
#include <optional>
#include <string_view>

/// \file
/// Abstract interface for timeouts, hedging and retry budgets of stage calls.

namespace masticlever::runs
{

/// A stage of a pipeline. Refers to the spec and the name; both must outlive it.
struct stage_ref {
    std::string_view pipeline;
    const configuration::pipeline_spec &spec;
    std::uint32_t stage = 0;
};

class stage_planner
{
public:
    virtual ~stage_planner() = default;

    /// Timeout of one call when \p remaining is left until the deadline. For a streamed stage it covers the time to the
    /// first token.
    virtual common::duration callTimeout(const stage_ref &stage, common::duration remaining) = 0;
    /// Delay after which a hedged call is sent; std::nullopt when there are too few samples.
    virtual std::optional<common::duration> hedgeDelay(const stage_ref &stage) = 0;
    /// Expected time of \p stage and all later stages.
    virtual common::duration expectedFrom(const stage_ref &stage) = 0;

    /// \p toFirstByte is the time to the answer or to its first token, \p whole to the end of the answer.
    virtual void onAnswered(const stage_ref &stage, common::duration toFirstByte, common::duration whole) = 0;
    /// Takes one retry or hedge from the pipeline's retry budget. Returns false when the budget is used up.
    virtual bool takeRetry(const stage_ref &stage) = 0;
    /// A call timed out after \p waited without a first byte.
    virtual void onAttemptTimeout(const stage_ref &stage, common::duration waited) = 0;
};

} // namespace masticlever::runs
