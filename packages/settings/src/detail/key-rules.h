#pragma once

#include <masticlever/settings/settings.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The table of settings keys: where a value goes and what it may be.

namespace masticlever::settings::detail
{

struct key_rule {
    std::string section;
    std::string key;
    bool required = false;
    std::string allowed; ///< shown when the value is refused
    std::function<bool(daemon_settings &, const std::string &)> apply; ///< false: bad value
};

const std::vector<key_rule> &keyRules();

/// Names of the keys of \p section, or of all sections when there is no such section.
std::string knownKeys(std::string_view section);

} // namespace masticlever::settings::detail
