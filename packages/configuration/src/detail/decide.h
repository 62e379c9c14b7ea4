#pragma once

#include "detail/replicated-state.h"

#include <masticlever/configuration/codec.h>

#include <optional>

/// \file
/// Decides the outcome of a change.

namespace masticlever::configuration::detail
{

/// Returns the first error in the id, name, size or specification of \p requested, without regard to any state.
std::optional<field_error> validateChange(const change &requested);

/// Decides the outcome of \p requested at log offset \p offset and applies it to \p state if it is accepted. Ignores
/// remembered outcomes.
change_outcome decide(replicated_state &state, const change &requested, platform::log_offset offset);

/// Same as decide(), but leaves the state unchanged.
change_outcome preview(const replicated_state &state, const change &requested, platform::log_offset offset);

} // namespace masticlever::configuration::detail
