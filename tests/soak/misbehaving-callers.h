#pragma once

#include "crowd.h"

#include <string>

namespace masticlever::soak
{

/// Connects callers of each kind that ignore the limits to "IP:port", and again whenever they are closed. None of their
/// requests reaches an endpoint.
void addMisbehavingCallers(crowds::crowd &crowd, const std::string &address);

} // namespace masticlever::soak
