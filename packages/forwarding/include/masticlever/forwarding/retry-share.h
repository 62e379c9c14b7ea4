#pragma once

#include <masticlever/common/time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

/// \file
/// This instance's share of the fleet's retry budget for a service. The shares of all instances add up to no more than
/// the budget, without any messages between instances.

namespace masticlever::forwarding
{

struct retry_share_options {
    double ratio = 0.2; ///< retries per request, over the whole fleet
    double slack = 100; ///< additional retries, over the whole fleet
    common::duration window = std::chrono::seconds(10); ///< the budget holds in every interval of this length
    /// Part of the budget that is used. The remainder covers instances that restart, which lose their history, and
    /// instances that are not known yet.
    double usableShare = 0.5;
};

class retry_share
{
public:
    explicit retry_share(retry_share_options options) : m_options(options) { }

    /// The slack is divided by the largest fleet size seen, because unreachable instances may still send retries.
    void onFleetSize(std::size_t instances);
    void onRequest(std::string_view service, common::instant now);
    /// Takes one retry from the share. Returns false if there is none left.
    bool take(std::string_view service, common::instant now);
    /// Whether take() would succeed.
    bool isAvailable(std::string_view service, common::instant now);

private:
    struct history {
        std::deque<common::instant> requests;
        std::deque<common::instant> retries;
    };

    history &recentHistory(std::string_view service, common::instant now);

    retry_share_options m_options;
    std::size_t m_fleetSize = 1;
    std::map<std::string, history, std::less<>> m_services;
};

} // namespace masticlever::forwarding
