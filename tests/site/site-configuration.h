#pragma once

#include <string>

namespace masticlever::site
{

/// A configuration of the platform: /safe/, /order/ and /chat/ (two stages, a stream) on site.example, key "key-1".
std::string demoConfiguration();

} // namespace masticlever::site
