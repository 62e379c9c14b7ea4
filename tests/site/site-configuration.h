#pragma once

#include <string>

namespace masticlever::site
{

/// Sample configuration: /safe/, /order/ and /chat/ (streaming, two stages) on host site.example, API key "key-1".
std::string demoConfiguration();

} // namespace masticlever::site
