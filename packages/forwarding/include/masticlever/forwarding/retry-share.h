#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

/// \file
/// This instance's share of the retries that the whole fleet may send to a service. The shares of all instances
/// together stay within the fleet's budget without a message between them.

namespace masticlever::forwarding
{

struct retry_share_options {
    double ratio = 0.2; ///< retries for each request, in the fleet
    double slack = 100; ///< retries beside these, in the fleet
    common::duration window = std::chrono::seconds(10); ///< any span of that length counts
    /// Part of the budget that is used: the rest covers restarts, which forget, and instances that are not known yet.
    double use = 0.5;
};

class retry_share
{
public:
    explicit retry_share(retry_share_options options) : m_options(options) { }

    /// The largest fleet seen divides the slack: an instance that cannot be heard may still send retries.
    void onFleetSize(std::size_t instances);
    void onRequest(std::string_view service, common::instant now);
    /// Takes one retry; false when there is none.
    bool take(std::string_view service, common::instant now);
    /// Whether take() would succeed.
    bool isAvailable(std::string_view service, common::instant now);

private:
    struct history {
        std::deque<common::instant> requests;
        std::deque<common::instant> retries;
    };

    history &recent(std::string_view service, common::instant now);

    retry_share_options m_options;
    std::size_t m_fleetSize = 1;
    std::map<std::string, history, std::less<>> m_services;
};

} // namespace masticlever::forwarding
