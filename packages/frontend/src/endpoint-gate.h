#pragma once

#include <masticlever/catalog/endpoint-directory.h>
#include <masticlever/catalog/service-configuration.h>
#include <masticlever/common/time.h>
#include <masticlever/forwarding/rate-share.h>
#include <masticlever/membership/rate-limits.h>
#include <masticlever/telemetry/metrics.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

/// \file
/// The gate that every request to an endpoint passes before it gets a connection: it holds this instance's share of the
/// rate limits. Choices and queues ask it which endpoints are open, with regard to requested pauses too.

namespace masticlever::frontend
{

class endpoint_gate
{
public:
    endpoint_gate(const catalog::endpoint_directory &directory, const membership::rate_limit_table &limits,
                  telemetry::metric_registry &metrics)
        : m_directory(directory), m_limits(limits), m_metrics(metrics)
    { }

    void setConfiguration(const catalog::service_configuration &configuration);
    /// See rate_share::setMembers().
    void setMembers(std::span<const std::uint64_t> rankKeys, std::uint64_t self, common::instant now)
    {
        m_share.setMembers(rankKeys, self, now);
    }

    /// Zero if a request may be sent to the endpoint now.
    common::duration timeUntilOpen(std::string_view endpointId, forwarding::sender_role role, common::instant now);
    /// Like timeUntilOpen(), for the endpoints registered at \p address.
    common::duration timeUntilAddressOpen(const std::string &address, common::instant now);
    /// Time until the rate limit admits the next request; zero without a limit.
    common::duration timeUntilAdmitted(std::string_view endpointId, forwarding::sender_role role, common::instant now);
    /// Requests per second that this instance may send; nothing if the endpoint has no limit.
    std::optional<double> ownRate(std::string_view endpointId, forwarding::sender_role role, common::instant now);
    bool isLimited(std::string_view endpointId) const { return limitOf(endpointId).has_value(); }
    bool hasLimits() const { return m_limits.limitedCount() > 0; }

    /// Counts a request to the endpoint, or to those registered at \p address if \p endpointId equals it. Returns false
    /// if a rate limit does not admit it.
    bool admit(const std::string &endpointId, const std::string &address, forwarding::sender_role role,
               common::instant now);
    /// Logs and counts a request that no endpoint accepts now; \p endpointId is the one that opens first.
    void onHeldBack(std::string_view requestId, std::string_view endpointId, forwarding::sender_role role,
                    common::instant now);

private:
    std::optional<membership::rate_limit> limitOf(std::string_view endpointId) const;
    forwarding::rate_use useOf(std::string_view endpointId, forwarding::sender_role role) const;

    const catalog::endpoint_directory &m_directory;
    const membership::rate_limit_table &m_limits;
    telemetry::metric_registry &m_metrics;
    forwarding::rate_share m_share{{}};
    std::set<std::string, std::less<>> m_sharedServices; ///< get requests of routes and calls for stage results
};

} // namespace masticlever::frontend
