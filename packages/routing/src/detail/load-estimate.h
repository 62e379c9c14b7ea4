#pragma once

#include <masticlever/routing/router.h>

#include <span>

/// \file
/// Calls at an endpoint, estimated from exact own counts and late reports.

namespace masticlever::routing::detail
{

/// Mean of the reported calls of other instances, weighted by the age of the reports.
double usualOthers(std::span<const candidate> candidates, common::instant now);

/// Estimated calls at \p endpoint: own ones exactly, others from the report, which fades to \p usual.
double agedLoad(const candidate &endpoint, double usual, common::instant now);

} // namespace masticlever::routing::detail
