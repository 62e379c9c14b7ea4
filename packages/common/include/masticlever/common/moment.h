#pragma once

#include <masticlever/common/time.h>

/// \file
/// The current time on the monotonic and the wall clock, passed as a parameter to code that reads no clock.

namespace masticlever::common
{

struct moment {
    instant now;
    wall_time wall;
};

} // namespace masticlever::common
