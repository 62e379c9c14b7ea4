#pragma once

#include "detail/table.h"

#include <masticlever/configuration/codec.h>

#include <optional>

/// \file
/// The outcome of one change on one state.

namespace masticlever::configuration::detail
{

/// What is wrong with \p what on any state: its id, name, size or the form of its specification.
std::optional<field_error> formFault(const change &what);

/// Decides \p what at log offset \p offset. Writes \p state only when the outcome is accepted; does not look at
/// the remembered outcomes.
change_outcome decide(table &state, const change &what, platform::log_offset offset);

/// The same without an effect.
change_outcome preview(const table &state, const change &what, platform::log_offset offset);

} // namespace masticlever::configuration::detail
