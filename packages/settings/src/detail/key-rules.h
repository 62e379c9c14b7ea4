#pragma once

#include <masticlever/settings/settings.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Table of all settings keys: where each value is stored and which values are valid.

namespace masticlever::settings::detail
{

struct key_rule {
    std::string section;
    std::string key;
    bool required = false;
    std::string allowed; ///< valid values, shown in error messages
    /// Stores the value; returns false when it is invalid.
    std::function<bool(daemon_settings &, const std::string &)> apply;
};

const std::vector<key_rule> &keyRules();

/// Returns the names of the keys in \p section, or of all keys if the section is unknown.
std::string knownKeys(std::string_view section);

} // namespace masticlever::settings::detail
