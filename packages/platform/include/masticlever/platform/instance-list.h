#pragma once

#include <masticlever/common/result.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// \file
/// Abstract interface of the platform's list of live and leaving instances, which may lag behind.

namespace masticlever::platform
{

enum class instance_kind { entry, endpoint };
enum class instance_state { live, leaving };

struct listed_instance {
    std::string name;
    instance_kind kind = instance_kind::entry;
    instance_state state = instance_state::live;
    std::string address; ///< "IP:port" of its HTTP service
    std::string peerAddress; ///< "IP:port" of its peer service; empty for endpoint instances
    std::string dataCentre;
    std::string incarnation;
};

class instance_list
{
public:
    using handler = std::function<void(common::result<std::vector<listed_instance>>)>;

    virtual ~instance_list() = default;
    virtual void fetch(handler done) = 0;

    /// Registers this instance with the platform, or updates its state.
    virtual void announce(const listed_instance &self) = 0;
};

} // namespace masticlever::platform
