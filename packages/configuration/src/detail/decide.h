#pragma once

#include "detail/table.h"

/// \file
/// The outcome of one change on one state.

namespace masticlever::configuration::detail
{

/// Decides \p what at log offset \p offset. Writes \p state only when the outcome is accepted; does not look at
/// the remembered outcomes.
change_outcome decide(table &state, const change &what, platform::log_offset offset);

/// The same without an effect.
change_outcome preview(const table &state, const change &what, platform::log_offset offset);

} // namespace masticlever::configuration::detail
