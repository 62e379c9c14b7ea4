#include "endpoint-gate.h"

#include <masticlever/telemetry/events.h>

#include <algorithm>
#include <vector>

namespace masticlever::frontend
{

using common::duration;
using common::instant;
using forwarding::sender_role;
using telemetry::event;
using telemetry::logEvent;

namespace
{

const telemetry::metric_family limitedCallsFamily{"masticlever_frontend_limited_calls_total",
                                                  "Calls to endpoints with a rate limit, sent or held back."};

} // namespace

std::optional<membership::rate_limit> endpoint_gate::limitOf(std::string_view endpointId) const
{
    return hasLimits() ? m_limits.find(endpointId, m_directory.startedAtMsOf(endpointId)) : std::nullopt;
}

/// Requests of routes and calls of the home are counted apart, so each gets half of the rate of a service with both.
forwarding::rate_use endpoint_gate::useOf(std::string_view endpointId, sender_role role) const
{
    constexpr double half = 0.5;
    return {role, m_sharedServices.contains(m_directory.serviceOf(endpointId)) ? half : 1};
}

void endpoint_gate::setConfiguration(const catalog::service_configuration &configuration)
{
    std::set<std::string_view> stageServices;
    for (const catalog::route &route : configuration.routes()) {
        for (const catalog::stage_spec &stage : route.stages) {
            stageServices.insert(stage.service);
        }
    }
    m_sharedServices.clear();
    for (const catalog::route &route : configuration.routes()) {
        for (const auto &target : route.services) {
            if (stageServices.contains(target.service)) {
                m_sharedServices.insert(target.service);
            }
        }
    }
}

std::optional<double> endpoint_gate::ownRate(std::string_view endpointId, sender_role role, instant now)
{
    const auto limit = limitOf(endpointId);
    return limit ? std::optional(m_share.ownRate(endpointId, *limit, useOf(endpointId, role), now)) : std::nullopt;
}

duration endpoint_gate::timeUntilAdmitted(std::string_view endpointId, sender_role role, instant now)
{
    const auto limit = limitOf(endpointId);
    return limit ? m_share.timeUntilAvailable(endpointId, *limit, useOf(endpointId, role), now) : duration{};
}

duration endpoint_gate::timeUntilOpen(std::string_view endpointId, sender_role role, instant now)
{
    return std::max(m_directory.pausedUntil(endpointId) - now, timeUntilAdmitted(endpointId, role, now));
}

duration endpoint_gate::timeUntilAddressOpen(const std::string &address, instant now)
{
    duration longest{};
    for (const std::string &id : m_directory.idsAt(address)) {
        longest = std::max(longest, timeUntilOpen(id, sender_role::only, now));
    }
    return longest;
}

bool endpoint_gate::admit(const std::string &endpointId, const std::string &address, sender_role role, instant now)
{
    if (!hasLimits()) {
        return true;
    }
    const std::vector<std::string> ids
        = endpointId == address ? m_directory.idsAt(address) : std::vector<std::string>{endpointId};
    for (const std::string &id : ids) {
        if (timeUntilAdmitted(id, role, now).count() > 0) {
            onHeldBack({}, id, role, now);
            return false;
        }
    }
    for (const std::string &id : ids) {
        if (const auto limit = limitOf(id)) {
            m_share.take(id, *limit, useOf(id, role), now);
            m_metrics.counterOf(limitedCallsFamily, {{"outcome", "sent"}}).add();
        }
    }
    return true;
}

void endpoint_gate::onHeldBack(std::string_view requestId, std::string_view endpointId, sender_role role, instant now)
{
    const auto limit = limitOf(endpointId);
    if (!limit) {
        return;
    }
    m_metrics.counterOf(limitedCallsFamily, {{"outcome", "held_back"}}).add();
    logEvent(event::rate_limit_reached,
             {{"request", requestId},
              {"endpoint", endpointId},
              {"rate", limit->rate},
              {"own_rate", m_share.ownRate(endpointId, *limit, useOf(endpointId, role), now)},
              {"open_ms", common::toMilliseconds(timeUntilOpen(endpointId, role, now))},
              {"age_ms", common::toMilliseconds(now - limit->confirmedAt)}});
}

} // namespace masticlever::frontend
