#pragma once

#include <masticlever/membership/membership.h>

#include <map>
#include <span>
#include <string>
#include <vector>

/// \file
/// Detects changes of the fleet by comparing successive lists of live instances.

namespace masticlever::membership
{

enum class instance_change { live, leaving, lost };

struct observed_change {
    instance_change change = instance_change::live;
    std::string name;
    std::string incarnation;

    bool operator==(const observed_change &) const = default;
};

class instance_observer
{
public:
    /// Returns the changes since the previous call. \p live is the result of membership_table::liveInstances().
    /// An instance that disappears after it announced that it was leaving is not reported as lost.
    std::vector<observed_change> update(std::span<const instance_notice> live);

private:
    struct known_instance {
        std::string name;
        bool leaving = false;
    };

    std::map<std::string, known_instance> m_known; ///< by incarnation
};

} // namespace masticlever::membership
