#pragma once

#include <masticlever/common/time.h>
#include <masticlever/configuration/resources.h>

#include <cstdint>
#include <optional>
#include <string_view>

/// \file
/// Time and retry allowances of stage calls, seen as an abstract interface.

namespace masticlever::runs
{

struct stage_ref {
    std::string_view pipeline;
    const configuration::pipeline_spec &spec;
    std::uint32_t stage = 0;
};

class stage_planner
{
public:
    virtual ~stage_planner() = default;

    /// How long one call may take (to its first token when streamed) with \p remaining until the deadline.
    virtual common::duration callTimeout(const stage_ref &stage, common::duration remaining) = 0;
    /// When a second call should go out; nothing: not enough is known.
    virtual std::optional<common::duration> hedgeDelay(const stage_ref &stage) = 0;
    /// Time that all stages from \p stage on are likely to need.
    virtual common::duration expectedFrom(const stage_ref &stage) = 0;

    /// \p toFirstByte: until the answer or its first token.
    virtual void onAnswered(const stage_ref &stage, common::duration toFirstByte, common::duration whole) = 0;
    /// Takes one retry or hedge from the budget of the pipeline, if there is one.
    virtual bool takeRetry(const stage_ref &stage) = 0;
    /// A call gave no sign for \p waited and was given up.
    virtual void onAttemptTimeout(const stage_ref &stage, common::duration waited) = 0;
};

} // namespace masticlever::runs
