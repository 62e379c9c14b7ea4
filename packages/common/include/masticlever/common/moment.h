#pragma once

#include <masticlever/common/time.h>

/// \file
/// The present time on both clocks, as handed to decision objects.

namespace masticlever::common
{

struct moment {
    instant now;
    wall_time wall;
};

} // namespace masticlever::common
