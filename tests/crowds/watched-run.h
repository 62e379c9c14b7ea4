#pragma once

#include "crowd.h"
#include "process-usage.h"

namespace masticlever::crowds
{

/// Runs the event loop and the crowd for a time, and samples what the process under test holds meanwhile.
void runWatched(crowd &callers, process_usage &usage, int milliseconds);

} // namespace masticlever::crowds
