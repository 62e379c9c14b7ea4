#pragma once

#include <masticlever/routing/router.h>

#include <span>

/// \file
/// Estimates the calls at an endpoint from this instance's exact count and outdated load reports.

namespace masticlever::routing::detail
{

/// Mean number of calls of other instances per endpoint, weighted by the age of the reports.
double meanLoadOfOthers(std::span<const candidate> candidates, common::instant now);

/// Estimated calls at \p endpoint: this instance's exact count plus the reported calls of others. The older the report,
/// the more \p meanOfOthers replaces it.
double estimatedLoad(const candidate &endpoint, double meanOfOthers, common::instant now);

} // namespace masticlever::routing::detail
